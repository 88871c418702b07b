// Package desk runs orders, the calls that may not be repeated.
//
// A Desk claims the key of an order in the ledger, sends the call once, records
// the answer and replays it to every later request with the key:
//
//	answer, err := d.Run(ctx, desk.Order{Key: key, Request: id, Call: call, Pick: pick})
//
// Run returns an error whose kind says "not run" only when no attempt with the
// key has run: the ledger confirmed that the key has no other claim, and this
// attempt sent nothing. Code that refuses an order before it reaches the desk
// knows nothing about earlier attempts and passes its error through Unconfirmed.
//
// A claim is given up when its attempt sent nothing, or when the answer has a
// status that HTTP defines as not processed: 421 Misdirected Request (RFC 9110,
// 15.5.20) and 425 Too Early (RFC 8470, 5.2). Every other answer, errors of the
// service included, is the answer of the order. Without an answer the outcome
// is unknown and the claim stays until an operator settles it.
package desk

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"go.uber.org/zap"
)

const (
	// SendWithin is the age of a claim up to which its order is sent. It is
	// shorter than ledger.SettleAge.
	SendWithin = 30 * time.Second
	// DefaultTimeout bounds a call that has no timeout of its own.
	DefaultTimeout = 30 * time.Second
	// MaxFlights bounds the orders in progress and the calls to the ledger that
	// are repeated until they succeed.
	MaxFlights = 4096

	claimTimeout  = 5 * time.Second
	recordTimeout = 5 * time.Second
	// The pause between two calls to a ledger that can't be reached doubles from
	// firstPause to longestPause.
	firstPause   = 250 * time.Millisecond
	longestPause = 8 * time.Second
	maxPicks     = 3
	// lateness is added to the timeout of a call before another instance takes
	// a claim for one that lost its attempt.
	lateness = 5 * time.Second
)

// Order is one request for an order.
type Order struct {
	Key     order.Key
	Request fleet.RequestID
	Call    upstream.Call
	// Timeout bounds the call to the upstream. Zero stands for DefaultTimeout.
	Timeout time.Duration
	// Pick chooses an upstream. It is called again, up to a few times, when an
	// upstream certainly processed nothing. It must not wait, since the age of
	// the claim is checked before it. Each client that it returns is called once.
	Pick func(ctx context.Context) (upstream.ServiceClient, error)
}

// Desk runs orders for one instance. It is safe for concurrent use.
type Desk struct {
	ledger   order.Ledger
	clock    fleet.Clock
	instance fleet.InstanceID
	log      *zap.Logger

	// work ends when Close gives up.
	work  context.Context
	abort context.CancelFunc
	group sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	flights map[flightKey]*flight
	// unrecorded counts orders that are answered and still have a call to the ledger
	// to repeat.
	unrecorded int
}

// flightKey keeps requests with another content apart, because only the ledger
// knows which content the key belongs to.
type flightKey struct {
	key    order.Key
	digest [32]byte
}

// flight is an order in progress. Requests with the same key wait for it.
type flight struct {
	done   chan struct{}
	answer upstream.Response
	err    error
}

// New returns a Desk of an instance.
func New(l order.Ledger, c fleet.Clock, i fleet.InstanceID, log *zap.Logger) *Desk {
	work, abort := context.WithCancel(context.Background())
	return &Desk{
		ledger:   l,
		clock:    c,
		instance: i,
		log:      log.Named("desk"),
		work:     work,
		abort:    abort,
		flights:  make(map[flightKey]*flight),
	}
}

// Run runs o, or waits for the same order in progress on this instance, or
// replays its recorded answer. The order goes on when ctx ends; the error has
// kind refusal.Deadline then. The answer is shared and must not be changed.
func (d *Desk) Run(ctx context.Context, o Order) (upstream.Response, error) {
	f, err := d.join(o)
	if err != nil {
		return upstream.Response{}, err
	}
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
		return upstream.Response{}, refusal.Because(refusal.Deadline, ctx.Err(), "order is still in progress, ask again with the same key")
	}
}

// Close lets no order in and waits until the orders in progress are answered and
// recorded. When ctx ends first, it gives up what is left and returns the error
// of ctx.
func (d *Desk) Close(ctx context.Context) error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		d.group.Wait()
		close(idle)
	}()
	defer d.abort()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Load counts the work of a Desk.
