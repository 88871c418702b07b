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
	// probeTimeout bounds the wait for the report of an engine. A healthy engine
	// answers within milliseconds.
	probeTimeout = 250 * time.Millisecond
	// probeAge is how long a report serves further streams.
	probeAge = 150 * time.Millisecond
)

// stalls asks engines for their stalled streams. Streams that stall together
// share one report.
type stalls struct {
	clock   fleet.Clock
	prober  Prober
	mu      sync.Mutex
	reports map[string]*probe
}

type probe struct {
	done   chan struct{}
	ended  time.Time
	report placement.Report
	err    error
}

// ask returns a report that is not older than probeAge.
func (s *stalls) ask(ctx context.Context, t exchange.Target) (placement.Report, error) {
	s.mu.Lock()
	p := s.reports[t.Address]
	if p == nil || !p.ended.IsZero() && s.clock.Now().Sub(p.ended) > probeAge {
		p = &probe{done: make(chan struct{})}
		s.reports[t.Address] = p
		go s.run(t, p)
	}
	s.mu.Unlock()
	select {
	case <-p.done:
		return p.report, p.err
	case <-ctx.Done():
		return placement.Report{}, ctx.Err()
	}
}

func (s *stalls) run(t exchange.Target, p *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	p.report, p.err = s.prober.Report(ctx, t.ID, t.Address)
	s.mu.Lock()
	p.ended = s.clock.Now()
	s.mu.Unlock()
	close(p.done)
}
