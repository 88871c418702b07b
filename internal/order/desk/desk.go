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
	// MaxSendAge is the age of a claim up to which its order is sent. It is
	// shorter than ledger.SettleAge.
	MaxSendAge = 30 * time.Second
	// DefaultTimeout bounds a call that has no timeout of its own.
	DefaultTimeout = 30 * time.Second
	// MaxInFlight bounds the orders in progress and the calls to the ledger that
	// are repeated until they succeed.
	MaxInFlight = 4096

	claimTimeout  = 5 * time.Second
	recordTimeout = 5 * time.Second
	// The pause between two calls to a ledger that can't be reached doubles from
	// firstPause to longestPause.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	maxPicks   = 3
	// outcomeMargin is added to the timeout of a call before another instance takes
	// a claim for one that lost its attempt.
	outcomeMargin = 5 * time.Second
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

	// workCtx ends when Close gives up.
	workCtx    context.Context
	cancelWork context.CancelFunc
	wg         sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	inFlight map[inFlightKey]*inFlightOrder
	// pendingReleases counts orders that are answered and still have a call to the ledger
	// to repeat.
	pendingReleases int
}

// inFlightKey keeps requests with another content apart, because only the ledger
// knows which content the key belongs to.
type inFlightKey struct {
	key    order.Key
	digest [32]byte
}

// inFlightOrder is an order in progress. Requests with the same key wait for it.
type inFlightOrder struct {
	done     chan struct{}
	response upstream.Answer
	err      error
}

// New returns a Desk of an instance.
func New(ledger order.Ledger, clock fleet.Clock, instance fleet.InstanceID, log *zap.Logger) *Desk {
	workCtx, cancelWork := context.WithCancel(context.Background())
	return &Desk{
		ledger:     ledger,
		clock:      clock,
		instance:   instance,
		log:        log.Named("desk"),
		workCtx:    workCtx,
		cancelWork: cancelWork,
		inFlight:   make(map[inFlightKey]*inFlightOrder),
	}
}

// Run runs o, or waits for the same order in progress on this instance, or
// replays its recorded answer. The order goes on when ctx ends; the error has
// kind refusal.Deadline then. The answer is shared and must not be changed.
func (e *Desk) Run(ctx context.Context, o Order) (upstream.Answer, error) {
	f, err := e.joinOrStart(o)
	if err != nil {
		return upstream.Answer{}, err
	}
	select {
	case <-f.done:
		return f.response, f.err
	case <-ctx.Done():
		return upstream.Answer{}, refusal.Because(refusal.Deadline, ctx.Err(), "order is still in progress, ask again with the same key")
	}
}

// Close lets no order in and waits until the orders in progress are answered and
// recorded. When ctx ends first, it gives up what is left and returns the error
// of ctx.
func (e *Desk) Close(ctx context.Context) error {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		e.wg.Wait()
		close(idle)
	}()
	defer e.cancelWork()
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
	// PendingReleases counts the orders that ended without an answer and whose claim
	// is not released yet. It grows while the ledger can't be reached.
	PendingReleases int
}

// Load returns how much work is left, for metrics and for a stop.
func (e *Desk) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: len(e.inFlight), PendingReleases: e.pendingReleases}
}

// Unconfirmed returns err unless its kind says that the request was not run and
// may be sent again, as a full queue does. The ledger was not asked about earlier
// attempts then, so the kind becomes refusal.LedgerUnreachable.
func Unconfirmed(err error) error {
	if err == nil {
		return nil
	}
	properties := refusal.KindOf(err).Answer()
	if !properties.NotRun || !properties.Resend {
		return err
	}
	return refusal.Because(refusal.LedgerUnreachable, err, "this attempt was not run, the ledger was not asked about earlier ones")
}