type Load struct {
	// Running counts the orders that have no answer yet, and those whose answer
	// is known and not recorded yet.
	Running int
	// Unrecorded counts the orders that ended without an answer and whose claim
	// is not released yet. It grows while the ledger can't be reached.
	Unrecorded int
}

// Load returns how much work is left, for metrics and for a stop.
func (d *Desk) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Load{Running: len(d.flights), Unrecorded: d.unrecorded}
}

// Unconfirmed returns err unless its kind says that the request was not run and
// may be sent again, as a full queue does. The ledger was not asked about earlier
// attempts then, so the kind becomes refusal.LedgerUnreachable.
func Unconfirmed(err error) error {
	if err == nil {
		return nil
	}
	a := refusal.KindOf(err).Answer()
	if !a.NotRun || !a.Resend {
		return err
	}
	return refusal.Because(refusal.LedgerUnreachable, err, "this attempt was not run, the ledger was not asked about earlier ones")
}

// join returns the flight of o and starts it when there is none.
func (d *Desk) join(o Order) (*flight, error) {
	k := flightKey{key: o.Key, digest: digestOf(o.Call)}
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.flights[k]; ok {
		return f, nil
	}
	if d.closed {
		return nil, Unconfirmed(refusal.New(refusal.Stopping, "instance is stopping"))
	}
	if len(d.flights)+d.unrecorded >= MaxFlights {
		return nil, Unconfirmed(refusal.New(refusal.Overloaded, "too many orders in progress"))
	}
	f := &flight{done: make(chan struct{})}
	d.flights[k] = f
	d.group.Go(func() { d.execute(k, f, o) })
	return f, nil
}

// execute runs an order and keeps its flight until nothing of it is left to do, so
// that requests with the same key get the answer also before it is recorded.
func (d *Desk) execute(k flightKey, f *flight, o Order) {
	t := &attempt{Desk: d, order: o, claim: order.Claim{
		Key:      o.Key,
		Attempt:  order.AttemptID(fleet.NewRequestID()),
		Digest:   k.digest,
		Request:  o.Request,
		Instance: d.instance,
		At:       d.clock.Now(),
	}}
	f.answer, f.err = t.run()
	if t.unfinished != nil && f.err == nil {
		close(f.done)
		t.retry()
		d.finish(k, 0)
		return
	}
	// The result of an attempt without an answer is not kept: the next request
	// asks the ledger.
	d.finish(k, 1)
	close(f.done)
	t.retry()
	d.finish(k, -1)
}

// finish ends a flight and changes the number of unrecorded orders. The second call
// for an order may find the flight of a later attempt, which it leaves alone.
func (d *Desk) finish(k flightKey, unrecorded int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if unrecorded >= 0 {
		delete(d.flights, k)
	}
	d.unrecorded += unrecorded
}

