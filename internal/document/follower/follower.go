// Package follower keeps the configuration in force of an instance up to date.
//
// Gossip carries revision numbers only. A Follower fetches what changed after
// its own revision from a peer: two relays of each data centre fetch from voters,
// all other instances from the relays. It checks the document whole and then
// puts it on the board. The revision in force never decreases.
//
//	f := follower.New(view, fetcher, clock, &cell, logger)
//	defer f.Close()
//	ready := f.Status().State == follower.Ready
//
// A started instance is ready once it has the highest revision that any peer
// offered that it reached. It is Alone as long as it reaches none.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"go.uber.org/zap"
)

// Reply is what a peer has after a revision.
type Reply struct {
	// Document has the revision of the peer and the changed sections, or all
	// sections when Full is set.
	Document document.Document
	Full     bool
}

// Fetcher asks peers for the document.
type Fetcher interface {
	// Fetch returns what a peer has after a revision, or the whole document for
	// revision zero. The peer may hold its reply up to wait until it has
	// something newer. A voter passes itself as the peer and reads its replica.
	Fetch(ctx context.Context, from membership.Member, after fleet.Revision, wait time.Duration) (Reply, error)
}

// State tells whether the configuration in force may be used.
type State int

// The states of a Follower. Ready is final.
const (
	// Starting means that no peer was asked yet.
	Starting State = iota // starting
	// Alone means that no peer was reached.
	Alone // alone
	// Behind means that a reached peer has a higher revision.
	Behind // behind
	// Ready means that the highest revision of the reached peers is in force, or
	// was in force once.
	Ready // ready
)

//go:generate ../../../bin/stringer -type State -linecomment -output state_string.go

// MarshalText returns the name of the value.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Status tells how current the configuration in force is.
type Status struct {
	State State `json:"state"`
	// Revision is in force since Since and came from Source.
	Revision fleet.Revision   `json:"revision"`
	Since    time.Time        `json:"since"`
	Source   fleet.InstanceID `json:"source"`
	// Highest is the highest revision heard of. The instance lags when it is
	// higher than Revision.
	Highest fleet.Revision `json:"highest"`
	// Confirmed is the last time at which a peer had nothing newer.
	Confirmed time.Time `json:"confirmed"`
	// Fault says why the last newer document was not put into force.
	Fault string `json:"fault,omitempty"`
}

// Age returns the time since a peer confirmed the revision in force, or since
// the start when none did.
func (s Status) Age(now time.Time) time.Duration { return now.Sub(s.Confirmed) }

// Follower fetches the configuration of one instance. It is safe for concurrent
// use.
type Follower struct {
	view    membership.View
	fetcher Fetcher
	clock   fleet.Clock
	log     *zap.Logger
	stop    context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	core    *core
	changed chan struct{} // closed when the revision changes
}

// New starts a Follower that puts the configuration into cell. The cell must
// have no other writer.
func New(v membership.View, f Fetcher, c fleet.Clock, cell *board.Cell[document.Config], log *zap.Logger) *Follower {
	ctx, stop := context.WithCancel(context.Background())
	w := &Follower{
		view:    v,
		fetcher: f,
		clock:   c,
		log:     log.Named("follower"),
		stop:    stop,
		done:    make(chan struct{}),
		core:    newCore(cell),
		changed: make(chan struct{}),
	}
	w.core.status.Confirmed = c.Now()
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.pause(ctx, w.round(ctx))
		}
	}()
	return w
}

// Close stops the Follower and waits until it has ended.
func (w *Follower) Close() {
	w.stop()
	<-w.done
}

// Status returns how current the configuration in force is.
func (w *Follower) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.status
}

// ChangesSince returns what is in force after a revision. When there is nothing
// newer, it waits up to wait for it. Relays answer the Fetch of their peers with
// it.
func (w *Follower) ChangesSince(ctx context.Context, after fleet.Revision, wait time.Duration) Reply {
	timeout := w.clock.After(wait)
	for {
		w.mu.Lock()
		r, changed := w.core.since(after), w.changed
		w.mu.Unlock()
		if r.Document.Revision > after || wait <= 0 {
			return r
		}
		select {
		case <-changed:
		case <-timeout:
			return r
		case <-ctx.Done():
			return r
		}
	}
}

// round asks peers once and returns the pause before the next round.
func (w *Follower) round(ctx context.Context) time.Duration {
	members := w.view.Members()
	w.mu.Lock()
	p := w.core.plan(w.view.Self(), members)
	w.mu.Unlock()
	results := w.ask(ctx, p)
	if ctx.Err() != nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.core.status
	pause := w.core.take(p, results, members, w.clock.Now())
	w.report(before, w.core.status)
	return pause
}

// report logs what a round changed and wakes the waiting peers.
func (w *Follower) report(before, after Status) {
	if before.Revision != after.Revision {
		close(w.changed)
		w.changed = make(chan struct{})
		w.log.Info("Configuration in force.", zap.Uint64("revision", uint64(after.Revision)), zap.String("source", string(after.Source)))
	}
	if before.State != after.State {
		w.log.Info("Readiness changed.", zap.Stringer("state", after.State))
	}
	if after.Fault != "" && before.Fault != after.Fault {
		w.log.Error("Newer configuration is not usable.", zap.String("fault", after.Fault))
	}
}

// ask fetches from all peers of a plan at once. The results are in the order of
// the peers.
func (w *Follower) ask(ctx context.Context, p plan) []result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := w.clock.After(p.wait + fetchTimeout)
	results := make([]result, len(p.peers))
	var group sync.WaitGroup
	for i, m := range p.peers {
		group.Go(func() {
			reply, err := w.fetcher.Fetch(ctx, m, p.after, p.wait)
			results[i] = result{from: m, reply: reply, err: err}
		})
	}
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-timeout:
		cancel()
	}
	<-finished
	return results
}

func (w *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}
