package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// lateLookups is the number of requests that are sent later than recovery-s.
const lateLookups = 12

// checkAcknowledged checks that requests are served and that the operator reads back the
// configuration that was acknowledged. It returns what is broken.
func (f *fleet) checkAcknowledged(r *record, version int) []string {
	var broken []string
	if served := f.lookups(r, lateLookups, "after"); served < lateLookups/4 {
		broken = append(broken, fmt.Sprintf("%d of %d requests were served %s after the disturbance", served, lateLookups, recovery+catchUp))
	}
	status, content, err := f.call("GET", "/config", nil, 2*contact)
	var read struct{ Version int }
	switch {
	case err != nil:
		broken = append(broken, "the acknowledged configuration is not there: "+err.Error())
	case json.NewDecoder(bytes.NewReader(content)).Decode(&read) != nil || read.Version != version:
		broken = append(broken, fmt.Sprintf("the configuration read back is not version %d: status %d, %.80q", version, status, content))
	}
	r.note("operator: GET /config: status %d, version %d, error %v", status, read.Version, err)
	return broken
}

// lookups sends idempotent requests one after the other and returns how many were
// answered with status 200 and the seal of the worker.
func (f *fleet) lookups(r *record, n int, name string) int {
	served := 0
	for i := range n {
		g := f.gateways[i%len(f.gateways)]
		q, err := http.NewRequest(http.MethodGet, "http://"+g.address(frontPort)+"/lookup/1", nil)
		if err != nil {
			return served
		}
		id := fmt.Sprintf("%s-%d", name, i)
		q.Host = "maps.example"
		q.Header.Set("X-Request-Id", id)
		q.Header.Set("X-Deadline-Ms", "1500")
		q.Header.Set("Api-Key", "key-parish")
		r.note("client: %s: sent to %s", id, g.name)
		p, err := callClient.Do(q)
		if err != nil {
			r.note("client: %s: %v", id, err)
			continue
		}
		_ = p.Body.Close()
		r.note("client: %s: status %d, seal %q", id, p.StatusCode, p.Header.Get("X-Response-Seal"))
		if p.StatusCode == http.StatusOK && p.Header.Get("X-Response-Seal") != "" {
			served++
		}
	}
	return served
}
