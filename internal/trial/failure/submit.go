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
	r.submissionCount++
	c := change{id: fmt.Sprintf("change-%d", r.submissionCount), base: r.baseRevision}
	r.mu.Unlock()
	c.path = r.fleet.Path(c.id + ".section")
	text := fmt.Sprintf(sectionTemplate, r.submissionCount, traffic.ServicePool, traffic.AtMostOncePath, traffic.Model,
		traffic.Version, traffic.Layers, processes.Digest(processes.APIKey)) + r.window.section()
	return c, errors.Wrap(os.WriteFile(c.path, []byte(text), 0o600), "write section")
}

// submit submits c through a daemon and repeats it until the outcome is known or
// the timeout has passed. It returns the last exit status and output.
func (r *Run) submit(c change, daemon string, timeout time.Duration) (exitStatus int, output string, err error) {
	deadline := time.Now().Add(timeout)
	for {
		output, exitStatus, err = r.daemons[daemon].RunOperatorCommand("submit", "--team", processes.Team,
			"--operator", "trial", "--change", c.id, "--base", fmt.Sprint(c.base), c.path)
		decided := exitStatus == console.ExitOK || exitStatus == console.ExitConflict || exitStatus == console.ExitRefused
		if err != nil || decided || time.Now().After(deadline) {
			return exitStatus, output, err
		}
		time.Sleep(pollInterval)
	}
}

// submitUntil submits a new section, which must be accepted within the timeout.
func (r *Run) submitUntil(daemon string, timeout time.Duration) error {
	c, err := r.newChange()
	if err != nil {
		return err
	}
	exitStatus, output, err := r.submit(c, daemon, timeout)
	if err != nil {
		return err
	}
	if exitStatus != console.ExitOK {
		return errors.Errorf("submission through %s exited with status %d: %s", daemon, exitStatus, output)
	}
	return r.recordAccepted(output)
}

// recordAccepted stores the revision that an accepted submission created. It must be
// higher than the one before.
func (r *Run) recordAccepted(output string) error {
	var id string
	var revision fleet.Revision
	if _, err := fmt.Sscanf(strings.TrimSpace(output), document.Accepted.String()+": change %s made revision %d", &id, &revision); err != nil {
		return errors.Wrapf(err, "parse output %q", output)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.baseRevision {
		r.violations = append(r.violations, fmt.Sprintf("change %s created revision %d after revision %d", id, revision, r.baseRevision))
	}
	r.baseRevision = revision
	return nil
}

// raceSubmissions concurrently submits two sections with the same base revision
// through two daemons. Exactly one of them must be accepted.
func (r *Run) raceSubmissions(first, second string) error {
	var wg sync.WaitGroup
	exitStatuses := make([]int, 2)
	outputs := make([]string, 2)
	errs := make([]error, 2)
	for i, daemon := range []string{first, second} {
		c, err := r.newChange()
		if err != nil {
			return err
		}
		wg.Go(func() { exitStatuses[i], outputs[i], errs[i] = r.submit(c, daemon, waitTimeout) })
	}
	wg.Wait()
	accepted := 0
	for i := range exitStatuses {
		if errs[i] != nil {
			return errs[i]
		}
		if exitStatuses[i] == console.ExitOK {
			accepted++
			if err := r.recordAccepted(outputs[i]); err != nil {
				return err
			}
		}
	}
	if accepted != 1 {
		r.mu.Lock()
		r.violations = append(r.violations, fmt.Sprintf("concurrent submissions through %s and %s: %d accepted instead of 1, exit statuses %v: %v", first, second, accepted, exitStatuses, outputs))
		r.mu.Unlock()
	}
	return nil
}
