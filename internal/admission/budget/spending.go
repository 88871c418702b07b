package budget

import (
	"slices"
	"time"
)

// reservedFraction is the part of what the limit allows that is reserved for started
// streams. New requests may spend from a Shared only while more than this is left.
const reservedFraction = 0.3

// Stream is a started stream that needs a retry. Its client already has a part of the
// response and cannot start over.
type Stream struct {
	// Level is the service level of the request. Level 0 is the most urgent.
	Level int
	// LastEvent is when the client received its last event.
	LastEvent time.Time
	// Deadline is the time until which the retry can still start with the client
	// receiving the next event in time.
	Deadline time.Time
}

// precedes reports whether s is continued before o at the time now: streams that can
// be continued in time go first, then the more urgent level, then the stream whose
// client has waited least since its last event.
func (s Stream) precedes(o Stream, now time.Time) bool {
	if a, b := s.late(now), o.late(now); a != b {
		return b
	}
	if s.Level != o.Level {
		return s.Level < o.Level
	}
	return s.LastEvent.After(o.LastEvent)
}

// late reports whether s can no longer be continued in time.
func (s Stream) late(now time.Time) bool { return now.After(s.Deadline) }

// spending decides who spends the retries of one instance: any retry, new requests up
// to the reserved part, and started streams in their order. It has neither a clock nor
// a lock.
type spending struct {
	// all limits all retries. fresh additionally limits those of new requests, so
	// that all instances together leave the reserved part although the sums are old.
	all, fresh tokens
	waiting    []*Turn // in the order of their arrival
	random     func() float64
}

// withdraw spends one retry, whoever needs it.
func (p *spending) withdraw() bool { return p.all.take(p.random) }

// withdrawNew spends one retry of a new request. Waiting streams that can be continued
// in time come first. It returns the streams that were granted a retry before.
func (p *spending) withdrawNew(now time.Time) (granted []*Turn, ok bool) {
	granted, ok = p.grant(now, func(s Stream) bool { return !s.late(now) })
	if !ok {
		return granted, false
	}
	if p.fresh.threshold == 0 {
		p.fresh.threshold = 1 - p.random()
	}
	if !p.fresh.ready() || !p.all.take(p.random) {
		return granted, false
	}
	p.fresh.spend(p.random)
	return granted, true
}

// withdrawStarted spends one retry of a started stream that does not wait. It returns
// the waiting streams that were granted a retry before.
func (p *spending) withdrawStarted(s Stream, now time.Time) (granted []*Turn, ok bool) {
	granted, ok = p.grant(now, func(o Stream) bool { return !s.precedes(o, now) })
	return granted, ok && p.withdraw()
}

// grant gives retries to waiting streams in order, as long as the first one satisfies
// first. It returns the streams that were granted a retry, and false if the retries did
// not suffice for all of them.
func (p *spending) grant(now time.Time, first func(Stream) bool) (granted []*Turn, ok bool) {
	for {
		t := p.next(now)
		if t == nil || !first(t.stream) {
			return granted, true
		}
		if !p.withdraw() {
			return granted, false
		}
		p.remove(t)
		granted = append(granted, t)
	}
}

// next returns the waiting stream that is continued first, or nil.
func (p *spending) next(now time.Time) *Turn {
	var best *Turn
	for _, t := range p.waiting {
		if best == nil || t.stream.precedes(best.stream, now) {
			best = t
		}
	}
	return best
}

// remove removes a stream from those that wait, and reports whether it waited.
func (p *spending) remove(t *Turn) bool {
	i := slices.Index(p.waiting, t)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// refill adds the retries earned in the time elapsed, if an instance may use left of the
// allowed retries together with its sharers.
func (p *spending) refill(left, allowed, sharers float64, starting bool, elapsed time.Duration) {
	p.all.refill(newEarning(left, sharers, starting, 1), elapsed)
	p.fresh.refill(newEarning(left-reservedFraction*allowed, sharers, starting, 1-reservedFraction), elapsed)
}

// earning is what a balance of retries earns.
type earning struct {
	rate  float64 // in retries per second
	burst float64 // greatest balance
}

// newEarning returns the earning of one of the sharers of the retries that are left.
// startupPart is the part of the limits for starting instances that applies.
func newEarning(left, sharers float64, starting bool, startupPart float64) earning {
	left = max(0, left) / sharers
	e := earning{rate: left / spendTime.Seconds(), burst: left}
	if sharers > 1 {
		e.burst *= burstFraction
	}
	if starting {
		e.rate, e.burst = min(e.rate, startupPart*startupRate), min(e.burst, startupPart*startupBurst)
	}
	return e
}

// tokens is a balance of retries.
type tokens struct {
	balance float64
	// threshold is the balance at which the next retry may start. It is random and
	// drawn anew for each retry, so that balances of less than one retry add up over
	// the fleet.
	threshold float64
}

func (k *tokens) refill(e earning, elapsed time.Duration) {
	k.balance = min(k.balance+e.rate*elapsed.Seconds(), e.burst)
}

func (k *tokens) ready() bool { return k.balance >= k.threshold }

func (k *tokens) spend(random func() float64) {
	k.balance--
	k.threshold = 1 - random()
}

// take spends one retry if the balance allows it.
func (k *tokens) take(random func() float64) bool {
	if !k.ready() {
		return false
	}
	k.spend(random)
	return true
}
