//go:build review

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

// legalHead: requests inside the limits whose heads consist of many short lines.
func legalHead(r *rig) (bool, error) {
	const requests = 20
	gs, _, err := r.small(2, 0, 2)
	if err != nil {
		return false, err
	}
	denied := 0
	for n := range requests {
		g := gs[n%len(gs)]
		a := answer{id: r.nextID()}
		h := strings.Replace(head(http.MethodPost, "/order/2f", a.id, 0), "20000", "1500", 1)
		if r.trouble {
			for i := 0; len(h) < maxHeadSize-400; i++ {
				h += fmt.Sprintf("x%x:\r\n", i%16)
			}
		}
		h += "\r\n"
		c, err := net.DialTimeout("tcp", g.front(), time.Second)
		if err != nil {
			return false, err
		}
		_, err = io.WriteString(c, h)
		if err != nil {
			return false, err
		}
		a = readAnswer(c, a)
		_ = c.Close()
		r.note("client: order %s at %s, head of %d bytes (limit %d): %v %s", a.id, g.name, len(h), maxHeadSize, a, strings.TrimSpace(a.body))
		if a.status >= 400 && a.status < 500 && a.status != 429 && a.status != 408 && a.status != 421 {
			denied++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if denied > 5+requests/500 {
		r.note("BROKEN: DENIED: %d of %d proper requests were refused with a 4xx", denied, requests)
		return true, nil
	}
	return false, nil
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
	return a.status != http.StatusServiceUnavailable && !a.complete, nil
}
