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

func (r *Run) cut(from, to []string) error {
	r.mu.Lock()
	for _, f := range from {
		if r.cuts[f] == nil {
			r.cuts[f] = make(map[string]bool)
		}
		for _, t := range to {
			r.cuts[f][t] = true
		}
	}
	r.mu.Unlock()
	return r.sendFaults()
}

func (r *Run) heal() error {
	r.mu.Lock()
	r.cuts = make(map[string]map[string]bool)
	r.mu.Unlock()
	return r.sendFaults()
}

type faultsBody struct {
	DropFrom []string `json:"dropFrom"`
	DropTo   []string `json:"dropTo"`
}

func (r *Run) sendFaults() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, d := range r.daemons {
		body := faultsBody{DropFrom: []string{}, DropTo: []string{}}
		for from, tos := range r.cuts {
			for to := range tos {
				if from == name {
					body.DropTo = append(body.DropTo, to)
				}
				if to == name {
					body.DropFrom = append(body.DropFrom, from)
				}
			}
		}
		if err := postFaults(d, body); err != nil && d.Running() {
			return err
		}
	}
	return nil
}

func postFaults(d *processes.Daemon, body faultsBody) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 5 * time.Second}
	answer, err := client.Post("http://"+d.Platform+"/faults", "application/json", bytes.NewReader(raw))
	if err != nil {
		return errors.Wrapf(err, "faults of %s", d.Plan.ID)
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		return errors.Errorf("faults of %s: status %d", d.Plan.ID, answer.StatusCode)
	}
	return nil
}

// setFaults replaces the faults of a stand-in.
func (r *Run) setFaults(name, body string) error {
	s := r.standins[name]
	if s == nil {
		return errors.Errorf("no stand-in is named %q", name)
	}
	client := &http.Client{Timeout: 5 * time.Second}
	answer, err := client.Post("http://"+s.Address+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "faults of %s", name)
	}
	answer.Body.Close()
	if answer.StatusCode/100 != 2 {
		return errors.Errorf("faults of %s: status %d", name, answer.StatusCode)
	}
	return nil
}
