package failure

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/entry/console"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
	"github.com/bilberryrock/bilberryrock/internal/trial/traffic"
)

// change is one submission of a script.
type change struct {
	id   string
	path string
	base fleet.Revision
}

func (r *Run) newChange() (change, error) {
	r.mu.Lock()
	r.changes++
	c := change{id: fmt.Sprintf("change-%d", r.changes), base: r.base}
	r.mu.Unlock()
	c.path = r.fleet.Path(c.id + ".section")
	text := fmt.Sprintf(section, r.changes, traffic.ServicePool, traffic.OncePath, traffic.Model,
		traffic.Version, traffic.Layers, processes.Digest(processes.APIKey)) + r.window.text()
	return c, errors.Wrap(os.WriteFile(c.path, []byte(text), 0o600), "write section")
}

// submit submits c through a daemon until the outcome is known.
func (r *Run) submit(c change, daemon string, wait time.Duration) (status int, output string, err error) {
	end := time.Now().Add(wait)
	for {
		output, status, err = r.daemons[daemon].Operator("submit", "--team", processes.Team,
			"--operator", "trial", "--change", c.id, "--base", fmt.Sprint(c.base), c.path)
		known := status == console.ExitOK || status == console.ExitConflict || status == console.ExitRefused
		if err != nil || known || time.Now().After(end) {
			return status, output, err
		}
		time.Sleep(pollInterval)
	}
}

// submitUntil submits a new section, which must be accepted.
func (r *Run) submitUntil(daemon string, wait time.Duration) error {
	c, err := r.newChange()
	if err != nil {
		return err
	}
	status, output, err := r.submit(c, daemon, wait)
	if err != nil {
		return err
	}
	if status != console.ExitOK {
		return errors.Errorf("submission through %s ended with status %d: %s", daemon, status, output)
	}
	return r.accepted(output)
}

// accepted takes over the revision that an accepted submission made.
func (r *Run) accepted(output string) error {
	var id string
	var revision fleet.Revision
	if _, err := fmt.Sscanf(strings.TrimSpace(output), document.Accepted.String()+": change %s made revision %d", &id, &revision); err != nil {
		return errors.Wrapf(err, "read %q", output)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.base {
		r.faults = append(r.faults, fmt.Sprintf("change %s made revision %d after %d", id, revision, r.base))
	}
	r.base = revision
	return nil
}

// race submits two sections with the same base through two daemons at once.
// Exactly one of them must be accepted.
func (r *Run) race(first, second string) error {
	var wg sync.WaitGroup
	statuses := make([]int, 2)
	outputs := make([]string, 2)
	errs := make([]error, 2)
	for i, daemon := range []string{first, second} {
		c, err := r.newChange()
		if err != nil {
			return err
		}
		wg.Go(func() { statuses[i], outputs[i], errs[i] = r.submit(c, daemon, patience) })
	}
	wg.Wait()
	accepted := 0
	for i := range statuses {
		if errs[i] != nil {
			return errs[i]
		}
		if statuses[i] == console.ExitOK {
			accepted++
			if err := r.accepted(outputs[i]); err != nil {
				return err
			}
		}
	}
	if accepted != 1 {
		r.mu.Lock()
		r.faults = append(r.faults, fmt.Sprintf("race of %s and %s: %d accepted, statuses %v: %v", first, second, accepted, statuses, outputs))
		r.mu.Unlock()
	}
	return nil
}
