package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// catchUp is catch-up-s of the settings, and recovery is recovery-s.
const (
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
)

func init() {
	cases["replace"], sparesOf["replace"] = replaceCore, 1
}

// replaceCore replaces a core machine in a planned way. After its successor has had the
// time to catch up, another core machine loses its disk. The acknowledged configuration
// must be there after that, and requests must be served.
func replaceCore(f *fleet, r *record, trouble bool) ([]string, error) {
	_, err := f.startWorker(0, "desk-1", "desk", func(w *worker, c net.Conn, q *http.Request, _ []byte) bool {
		reply(c, http.StatusOK, w.seal(q), "ok")
		return true
	})
	if err != nil {
		return nil, err
	}
	lookup := route("lookup", "/lookup/", "idempotent", "desk", 1500)
	if _, err := f.control("PUT", "/config", configuration(7, lookup), 10*time.Second); err != nil {
		return nil, err
	}
	r.note("operator: version 7 is acknowledged")
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	if n := f.lookups(r, 20, "before"); n < 20 {
		return nil, fmt.Errorf("only %d of 20 requests were served before the disturbance", n)
	}
	leaver, loser, successor := f.controllers[0], f.controllers[1], f.controllers[3]
	if err := successor.launch(false); err != nil {
		return nil, err
	}
	r.note("%s starts with an empty disk, to replace %s", successor.name, leaver.name)
	time.Sleep(catchUp + 2*time.Second)
	r.note("%s gets SIGTERM and is removed for good", leaver.name)
	leaver.removeForGood()
	f.list(f.controllers[1:]...)
	time.Sleep(2 * time.Second)
	if _, err := f.control("PUT", "/config", configuration(8, lookup), 10*time.Second); err != nil {
		return nil, err
	}
	r.note("operator: version 8 is acknowledged")
	if trouble {
		r.note("%s is killed and comes back with an empty disk", loser.name)
		loser.kill(0, true)
	}
	time.Sleep(recovery + catchUp)
	return f.checkAcknowledged(r, 8), nil
}

// checkAcknowledged checks that requests are served and that the operator reads back the
// configuration that was acknowledged. It returns what is broken.
func (f *fleet) checkAcknowledged(r *record, version int) []string {
	var broken []string
	if served := f.lookups(r, 20, "after"); served < 5 {
		broken = append(broken, fmt.Sprintf("%d of 20 requests were served %s after the disturbance", served, recovery+catchUp))
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
