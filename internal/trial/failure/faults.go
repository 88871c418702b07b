package failure

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
)

// dropMessages makes the daemons drop all messages from the first to the second.
func (r *Run) dropMessages(from, to []string) error {
	r.mu.Lock()
	for _, f := range from {
		if r.droppedLinks[f] == nil {
			r.droppedLinks[f] = make(map[string]bool)
		}
		for _, t := range to {
			r.droppedLinks[f][t] = true
		}
	}
	r.mu.Unlock()
	return r.postDropRules()
}

func (r *Run) restoreLinks() error {
	r.mu.Lock()
	r.droppedLinks = make(map[string]map[string]bool)
	r.mu.Unlock()
	return r.postDropRules()
}

// dropRules is the body of a request that replaces the message drop rules of a daemon.
type dropRules struct {
	DropFrom []string `json:"dropFrom"`
	DropTo   []string `json:"dropTo"`
}

// postDropRules sends the drop rules to all daemons. It ignores errors of daemons
// that are not running.
func (r *Run) postDropRules() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, d := range r.daemons {
		rules := dropRules{DropFrom: []string{}, DropTo: []string{}}
		for from, targets := range r.droppedLinks {
			for to := range targets {
				if from == name {
					rules.DropTo = append(rules.DropTo, to)
				}
				if to == name {
					rules.DropFrom = append(rules.DropFrom, from)
				}
			}
		}
		if err := postDaemonFaults(d, rules); err != nil && d.Running() {
			return err
		}
	}
	return nil
}

func postDaemonFaults(d *processes.Daemon, rules dropRules) error {
	raw, err := json.Marshal(rules)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Post("http://"+d.PlatformAddr+"/faults", "application/json", bytes.NewReader(raw))
	if err != nil {
		return errors.Wrapf(err, "set faults of %s", d.Spec.ID)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("set faults of %s: status %d", d.Spec.ID, response.StatusCode)
	}
	return nil
}

// setStandinFaults replaces the injected faults of a stand-in.
func (r *Run) setStandinFaults(name, body string) error {
	s := r.standins[name]
	if s == nil {
		return errors.Errorf("no stand-in is named %q", name)
	}
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Post("http://"+s.Address+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "set faults of %s", name)
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Errorf("set faults of %s: status %d", name, response.StatusCode)
	}
	return nil
}