// bounded returns a context that ends after t by the clock of the desk, or when
// Close gives up.
func (d *Desk) bounded(t time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(d.work)
	timer := d.clock.After(t)
	go func() {
		select {
		case <-timer:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// attempt is one try to run an order.
type attempt struct {
	*Desk
	order Order
	claim order.Claim
	// unfinished is a call to the ledger that did not succeed yet.
	unfinished func(context.Context) error
}

func (t *attempt) run() (upstream.Response, error) {
	ctx, cancel := t.bounded(claimTimeout)
	r, err := t.ledger.Claim(ctx, t.claim)
	cancel()
	if err != nil {
		return upstream.Response{}, t.unclaimed(err)
	}
	if r.State != order.Claimed || !r.Mine {
		return t.other(r)
	}
	return t.send()
}

// unclaimed returns the error of a claim that was not confirmed. Nothing is sent.
func (t *attempt) unclaimed(err error) error {
	switch refusal.KindOf(err) {
	case refusal.Overloaded, refusal.BadRequest:
		// The ledger confirmed that the key has no claim, or the key is not
		// valid for any attempt.
		return err
	case refusal.NotReady:
		return Unconfirmed(err)
	}
	t.giveUp()
	return refusal.Because(refusal.LedgerUnreachable, err, "outcome of the claim is unknown, nothing was sent by this attempt")
}

// other answers from a record of another attempt.
func (t *attempt) other(r order.Record) (upstream.Response, error) {
	switch {
	case r.Reused:
		return upstream.Response{}, refusal.New(refusal.KeyReused, "the key was used before for another order")
	case r.State == order.Free:
		return upstream.Response{}, refusal.New(refusal.Overloaded, "order was not run: the claim came too late")
	case r.State == order.Done && r.Answer != nil:
		return *r.Answer, nil
	case r.State == order.Done:
		return upstream.Response{}, refusal.New(refusal.OutcomeUnknown, "the order ran, its answer was too large to be kept")
	case t.clock.Now().Sub(r.Claim.At) < t.timeout()+SendWithin+lateness:
		return upstream.Response{}, refusal.New(refusal.InProgress, "the order is in progress").After(time.Second)
	}
	return upstream.Response{}, refusal.New(refusal.OutcomeUnknown, "an attempt of the order has no answer, an operator must settle it")
}

// send calls upstreams until one of them may have processed the order.
func (t *attempt) send() (upstream.Response, error) {
	var last error
	for range maxPicks {
		answer, err := t.call()
		switch {
		case err == nil && notProcessed(answer):
			err = refusal.New(refusal.NoUpstream, "the upstream answered %d", answer.Status)
		case err == nil:
			t.record(answer)
			return answer, nil
		case refusal.KindOf(err) != refusal.NoUpstream:
			return upstream.Response{}, refusal.Because(refusal.OutcomeUnknown, err, "the order may have run, its answer is missing")
		}
		last = err
	}
	t.giveUp()
	return upstream.Response{}, refusal.Because(refusal.NoUpstream, last, "order was not run")
}

// call picks an upstream and sends the order to it. The kind of the error is
// refusal.NoUpstream when nothing was sent.
func (t *attempt) call() (upstream.Response, error) {
	ctx, cancel := t.bounded(t.timeout())
	defer cancel()
	// The instance may have been frozen since its claim, and an operator may
	// have settled the claim.
	if t.clock.Now().Sub(t.claim.At) > SendWithin {
		return upstream.Response{}, refusal.New(refusal.NoUpstream, "claim is older than %v", SendWithin)
	}
	client, err := t.order.Pick(ctx)
	if err != nil {
		return upstream.Response{}, refusal.Because(refusal.NoUpstream, err, "no upstream")
	}
	return client.Call(ctx, t.order.Call)
}

func (t *attempt) timeout() time.Duration {
	if t.order.Timeout > 0 {
		return t.order.Timeout
	}
	return DefaultTimeout
}

// record keeps the answer in the ledger.
func (t *attempt) record(answer upstream.Response) {
	t.try(func(ctx context.Context) error {
		return t.ledger.Finish(ctx, t.claim.Key, t.claim.Attempt, answer)
	})
}

// giveUp releases the claim. It is called only when nothing was processed.
func (t *attempt) giveUp() {
	t.try(func(ctx context.Context) error {
		return t.ledger.Release(ctx, t.claim.Key, t.claim.Attempt)
	})
}

// try calls the ledger once and leaves the call to retry when it fails.
func (t *attempt) try(call func(context.Context) error) {
	ctx, cancel := t.bounded(recordTimeout)
	defer cancel()
	err := call(ctx)
	if final(err) {
		t.warn(err)
		return
	}
	t.unfinished = call
}

// retry repeats the call that failed until it succeeds or Close gives up.
func (t *attempt) retry() {
	call := t.unfinished
	for pause := firstPause; call != nil; pause = min(2*pause, longestPause) {
		select {
		case <-t.work.Done():
			t.log.Error("Order left without its entry in the ledger.", t.fields()...)
			return
		case <-t.clock.After(pause):
		}
		ctx, cancel := t.bounded(recordTimeout)
		err := call(ctx)
		cancel()
		if final(err) {
			t.warn(err)
			return
		}
	}
}

// final tells whether a call to the ledger is over: it took effect, or it never
// will.
func final(err error) bool {
	return err == nil || refusal.KindOf(err) == refusal.Conflict
}

func (t *attempt) warn(err error) {
	if err != nil {
		t.log.Warn("Ledger holds another outcome of the order.", append(t.fields(), zap.Error(err))...)
	}
}

func (t *attempt) fields() []zap.Field {
	return []zap.Field{
		zap.String("account", string(t.claim.Key.Account)),
		zap.String("request", string(t.claim.Request)),
		zap.String("attempt", string(t.claim.Attempt)),
	}
}

func notProcessed(a upstream.Response) bool {
	return a.Status == http.StatusMisdirectedRequest || a.Status == http.StatusTooEarly
}

// digestOf returns the SHA-256 of method, path and body, each with its length.
func digestOf(c upstream.Call) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Path), c.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var digest [32]byte
	h.Sum(digest[:0])
	return digest
}