// joinOrStart returns the flight of o and starts it when there is none.
func (e *Desk) joinOrStart(o Order) (*inFlightOrder, error) {
	k := inFlightKey{key: o.Key, digest: digestOf(o.Call)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if f, ok := e.inFlight[k]; ok {
		return f, nil
	}
	if e.closed {
		return nil, Unconfirmed(refusal.New(refusal.Stopping, "instance is stopping"))
	}
	if len(e.inFlight)+e.pendingReleases >= MaxInFlight {
		return nil, Unconfirmed(refusal.New(refusal.Overloaded, "too many orders in progress"))
	}
	f := &inFlightOrder{done: make(chan struct{})}
	e.inFlight[k] = f
	e.wg.Go(func() { e.execute(k, f, o) })
	return f, nil
}

// execute runs an order and keeps its flight until nothing of it is left to do, so
// that requests with the same key get the answer also before it is recorded.
func (e *Desk) execute(k inFlightKey, f *inFlightOrder, o Order) {
	t := &attempt{Desk: e, order: o, claim: order.Claim{
		Key:      o.Key,
		Attempt:  order.AttemptID(fleet.NewRequestID()),
		Digest:   k.digest,
		Request:  o.Request,
		Instance: e.instance,
		At:       e.clock.Now(),
	}}
	f.response, f.err = t.run()
	if t.pendingCall != nil && f.err == nil {
		close(f.done)
		t.retryPendingCall()
		e.updateLoad(k, 0)
		return
	}
	// The result of an attempt without an answer is not kept: the next request
	// asks the ledger.
	e.updateLoad(k, 1)
	close(f.done)
	t.retryPendingCall()
	e.updateLoad(k, -1)
}

// updateLoad ends a flight and changes the number of unrecorded orders. The second call
// for an order may find the flight of a later attempt, which it leaves alone.
func (e *Desk) updateLoad(k inFlightKey, pendingDelta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pendingDelta >= 0 {
		delete(e.inFlight, k)
	}
	e.pendingReleases += pendingDelta
}

// withTimeout returns a context that ends after t by the clock of the desk, or when
// Close gives up.
func (e *Desk) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(e.workCtx)
	timer := e.clock.After(timeout)
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
	// pendingCall is a call to the ledger that did not succeed yet.
	pendingCall func(context.Context) error
}

func (t *attempt) run() (upstream.Answer, error) {
	ctx, cancel := t.withTimeout(claimTimeout)
	r, err := t.ledger.Claim(ctx, t.claim)
	cancel()
	if err != nil {
		return upstream.Answer{}, t.claimError(err)
	}
	if r.State != order.Claimed || !r.HeldByCaller {
		return t.recordResult(r)
	}
	return t.send()
}

// claimError returns the error of a claim that was not confirmed. Nothing is sent.
func (t *attempt) claimError(err error) error {
	switch refusal.KindOf(err) {
	case refusal.Overloaded, refusal.BadRequest:
		// The ledger confirmed that the key has no claim, or the key is not
		// valid for any attempt.
		return err
	case refusal.NotReady:
		return Unconfirmed(err)
	}
	t.releaseClaim()
	return refusal.Because(refusal.LedgerUnreachable, err, "outcome of the claim is unknown, nothing was sent by this attempt")
}

// recordResult answers from a record of another attempt.
func (t *attempt) recordResult(r order.Record) (upstream.Answer, error) {
	switch {
	case r.DigestMismatch:
		return upstream.Answer{}, refusal.New(refusal.KeyReused, "the key was used before for another order")
	case r.State == order.Free:
		return upstream.Answer{}, refusal.New(refusal.Overloaded, "order was not run: the claim came too late")
	case r.State == order.Done && r.Response != nil:
		return *r.Response, nil
	case r.State == order.Done:
		return upstream.Answer{}, refusal.New(refusal.OutcomeUnknown, "the order ran, its answer was too large to be kept")
	case t.clock.Now().Sub(r.Claim.At) < t.timeout()+MaxSendAge+outcomeMargin:
		return upstream.Answer{}, refusal.New(refusal.InProgress, "the order is in progress").After(time.Second)
	}
	return upstream.Answer{}, refusal.New(refusal.OutcomeUnknown, "an attempt of the order has no answer, an operator must settle it")
}

