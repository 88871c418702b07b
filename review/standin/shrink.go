package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() {
	cases["shrink"], sparesOf["shrink"] = replaceTwo, 2
}

// replaceTwo replaces two core machines in a planned way: both successors come first,
// and the two old machines are removed for good one after the other. Long after that, one
// of the remaining three loses its disk. The acknowledged configuration must be there
// after that, and requests must be served.
func replaceTwo(f *fleet, r *record, trouble bool) ([]string, error) {
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
	for _, m := range f.controllers[3:] {
		r.note("%s starts with an empty disk", m.name)
		if err := m.launch(false); err != nil {
			return nil, err
		}
		time.Sleep(catchUp + time.Second)
	}
	for _, m := range f.controllers[:2] {
		r.note("%s gets SIGTERM and is removed for good", m.name)
		m.removeForGood()
		time.Sleep(settled)
	}
	f.list(f.controllers[2:]...)
	if n := f.lookups(r, 20, "replaced"); n < 20 {
		return nil, fmt.Errorf("only %d of 20 requests were served after the replacement", n)
	}
	if _, err := f.control("PUT", "/config", configuration(8, lookup), 10*time.Second); err != nil {
		return nil, err
	}
	r.note("operator: version 8 is acknowledged")
	if trouble {
		loser := f.controllers[2]
		r.note("%s is killed and comes back with an empty disk", loser.name)
		loser.kill(0, true)
	}
	time.Sleep(recovery + catchUp)
	return f.checkAcknowledged(r, 8), nil
}
