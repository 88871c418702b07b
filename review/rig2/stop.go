//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// small starts three controllers, some gateways and workers.
func (r *rig) small(gateways int, engines, plain int) ([]*machine, []*worker, error) {
	for z := 1; z <= 3; z++ {
		r.add(fmt.Sprintf("core-%s-1", zoneName(z)), "controller", z, 0)
	}
	var gs []*machine
	for n := 1; n <= gateways; n++ {
		gs = append(gs, r.add(fmt.Sprintf("front-mid-a-%d", n), "gateway", 1, n))
	}
	if err := r.startAll(); err != nil {
		return nil, nil, err
	}
	if err := r.configure(); err != nil {
		return nil, nil, err
	}
	var ws []*worker
	for n := range engines + plain {
		service := "scribe"
		if n >= engines {
			service = "desk"
		}
		w, err := r.addWorker(fmt.Sprintf("i-%d", n+1), service, n < engines, 1)
		if err != nil {
			return nil, nil, err
		}
		ws = append(ws, w)
	}
	for _, w := range ws[:engines] {
		if err := w.awaitLoaded(); err != nil {
			return nil, nil, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return nil, nil, err
	}
	time.Sleep(contact)
	return gs, ws, nil
}

// lateHead: requests whose head began within 3 s after SIGTERM and is completed later.
func lateHead(r *rig) (bool, error) {
	gs, ws, err := r.small(2, 2, 0)
	if err != nil {
		return false, err
	}
	for _, w := range ws {
		w.events, w.pause = 90, 30*time.Millisecond
	}
	g := gs[0]
	c, err := net.DialTimeout("tcp", g.front(), time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	// The channel is kept after a first request.
	for _, w := range ws {
		w.events = 10
	}
	first := answer{id: r.nextID()}
	_, _ = io.WriteString(c, head(http.MethodPost, "/scribe/2f", first.id, 0)+"\r\n")
	first = readAnswer(c, first)
	r.note("client: request %s at %s ended: %v, %d events", first.id, g.name, first, first.pieces())
	if !first.complete {
		return false, fmt.Errorf("the first request was not served")
	}
	for _, w := range ws {
		w.events = 90
	}
	a := answer{id: r.nextID()}
	if r.trouble {
		g.signal(syscall.SIGTERM)
		r.note("platform: SIGTERM to %s", g.name)
	}
	start := time.Now()
	h := head(http.MethodPost, "/scribe/2f", a.id, 0) + "\r\n"
	time.Sleep(2500 * time.Millisecond)
	_, _ = io.WriteString(c, h[:len(h)/2])
	time.Sleep(2800 * time.Millisecond)
	_, err = io.WriteString(c, h[len(h)/2:])
	a.sent = time.Now()
	r.note("client: request %s sent whole %.3f s later: %v", a.id, a.sent.Sub(start).Seconds(), err)
	a = readAnswer(c, a)
	r.note("client: request %s ended after %.3f s: %v, %d events", a.id, a.at.Sub(start).Seconds(), a, a.pieces())
	if a.status == http.StatusServiceUnavailable || a.complete {
		return false, nil
	}
	r.note("BROKEN: LOST: a request that was read whole and passed on has no complete answer")
	return true, nil
}
