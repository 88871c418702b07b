//go:build review

package main

import (
	"fmt"
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
