package forward

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/notice"
	"github.com/bilberryrock/bilberryrock/internal/placement"
)

const (
	// probeTimeout limits the wait for the report of an engine. A healthy engine
	// responds within milliseconds.
	probeTimeout = 250 * time.Millisecond
	// maxProbeAge is how long a report is reused for other streams.
	maxProbeAge = 150 * time.Millisecond
)

// probeCache requests the reports of engines, which list their stalled streams. Streams
// that stall at the same time share one report.
type probeCache struct {
	clock  fleet.Clock
	prober Prober
	// notices holds the engines that must not be probed. Responses to probes are recorded
	// in it.
	notices *notice.Table
	mu      sync.Mutex
	probes  map[string]*probe
}

// probe is a request for the report of an engine. report and err may be read once done
// is closed.
type probe struct {
	done   chan struct{}
	ended  time.Time
	report placement.Report
	err    error
}

// report returns a report of an engine that is at most maxProbeAge old. The error wraps
// errWithheld if the engine is paused or leaving.
func (s *probeCache) report(ctx context.Context, u notice.Upstream, t exchange.Target) (placement.Report, error) {
	if _, blocked := s.notices.Blocked(u); blocked {
		return placement.Report{}, refusal.WithCause(refusal.NoUpstream, errWithheld, "engine %s is not probed", u.ID)
	}
	s.mu.Lock()
	p := s.probes[t.Address]
	if p == nil || !p.ended.IsZero() && s.clock.Now().Sub(p.ended) > maxProbeAge {
		p = &probe{done: make(chan struct{})}
		s.probes[t.Address] = p
		go s.runProbe(u, t, p)
	}
	s.mu.Unlock()
	select {
	case <-p.done:
		return p.report, p.err
	case <-ctx.Done():
		return placement.Report{}, ctx.Err()
	}
}

func (s *probeCache) runProbe(u notice.Upstream, t exchange.Target, p *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var reply gateway.ResponseHeaders
	p.report, reply, p.err = s.prober.Probe(ctx, t.ID, t.Address)
	s.recordNotices(u, reply)
	s.mu.Lock()
	p.ended = s.clock.Now()
	s.mu.Unlock()
	close(p.done)
}

// recordNotices records what the response to a probe says of the engine.
func (s *probeCache) recordNotices(u notice.Upstream, r gateway.ResponseHeaders) {
	if r.Misdirected {
		return // another process sent it
	}
	if r.Leaving {
		s.notices.RecordLeaving(u)
	}
	s.notices.RecordPause(u, r.Pause)
}
