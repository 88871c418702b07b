package failure

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// window is a quiet-hours window of one minute.
type window struct {
	dataCentre string
	start      time.Time
	bound      int
}

const windowLength = time.Minute

// notice is the time before a window by which it must be accepted, with some
// time for the submission itself.
const notice = 65 * time.Second

func (w *window) text() string {
	if w == nil {
		return ""
	}
	end := w.start.Add(windowLength)
	return fmt.Sprintf("[window \"trial\"]\ndataCentre = %s\nfrom = %s\nto = %s\ntimeZone = UTC\nmaxInFlight = %d\n",
		w.dataCentre, w.start.Format("15:04"), end.Format("15:04"), w.bound)
}

// plan submits a window that begins with the first minute that the notice allows,
// and starts the traffic that runs until after its end.
func (r *Run) plan(dataCentre, bound, parallel string) error {
	limit, err := strconv.Atoi(bound)
	if err != nil {
		return errors.Wrap(err, "bound of the window")
	}
	calls, err := strconv.Atoi(parallel)
	if err != nil {
		return errors.Wrap(err, "calls at once")
	}
	start := time.Now().UTC().Add(notice + windowLength).Truncate(windowLength)
	r.window = &window{dataCentre: dataCentre, start: start, bound: limit}
	if err := r.submitUntil(r.names[0], patience); err != nil {
		return err
	}
	r.watching.Go(r.watchWindow)
	r.busy.Go(func() { r.traffic.SendFor(time.Until(start.Add(2*windowLength)), calls) })
	return nil
}

// watchWindow checks during the window that the daemons of its data centre run no
// more than the bound together, and keeps the most that they ran before, in and
// after it.
func (r *Run) watchWindow() {
	w := r.window
	end := w.start.Add(windowLength)
	for {
		now := time.Now()
		running := r.running(w.dataCentre)
		r.mu.Lock()
		switch {
		case now.Before(w.start):
			r.load.before = max(r.load.before, running)
		case now.Before(end):
			r.load.during = max(r.load.during, running)
		default:
			r.load.after = max(r.load.after, running)
		}
		if !now.Before(w.start) && now.Before(end) && running > w.bound {
			r.faults = append(r.faults, fmt.Sprintf("%d requests ran in %s in the window, more than %d", running, w.dataCentre, w.bound))
		}
		r.mu.Unlock()
		select {
		case <-r.ended:
			return
		case <-time.After(pollInterval):
		}
	}
}

// load holds the most requests that ran at once around a window.
type load struct{ before, during, after int }

// running sums the requests in progress in a data centre.
func (r *Run) running(dataCentre string) int {
	sum := 0.0
	for _, d := range r.daemons {
		if d.Plan.DataCentre != dataCentre {
			continue
		}
		// A daemon that does not answer is down and runs nothing.
		if n, err := d.Metric("bilberryrock_admission_running"); err == nil {
			sum += n
		}
	}
	return int(sum)
}

// Load describes the load around the window of the script, or is empty.
func (r *Run) Load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window == nil {
		return ""
	}
	return fmt.Sprintf("most requests at once in %s: %d before the window, %d in it (bound %d), %d after it",
		r.window.dataCentre, r.load.before, r.load.during, r.window.bound, r.load.after)
}
