package quota

import "time"

// sumsLag is the mean time from a stream's start or end until the sums show it: an
// interval of 250 ms each for the report of a gateway, the exchange between controllers
// and the sending of the sums, of which half passes on average, and the transfer.
const sumsLag = 500 * time.Millisecond

// forecast estimates how the number of active streams has changed since the time to which
// the sums refer. All gateways follow the same plan, so the rates of the recent plans tell
// what they have admitted together. Without it the plan is late by more than its horizon
// and oscillates: in a simulated burst of 2.4 times, with sums of a mean age of 0.75 s, the
// use of the engines swung between 0.65 and 0.99 of their capacity.
type forecast struct {
	// steps holds the recent plans, oldest first. The first one may have begun before
	// sumsLag.
	steps []forecastStep
}

// forecastStep is the time from which streams were admitted at a rate, per second.
type forecastStep struct {
	from time.Time
	rate float64
}

// add records that a plan takes effect.
func (f *forecast) add(now time.Time, p Plan) {
	rate := 0.0
	for _, l := range p.Levels {
		rate += l.Admitted
	}
	f.steps = append(f.steps, forecastStep{from: now, rate: rate})
	for len(f.steps) > 1 && now.Sub(f.steps[1].from) >= sumsLag {
		f.steps = f.steps[1:]
	}
}

// clear forgets all plans. Those of a gateway without sums are not those of the others.
func (f *forecast) clear() { f.steps = nil }

// change returns the change of the number of active streams in the last sumsLag, if streams
// end at a rate per second.
func (f *forecast) change(now time.Time, finishedRate float64) float64 {
	change, until := 0.0, now
	for i := len(f.steps) - 1; i >= 0; i-- {
		from := f.steps[i].from
		if earliest := now.Add(-sumsLag); from.Before(earliest) {
			from = earliest
		}
		change += (f.steps[i].rate - finishedRate) * max(0, until.Sub(from)).Seconds()
		until = f.steps[i].from
	}
	return change
}
