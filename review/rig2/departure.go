//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"io"
)

// departure: an engine deregisters with DELETE, and the controller that acknowledges it is
// killed right afterwards. No gateway may send the engine a request later than drain-ms
// after the acknowledgement, once the core is stable again.
func departure(r *rig) (bool, error) {
	const (
		restartDelay = 300 * time.Millisecond
		linger       = 7 * time.Second // from the acknowledgement to the worker's exit
		perGateway   = 6
	)
	for z := 1; z <= 3; z++ {
		r.add(fmt.Sprintf("core-%s-1", zoneName(z)), "controller", z, 0)
	}
	var gateways []*machine
	for n := 1; n <= 3; n++ {
		gateways = append(gateways, r.add(fmt.Sprintf("front-mid-a-%d", n), "gateway", 1, n))
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	if err := r.configure(); err != nil {
		return false, err
	}
	var workers []*worker
	for n := 1; n <= 3; n++ {
		w, err := r.addWorker(fmt.Sprintf("i-%d", n), "scribe", true, 1)
		if err != nil {
			return false, err
		}
		w.events, w.pause = 193, 60*time.Millisecond // the longest stream of the sheet
		workers = append(workers, w)
	}
	for _, w := range workers {
		if err := w.awaitLoaded(); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	leaver := workers[0]
	var streams sync.WaitGroup
	defer streams.Wait()
	quit := make(chan struct{})
	defer close(quit)
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	by := make(map[string]string)
	answers := make(map[string]answer)
	open := func(g *machine, path string) {
		streams.Go(func() {
			id := r.nextID()
			c, err := net.DialTimeout("tcp", g.front(), time.Second)
			if err != nil {
				r.note("client: request %s found no channel to %s: %v", id, g.name, err)
				return
			}
			mu.Lock()
			sent[id], by[id] = time.Now(), g.name
			mu.Unlock()
			_, _ = io.WriteString(c, head(http.MethodPost, path, id, 0)+"\r\n")
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				a := readAnswer(c, answer{id: id})
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				r.note("client: request %s at %s ended: status %d, %d events, complete %t", id, g.name, a.status, a.pieces(), a.complete)
			}()
			select {
			case <-quit:
			case <-closed:
			}
			_ = c.Close()
			<-closed
		})
	}
	// The long streams before the departure may be resumed, those after it may not.
	for end := time.Now().Add(readyWait); ; time.Sleep(100 * time.Millisecond) {
		for _, g := range gateways {
			open(g, "/scribe/2f")
		}
		time.Sleep(500 * time.Millisecond)
		leaver.mu.Lock()
		n := leaver.active
		leaver.mu.Unlock()
		if n >= 2 {
			r.note("worker %s has %d streams in progress", leaver.id, n)
			break
		}
		if time.Now().After(end) {
			return false, fmt.Errorf("no stream reached the engine that is to leave")
		}
	}
	core := r.controllers()[1]
	time.Sleep(contact) // nothing has happened to any machine for contact-ms
	leaver.endBeats()
	body := leaver.leave()
	status := call(http.MethodDelete, "http://"+core.control()+"/instances/"+leaver.id, body)
	acked := time.Now()
	if r.trouble {
		core.signal(syscall.SIGKILL)
	}
	r.note("worker %s: DELETE at %s is answered %d", leaver.id, core.name, status)
	if status != http.StatusOK {
		return false, fmt.Errorf("the departure was not acknowledged")
	}
	if r.trouble {
		r.note("platform: SIGKILL to %s, %.1f ms after the answer", core.name, time.Since(acked).Seconds()*1e3)
		<-core.done
		time.Sleep(restartDelay)
		if err := core.run(false); err != nil {
			return false, err
		}
	} else {
		time.Sleep(restartDelay)
	}
	time.Sleep(contact + 300*time.Millisecond)
	r.note("nothing has happened to the core for contact-ms; %d requests to each gateway", perGateway)
	from := time.Now()
	for range perGateway {
		for _, g := range gateways {
			open(g, "/draft/2f")
		}
	}
	time.Sleep(time.Until(acked.Add(linger)))
	r.note("worker %s exits, %.1f s after its departure was acknowledged", leaver.id, time.Since(acked).Seconds())
	_ = leaver.server.Close()
	time.Sleep(time.Duration(leaver.events)*leaver.pause - 2*time.Second)
	broken, lost := 0, 0
	for _, w := range workers {
		w.mu.Lock()
		for _, a := range w.arrivals {
			mu.Lock()
			at, g := sent[a.id], by[a.id]
			mu.Unlock()
			if at.Before(from) {
				continue
			}
			r.note("request %s of %s, sent at %.3f, reached worker %s at %.3f", a.id, g, r.since(at), w.id, r.since(a.at))
			if w == leaver {
				broken++
				r.note("BROKEN: DRAIN: that is %.3f s after the acknowledged departure, drain-ms is 2000", a.at.Sub(acked).Seconds())
				mu.Lock()
				if c, ended := answers[a.id]; ended && !c.complete {
					lost++
				}
				mu.Unlock()
			}
		}
		w.mu.Unlock()
	}
	r.note("%d streams reached the worker that had left, and %d of them were lost with it", broken, lost)
	return broken > 0, nil
}
