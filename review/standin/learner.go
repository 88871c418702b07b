package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["learner"], sparesOf["learner"] = stuckLearner, 1
}

// stuckLearner replaces a core machine in a planned way. Another core machine stands
// still for a moment while the successor starts. Long after that, one more core machine
// loses its disk. The acknowledged configuration must be there after that, and requests
// must be served.
func stuckLearner(f *fleet, r *record, trouble bool) ([]string, error) {
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
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	if n := f.lookups(r, 20, "before"); n < 20 {
		return nil, fmt.Errorf("only %d of 20 requests were served before the disturbance", n)
	}
	leader := f.leader()
	if leader < 0 {
		return nil, fmt.Errorf("no controller leads")
	}
	frozen, loser, leaver := f.controllers[(leader+1)%3], f.controllers[(leader+1)%3], f.controllers[(leader+2)%3]
	successor := f.controllers[3]
	if trouble {
		r.note("%s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(1300 * time.Millisecond)
	}
	r.note("%s starts with an empty disk, to replace %s", successor.name, leaver.name)
	if err := successor.launch(false); err != nil {
		return nil, err
	}
	if trouble {
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && f.members(leader) < 4; time.Sleep(5 * time.Millisecond) {
		}
		frozen.signal(syscall.SIGCONT)
		r.note("%s goes on", frozen.name)
	}
	time.Sleep(catchUp + contact)
	r.note("%s gets SIGTERM and is removed for good", leaver.name)
	leaver.removeForGood()
	f.list(f.controllers[leader], frozen, successor)
	time.Sleep(settled)
	if n := f.lookups(r, 20, "replaced"); n < 20 {
		return nil, fmt.Errorf("only %d of 20 requests were served after the replacement", n)
	}
	if _, err := f.control("PUT", "/config", configuration(8, lookup), 10*time.Second); err != nil {
		return nil, err
	}
	r.note("operator: version 8 is acknowledged")
	r.note("%s is killed and comes back with an empty disk", loser.name)
	loser.kill(0, true)
	time.Sleep(recovery + catchUp)
	return f.checkAcknowledged(r, 8), nil
}

// leader returns the index of the controller that leads, or -1.
func (f *fleet) leader() int {
	for i := range f.controllers {
		if strings.Contains(f.metrics(i), `bilberryrock_quorum_leads{group="config"} 1`) {
			return i
		}
	}
	return -1
}

// members returns the number of members that the i-th controller names as the leader.
func (f *fleet) members(i int) int {
	return strings.Count(f.metrics(i), "bilberryrock_quorum_member_active{")
}

func (f *fleet) metrics(i int) string {
	p, err := callClient.Get("http://" + f.controllers[i].address(lastInternalPort) + "/metrics")
	if err != nil {
		return ""
	}
	defer p.Body.Close()
	b, _ := io.ReadAll(p.Body)
	return string(b)
}