// send calls upstreams until one of them may have processed the order.
func (t *attempt) send() (upstream.Answer, error) {
	var lastErr error
	for range maxPicks {
		response, err := t.call()
		switch {
		case err == nil && notProcessed(response):
			err = refusal.New(refusal.NoUpstream, "the upstream answered %d", response.Status)
		case err == nil:
			t.recordResponse(response)
			return response, nil
		case refusal.KindOf(err) != refusal.NoUpstream:
			return upstream.Answer{}, refusal.Because(refusal.OutcomeUnknown, err, "the order may have run, its answer is missing")
		}
		lastErr = err
	}
	t.releaseClaim()
	return upstream.Answer{}, refusal.Because(refusal.NoUpstream, lastErr, "order was not run")
}

// call picks an upstream and sends the order to it. The kind of the error is
// refusal.NoUpstream when nothing was sent.
func (t *attempt) call() (upstream.Answer, error) {
	ctx, cancel := t.withTimeout(t.timeout())
	defer cancel()
	// The instance may have been frozen since its claim, and an operator may
	// have settled the claim.
	if t.clock.Now().Sub(t.claim.At) > MaxSendAge {
		return upstream.Answer{}, refusal.New(refusal.NoUpstream, "claim is older than %v", MaxSendAge)
	}
	client, err := t.order.Pick(ctx)
	if err != nil {
		return upstream.Answer{}, refusal.Because(refusal.NoUpstream, err, "no upstream")
	}
	return client.Call(ctx, t.order.Call)
}

func (t *attempt) timeout() time.Duration {
	if t.order.Timeout > 0 {
		return t.order.Timeout
	}
	return DefaultTimeout
}

// recordResponse keeps the answer in the ledger.
func (t *attempt) recordResponse(response upstream.Answer) {
	t.callLedger(func(ctx context.Context) error {
		return t.ledger.Finish(ctx, t.claim.Key, t.claim.Attempt, response)
	})
}

// releaseClaim releases the claim. It is called only when nothing was processed.
func (t *attempt) releaseClaim() {
	t.callLedger(func(ctx context.Context) error {
		return t.ledger.Release(ctx, t.claim.Key, t.claim.Attempt)
	})
}

// callLedger calls the ledger once and leaves the call to retry when it fails.
func (t *attempt) callLedger(call func(context.Context) error) {
	ctx, cancel := t.withTimeout(recordTimeout)
	defer cancel()
	err := call(ctx)
	if isFinal(err) {
		t.warnConflict(err)
		return
	}
	t.pendingCall = call
}

// retryPendingCall repeats the call that failed until it succeeds or Close gives up.
func (t *attempt) retryPendingCall() {
	call := t.pendingCall
	for backoff := minBackoff; call != nil; backoff = min(2*backoff, maxBackoff) {
		select {
		case <-t.workCtx.Done():
			t.log.Error("Order left without its entry in the ledger.", t.logFields()...)
			return
		case <-t.clock.After(backoff):
		}
		ctx, cancel := t.withTimeout(recordTimeout)
		err := call(ctx)
		cancel()
		if isFinal(err) {
			t.warnConflict(err)
			return
		}
	}
}

// isFinal tells whether a call to the ledger is over: it took effect, or it never
// will.
func isFinal(err error) bool {
	return err == nil || refusal.KindOf(err) == refusal.Conflict
}

func (t *attempt) warnConflict(err error) {
	if err != nil {
		t.log.Warn("Ledger holds another outcome of the order.", append(t.logFields(), zap.Error(err))...)
	}
}

func (t *attempt) logFields() []zap.Field {
	return []zap.Field{
		zap.String("account", string(t.claim.Key.Account)),
		zap.String("request", string(t.claim.Request)),
		zap.String("attempt", string(t.claim.Attempt)),
	}
}

func notProcessed(response upstream.Answer) bool {
	return response.Status == http.StatusMisdirectedRequest || response.Status == http.StatusTooEarly
}

// digestOf returns the SHA-256 of method, path and body, each with its length.
func digestOf(c upstream.Call) [32]byte {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(c.Method), []byte(c.Path), c.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	var digest [32]byte
	h.Sum(digest[:0])
	return digest
}
