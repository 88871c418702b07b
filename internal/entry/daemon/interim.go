package daemon

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// memoryTrail keeps the newest records in a map.
type memoryTrail struct {
	mu      sync.Mutex
	records map[string]*report.Record
	ring    []string
}

const keptRecords = 10000

func (t *memoryTrail) Open(id string, account fleet.AccountID, team fleet.TeamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = make(map[string]*report.Record)
	}
	if len(t.ring) == keptRecords {
		delete(t.records, t.ring[0])
		t.ring = t.ring[1:]
	}
	t.ring = append(t.ring, id)
	t.records[id] = &report.Record{ID: id, Account: account, Team: team}
}

func (t *memoryTrail) Add(id string, e report.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil {
		r.Entries = append(r.Entries, e)
	}
}

func (t *memoryTrail) Find(id string) (report.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		return report.Record{}, false
	}
	found := *r
	found.Entries = append([]report.Entry(nil), r.Entries...)
	return found, true
}

// firstFit plans the chain of the first engines that continue each other.
type firstFit struct{ d *Daemon }

func (p firstFit) Plan(id fleet.ModelID, avoid []fleet.UpstreamID) (pipeline.Chain, error) {
	c := p.d.state.config.Load()
	if c == nil {
		return pipeline.Chain{}, refusal.New(refusal.NotReady, "no configuration is in force")
	}
	m := c.Models[id]
	chain := pipeline.Chain{Model: id, Version: m.Version, Adapter: m.Adapter}
	usable := p.d.decisions.roster.Usable(m.Pool, p.d.clock.Now())
	for next := fleet.Layer(0); next < m.Layers; {
		u, found := cover(usable, m.Version, next, avoid)
		if !found {
			return chain, refusal.New(refusal.NoUpstream, "no engine holds layer %d of model %q", next, id)
		}
		chain.Stages = append(chain.Stages, pipeline.Stage{Upstream: u, Layers: upstream.LayerRange{From: next, To: u.Layers.To}})
		next = u.Layers.To
	}
	return chain, nil
}

func cover(usable []upstream.Upstream, version string, layer fleet.Layer, avoid []fleet.UpstreamID) (upstream.Upstream, bool) {
	for _, u := range usable {
		out := false
		for _, a := range avoid {
			out = out || a == u.ID
		}
		if !out && u.Version == version && u.Layers.From <= layer && layer < u.Layers.To {
			return u, true
		}
	}
	return upstream.Upstream{}, false
}

// Order claims the key, sends the call once and records the answer.
func (r *requests) Order(ctx context.Context, id fleet.RequestID, k order.Key, p document.Pool, c upstream.Call) (upstream.Answer, error) {
	d := r.daemon
	digest := sha256.Sum256(fmt.Appendf(nil, "%s %s\n%s", c.Method, c.Path, c.Body))
	claim := order.Claim{Key: k, Attempt: order.AttemptID(id), Digest: digest, Request: id, Instance: d.settings.Instance.ID, At: d.clock.Now()}
	record, err := d.state.ledger.Claim(ctx, claim)
	switch {
	case err != nil:
		return upstream.Answer{}, err
	case record.Reused:
		return upstream.Answer{}, refusal.New(refusal.KeyReused, "the key was used before for another order")
	case record.State == order.Done:
		return *record.Answer, nil
	case !record.Mine:
		return upstream.Answer{}, refusal.New(refusal.OutcomeUnknown, "an earlier attempt with this key may have run")
	}
	lease, err := d.decisions.dispatcher.Pick(id, p.ID, nil)
	if err != nil {
		_ = d.state.ledger.Release(ctx, k, claim.Attempt)
		return upstream.Answer{}, err
	}
	answer, err := d.decisions.dialer.Service(lease.Upstream()).Call(ctx, c)
	if err != nil {
		lease.Done(pool.Failed)
		return answer, refusal.Because(refusal.OutcomeUnknown, err, "the order may have run")
	}
	lease.Done(pool.Succeeded)
	return answer, d.state.ledger.Finish(ctx, k, claim.Attempt, answer)
}
