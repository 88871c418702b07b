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
	request, err := http.NewRequest(http.MethodGet, "http://"+d.Operators+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	request.Header.Set("Authorization", "Bearer "+processes.Token)
	client := &http.Client{Timeout: 2 * time.Second}
	answer, err := client.Do(request)
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// watchRevisions checks all the time that no ready daemon goes back to a lower revision,
// also over restarts.
func (r *Run) watchRevisions() {
	for {
		for _, name := range r.names {
			if s, err := r.status(r.daemons[name]); err == nil && s.Revision > 0 {
				r.noteRevision(name, s.Revision)
			}
		}
		select {
		case <-r.ended:
			return
		case <-time.After(pollInterval):
		}
	}
}

func (r *Run) noteRevision(name string, revision fleet.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revisions[name] {
		r.faults = append(r.faults, fmt.Sprintf("daemon %s went back from revision %d to %d", name, r.revisions[name], revision))
	}
	r.revisions[name] = revision
}

// awaitRepair waits until a voter with a wiped folder has been replaced by its
// successor, as every running voter sees it.
func (r *Run) awaitRepair(name string) error {
	end := time.Now().Add(patience)
	for {
		repaired := true
		for _, voter := range r.names[:Voters] {
			s, err := r.status(r.daemons[voter])
			repaired = repaired && err == nil && isRepaired(s, name)
		}
		if repaired {
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("the voter on %s was not replaced within %s", name, patience)
		}
		time.Sleep(pollInterval)
	}
}

func isRepaired(s operator.Status, name string) bool {
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

// inForcePoll is the time between two looks at all daemons.
const inForcePoll = 2 * time.Millisecond

// AwaitInForce waits until all daemons have the last accepted revision in force.
func (r *Run) AwaitInForce(wait time.Duration) error {
	r.mu.Lock()
	revision := r.base
	r.mu.Unlock()
	end := time.Now().Add(wait)
	for _, d := range r.Daemons() {
		for {
			s, err := r.status(d)
			if err == nil && s.Revision >= revision {
				break
			}
			if time.Now().After(end) {
				return errors.Errorf("%s did not reach revision %d within %s: %d %v", d.Plan.ID, revision, wait, s.Revision, err)
			}
			time.Sleep(inForcePoll)
		}
	}
	return nil
}

// States returns the replicated logs as each voter sees them, for a failed test.
func (r *Run) States() string {
	var b strings.Builder
	for _, name := range r.names[:Voters] {
		s, err := r.status(r.daemons[name])
		raw, _ := json.Marshal(s.Groups)
		fmt.Fprintf(&b, "%s: revision %d, %s %v\n", name, s.Revision, raw, err)
	}
	return b.String()
}
