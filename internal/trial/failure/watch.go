package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
)

const pollInterval = 100 * time.Millisecond

func (r *Run) status(d *processes.Daemon) (operator.Status, error) {
	var s operator.Status
	request, err := http.NewRequest(http.MethodGet, "http://"+d.OperatorsAddr+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	request.Header.Set("Authorization", "Bearer "+processes.Token)
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// watchRevisions polls the status of all daemons and checks that no ready daemon
// goes back to a lower revision, not even after a restart.
func (r *Run) watchRevisions() {
	for {
		for _, name := range r.daemonNames {
			if s, err := r.status(r.daemons[name]); err == nil && s.Revision > 0 {
				r.recordRevision(name, s.Revision)
			}
		}
		select {
		case <-r.closed:
			return
		case <-time.After(pollInterval):
		}
	}
}

func (r *Run) recordRevision(name string, revision fleet.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revisions[name] {
		r.violations = append(r.violations, fmt.Sprintf("daemon %s went back from revision %d to revision %d", name, r.revisions[name], revision))
	}
	r.revisions[name] = revision
}

// awaitReplacement waits until a voter whose data folder was removed has been
// replaced by its successor, in the view of every voter.
func (r *Run) awaitReplacement(name string) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		replaced := true
		for _, voter := range r.daemonNames[:Voters] {
			s, err := r.status(r.daemons[voter])
			replaced = replaced && err == nil && isReplaced(s, name)
		}
		if replaced {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("voter on %s was not replaced by its successor within %s", name, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// isReplaced reports whether all groups have only full voters and none of them is
// the initial voter of the named daemon.
func isReplaced(s operator.Status, name string) bool {
	for _, g := range s.Groups {
		if len(g.Voters) != Voters {
			return false
		}
		for _, v := range g.Voters {
			if v.Learner || v.Instance == name && v.ID <= Voters {
				return false
			}
		}
	}
	return len(s.Groups) > 0
}

// activationPollInterval is the time between two status queries of AwaitActiveRevision.
const activationPollInterval = 2 * time.Millisecond

// AwaitActiveRevision waits until the last accepted revision or a later one is active
// on all daemons.
func (r *Run) AwaitActiveRevision(timeout time.Duration) error {
	r.mu.Lock()
	revision := r.baseRevision
	r.mu.Unlock()
	deadline := time.Now().Add(timeout)
	for _, d := range r.Daemons() {
		for {
			s, err := r.status(d)
			if err == nil && s.Revision >= revision {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("%s did not activate revision %d within %s: at revision %d: %v", d.Spec.ID, revision, timeout, s.Revision, err)
			}
			time.Sleep(activationPollInterval)
		}
	}
	return nil
}

// VoterStates returns the state of the replicated groups in the view of each voter,
// for the output of a failed test.
func (r *Run) VoterStates() string {
	var b strings.Builder
	for _, name := range r.daemonNames[:Voters] {
		s, err := r.status(r.daemons[name])
		raw, _ := json.Marshal(s.Groups)
		fmt.Fprintf(&b, "%s: revision %d, %s %v\n", name, s.Revision, raw, err)
	}
	return b.String()
}
