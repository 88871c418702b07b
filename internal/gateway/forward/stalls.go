package forward

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
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
	mu     sync.Mutex
	probes map[string]*probe
}

// probe is a request for the report of an engine. report and err may be read once done
// is closed.
type probe struct {
	done   chan struct{}
	ended  time.Time
	report placement.Report
	err    error
}

// report returns a report of an engine that is at most maxProbeAge old.
func (s *probeCache) report(ctx context.Context, t exchange.Target) (placement.Report, error) {
	s.mu.Lock()
	p := s.probes[t.Address]
	if p == nil || !p.ended.IsZero() && s.clock.Now().Sub(p.ended) > maxProbeAge {
		p = &probe{done: make(chan struct{})}
		s.probes[t.Address] = p
		go s.runProbe(t, p)
	}
	s.mu.Unlock()
	select {
	case <-p.done:
		return p.report, p.err
	case <-ctx.Done():
		return placement.Report{}, ctx.Err()
	}
}

func (s *probeCache) runProbe(t exchange.Target, p *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	p.report, p.err = s.prober.Report(ctx, t.ID, t.Address)
	s.mu.Lock()
	p.ended = s.clock.Now()
	s.mu.Unlock()
	close(p.done)
}
