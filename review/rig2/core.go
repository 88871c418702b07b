//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	catchUp  = 4 * time.Second  // catch-up-s
	recovery = 12 * time.Second // recovery-s
)

// readVersion reads the configuration at a controller. It returns the status, or 0, and the
// version.
func readVersion(c *machine) (status, version int) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + c.control() + "/config")
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	var v struct {
		Version int `json:"version"`
	}
	if err != nil || resp.StatusCode == http.StatusOK && json.Unmarshal(b, &v) != nil {
		return 0, 0
	}
	return resp.StatusCode, v.Version
}

// change sends a configuration until a controller acknowledges it.
func (r *rig) change(version int) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, c := range r.controllers() {
			if call(http.MethodPut, "http://"+c.control()+"/config", configuration(version)) == http.StatusOK {
				r.note("operator: %s acknowledges configuration %d", c.name, version)
				return nil
			}
		}
	}
	return fmt.Errorf("configuration %d was not acknowledged", version)
}

// served sends lookups for a time and returns how many there were and how many were served.
func (r *rig) served(gs []*machine, d time.Duration) (asked, ok int) {
	statuses := make(map[int]int)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a := r.request(gs[asked%len(gs)], http.MethodPost, "/lookup/2f")
		asked++
		statuses[a.status]++
		if a.status == http.StatusOK && a.complete {
			ok++
		}
	}
	r.note("clients: %d of %d lookups are served, by status: %v", ok, asked, statuses)
	return asked, ok
}

// replacement starts the deployment and adds a controller in each of the given zones, beside
// the one that is there. The new ones have twice catch-up-s.
func (r *rig) replacement(zones ...int) ([]*machine, error) {
	gs, _, err := r.small(2, 0, 2)
	if err != nil {
		return nil, err
	}
	for _, z := range zones {
		c := r.add(fmt.Sprintf("core-%s-2", zoneName(z)), "controller", z, 5)
		if err := c.run(false); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * catchUp)
	for _, c := range r.controllers() {
		status, version := readVersion(c)
		r.note("operator: %s answers a read with %d, version %d", c.name, status, version)
		if status != http.StatusOK {
			return nil, fmt.Errorf("%s has not joined", c.name)
		}
	}
	if asked, ok := r.served(gs, 2*time.Second); ok < asked*3/4 {
		return nil, fmt.Errorf("the deployment does not serve before the disruption")
	}
	return gs, nil
}

// remove stops a controller with SIGTERM for good.
func (r *rig) remove(c *machine) {
	r.note("platform: SIGTERM to %s, which leaves for good", c.name)
	c.signal(syscall.SIGTERM)
	<-c.done
	c.gone = true
}

// readBack reads the configuration at all controllers for contact-ms and reports whether the
// version comes from any.
func (r *rig) readBack(version int) bool {
	found := false
	answers := make(map[string]int)
	for end := time.Now().Add(contact + time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range r.controllers() {
			status, v := readVersion(c)
			answers[fmt.Sprintf("%s: status %d, version %d", c.name, status, v)]++
			found = found || status == http.StatusOK && v >= version
		}
	}
	for a, n := range answers {
		r.note("operator: read at %s (%d times)", a, n)
	}
	return found
}

// lostDisk: a core machine is replaced as planned, and 2 s after the old one has ended another
// one loses its disk.
func lostDisk(r *rig) (bool, error) {
	gs, err := r.replacement(1)
	if err != nil {
		return false, err
	}
	cs := r.controllers()
	old, victim := cs[0], cs[1]
	r.remove(old)
	ended := time.Now()
	if err := r.change(8); err != nil {
		return false, err
	}
	time.Sleep(time.Until(ended.Add(2 * time.Second)))
	if r.trouble {
		victim.signal(syscall.SIGKILL)
		<-victim.done
		if err := os.RemoveAll(filepath.Join(r.dir, victim.name)); err != nil {
			return false, err
		}
		r.note("platform: %s loses power and its disk %.1f s after the end of %s", victim.name, time.Since(ended).Seconds(), old.name)
		time.Sleep(200 * time.Millisecond)
		if err := victim.run(false); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery + time.Second)
	asked, ok := r.served(gs, 5*time.Second)
	found := r.readBack(8)
	if !found {
		r.note("BROKEN: CONFIG: the acknowledged configuration 8 doesn't come")
	}
	if ok*4 < asked {
		r.note("BROKEN: RECOVER: less than a quarter of the requests is served later than recovery-s")
	}
	return !found || ok*4 < asked, nil
}

// successors: all three core machines are replaced as planned; the old ones leave 2 s apart.
func successors(r *rig) (bool, error) {
	gs, err := r.replacement(1, 2, 3)
	if err != nil {
		return false, err
	}
	if err := r.change(8); err != nil {
		return false, err
	}
	gap := 2 * time.Second
	if !r.trouble {
		gap = 8 * time.Second
	}
	for i, c := range r.controllers()[:3] {
		if i > 0 {
			time.Sleep(gap)
		}
		r.remove(c)
	}
	time.Sleep(recovery + time.Second)
	asked, ok := r.served(gs, 5*time.Second)
	found := r.readBack(8)
	if !found {
		r.note("BROKEN: CONFIG: the acknowledged configuration 8 doesn't come")
	}
	if ok*4 < asked {
		r.note("BROKEN: less than a quarter of the requests is served")
	}
	return !found || ok*4 < asked, nil
}
