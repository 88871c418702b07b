// Package follower keeps the active configuration of an instance up to date.
//
// Gossip carries revision numbers only. A Follower fetches the changes since its
// own revision from a peer: two relays of each data centre fetch from voters, all
// other instances from the relays. It validates the document as a whole and then
// stores the Config in a board.Cell. The active revision never decreases.
//
//	f := follower.New(view, fetcher, clock, &cell, logger)
//	defer f.Close()
//	ready := f.Status().State == follower.Ready
//
// A started instance is Ready once it has the highest revision offered by the
// peers that it reached. It is Alone as long as it reaches none.
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

// Reply holds the changes of the document since a revision.
type Reply struct {
	// Document has the revision of the peer and the changed sections, or all
	// sections when Full is set.
	Document document.Document
	Full     bool
}

// Fetcher fetches the document from peers.
type Fetcher interface {
	// Fetch returns the changes that a peer has since a revision, or the whole
	// document for revision zero. The peer may delay its reply by up to wait
	// until it has a newer revision. A voter passes itself as the peer and reads
	// its replica.
	Fetch(ctx context.Context, from membership.Member, after fleet.Revision, wait time.Duration) (Reply, error)
}

// State tells whether the active configuration may be used.
type State int

// The states of a Follower. Ready is final.
const (
	// Starting means that no peer has been asked yet.
	Starting State = iota // starting
	// Alone means that no peer was reached.
	Alone // alone
	// Behind means that a reached peer has a higher revision.
	Behind // behind
	// Ready means that the highest revision of the reached peers is active or
	// was active before.
	Ready // ready
)

//go:generate ../../../bin/stringer -type State -linecomment -output state_string.go

// MarshalText returns the name of the value.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Status describes the active configuration and how current it is.
type Status struct {
	State State `json:"state"`
	// Revision became active at Since and was fetched from Source.
	Revision fleet.Revision   `json:"revision"`
	Since    time.Time        `json:"since"`
	Source   fleet.InstanceID `json:"source"`
	// Highest is the highest revision known from peers and from gossip. The
	// instance lags when it is higher than Revision.
	Highest fleet.Revision `json:"highest"`
	// Confirmed is the last time at which a peer had no newer revision.
	Confirmed time.Time `json:"confirmed"`
	// Fault says why the last newer document was rejected.
	Fault string `json:"fault,omitempty"`
}

// ConfirmationAge returns the time since a peer confirmed the active revision,
// or since the start when none did.
func (s Status) ConfirmationAge(now time.Time) time.Duration { return now.Sub(s.Confirmed) }

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

// New starts a Follower that stores the configuration in cell. The cell must have
// no other writer.
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
			w.sleep(ctx, w.runRound(ctx))
		}
	}()
	return w
}

// Close stops the Follower and waits until it has ended.
func (w *Follower) Close() {
	w.stop()
	<-w.done
}

// Status returns the status of the active configuration.
func (w *Follower) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.status
}

// ChangesSince returns the changes of the active document since a revision. When
// there is no newer revision, it waits for one, but not longer than wait. Relays
// call it to answer the Fetch of their peers.
func (w *Follower) ChangesSince(ctx context.Context, after fleet.Revision, wait time.Duration) Reply {
	timeout := w.clock.After(wait)
	for {
		w.mu.Lock()
		r, changed := w.core.changesSince(after), w.changed
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

// runRound fetches from peers once and returns the pause before the next round.
func (w *Follower) runRound(ctx context.Context) time.Duration {
	members := w.view.Members()
	w.mu.Lock()
	p := w.core.planFetch(w.view.Self(), members)
	w.mu.Unlock()
	results := w.fetchAll(ctx, p)
	if ctx.Err() != nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.core.status
	pause := w.core.handleResults(p, results, members, w.clock.Now())
	w.publishChanges(before, w.core.status)
	return pause
}

// publishChanges logs what a round changed and wakes the waiting calls of
// ChangesSince.
func (w *Follower) publishChanges(before, after Status) {
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

// fetchAll fetches from all peers of a plan concurrently. The results are in the
// order of the peers.
func (w *Follower) fetchAll(ctx context.Context, p fetchPlan) []result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := w.clock.After(p.longPoll + fetchTimeout)
	results := make([]result, len(p.peers))
	var group sync.WaitGroup
	for i, m := range p.peers {
		group.Go(func() {
			reply, err := w.fetcher.Fetch(ctx, m, p.after, p.longPoll)
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

func (w *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}
