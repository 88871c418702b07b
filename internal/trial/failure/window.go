package failure

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// quietWindow is a quiet-hours window of one minute.
type quietWindow struct {
	dataCentre  string
	start       time.Time
	maxInFlight int
}

const windowLength = time.Minute

// noticePeriod is the least time between the submission of a window and its start:
// the notice that an accepted window must give, and some time for the submission.
const noticePeriod = 65 * time.Second

// section returns the lines that add the window to a section, or "" without a window.
func (w *quietWindow) section() string {
	if w == nil {
		return ""
	}
	end := w.start.Add(windowLength)
	return fmt.Sprintf("[window \"trial\"]\ndataCentre = %s\nfrom = %s\nto = %s\ntimeZone = UTC\nmaxInFlight = %d\n",
		w.dataCentre, w.start.Format("15:04"), end.Format("15:04"), w.maxInFlight)
}

// startQuietWindow submits a window that begins with the first full minute that
// noticePeriod allows, and starts traffic that runs until after its end.
func (r *Run) startQuietWindow(dataCentre, limitArg, parallelArg string) error {
	limit, err := strconv.Atoi(limitArg)
	if err != nil {
		return errors.Wrap(err, "parse limit of the window")
	}
	parallel, err := strconv.Atoi(parallelArg)
	if err != nil {
		return errors.Wrap(err, "parse number of concurrent calls")
	}
	start := time.Now().UTC().Add(noticePeriod + windowLength).Truncate(windowLength)
	r.window = &quietWindow{dataCentre: dataCentre, start: start, maxInFlight: limit}
	if err := r.submitUntil(r.daemonNames[0], waitTimeout); err != nil {
		return err
	}
	r.watchersWG.Go(r.watchWindow)
	r.trafficWG.Go(func() { r.traffic.SendFor(time.Until(start.Add(2*windowLength)), parallel) })
	return nil
}

// watchWindow checks that during the window the daemons of its data centre together
// run no more requests than its limit, and records the most that they run at once
// before, during and after it.
func (r *Run) watchWindow() {
	w := r.window
	end := w.start.Add(windowLength)
	for {
		now := time.Now()
		running := r.runningRequests(w.dataCentre)
		r.mu.Lock()
		switch {
		case now.Before(w.start):
			r.peakLoad.before = max(r.peakLoad.before, running)
		case now.Before(end):
			r.peakLoad.during = max(r.peakLoad.during, running)
		default:
			r.peakLoad.after = max(r.peakLoad.after, running)
		}
		if !now.Before(w.start) && now.Before(end) && running > w.maxInFlight {
			r.violations = append(r.violations, fmt.Sprintf("%d requests ran at once in %s during the window, more than its limit of %d", running, w.dataCentre, w.maxInFlight))
		}
		r.mu.Unlock()
		select {
		case <-r.closed:
			return
		case <-time.After(pollInterval):
		}
	}
}

// peakLoad is the largest number of requests that ran at once before, during and
// after a window.
type peakLoad struct{ before, during, after int }

// runningRequests returns the number of requests in progress in a data centre.
func (r *Run) runningRequests(dataCentre string) int {
	total := 0.0
	for _, d := range r.daemons {
		if d.Spec.DataCentre != dataCentre {
			continue
		}
		// A daemon that does not respond is down and runs no requests.
		if n, err := d.Metric("bilberryrock_admission_running"); err == nil {
			total += n
		}
	}
	return int(total)
}

// PeakLoad describes the load before, during and after the window of the script. It
// returns "" for a script without a window.
func (r *Run) PeakLoad() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window == nil {
		return ""
	}
	return fmt.Sprintf("most requests at once in %s: %d before the window, %d during it (limit %d), %d after it",
		r.window.dataCentre, r.peakLoad.before, r.peakLoad.during, r.window.maxInFlight, r.peakLoad.after)
}
