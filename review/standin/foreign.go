package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["foreign"] = foreignHeartbeats }

// foreignHeartbeats ends with a final fault: all processes are killed. After it, another
// writer sends one heartbeat for each address of the workers. It names a service that no
// configuration has, so that it names no worker to use, and the entries of the workers
// hold. Requests must be served again.
func foreignHeartbeats(f *fleet, r *record, trouble bool) ([]string, error) {
	var workers []*worker
	for i := range 3 {
		w, err := f.startWorker(i, "desk-"+strconv.Itoa(i+1), "desk", func(w *worker, c net.Conn, q *http.Request, _ []byte) bool {
			reply(c, http.StatusOK, w.seal(q), "ok")
			return true
		})
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if _, err := f.control("PUT", "/config", configuration(7, route("lookup", "/lookup/", "idempotent", "desk", 1500)), 10*time.Second); err != nil {
		return nil, err
	}
	r.note("operator: version 7 is acknowledged")
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	if n := f.lookups(r, 20, "before"); n < 20 {
		return nil, fmt.Errorf("only %d of 20 requests were served before the final fault", n)
	}
	for _, m := range append(append([]*machine(nil), f.controllers...), f.gateways...) {
		r.note("%s is killed", m.name)
		m.kill(0, false)
	}
	time.Sleep(contact)
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	r.note("all processes are back and ready")
	time.Sleep(contact)
	if trouble {
		for i, w := range workers {
			b := map[string]any{
				"service": "another-service", "address": w.address, "zone": "mid-a", "version": "v1", "slots": 6, "state": "ready",
				"cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			}
			status, err := f.control("PUT", "/instances/another-"+strconv.Itoa(i+1), b, time.Second)
			r.note("another writer: heartbeat of another-%d, service %s, address %s: status %d, error %v", i+1, b["service"], w.address, status, err)
		}
	}
	time.Sleep(recovery)
	const late = 40
	served := 0
	for i := range late {
		served += f.lookups(r, 1, "late-"+strconv.Itoa(i))
		time.Sleep(300 * time.Millisecond)
	}
	if served < late/4 {
		return []string{fmt.Sprintf("%d of %d requests were served that were sent later than %s after all machines were back; the workers were there all the while", served, late, recovery)}, nil
	}
	return nil, nil
}
