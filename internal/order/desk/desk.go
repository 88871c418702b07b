// Package desk executes orders, which are at-most-once calls to upstreams.
//
// An Executor claims the key of an order in the ledger, sends the call once,
// records the response and replays it to every later request with the same key:
//
//	response, err := e.Run(ctx, desk.Order{Key: key, Request: id, Call: call, Pick: pick})
//
// Run returns an error whose kind says "not run" only when no attempt with the
// key has run: the ledger confirmed that the key has no other claim, and this
// attempt sent nothing. Code that refuses an order before it reaches the Executor
// knows nothing about earlier attempts and passes its error through Unconfirmed.
//
// A claim is released when its attempt sent nothing, or when the response has a
// status that HTTP defines as not processed: 421 Misdirected Request (RFC 9110,
// 15.5.20) and 425 Too Early (RFC 8470, 5.2). Every other response, including
// errors of the service, is the response of the order. Without a response the
// outcome is unknown and the claim stays until an operator settles it.
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
	// MaxSendAge is the maximum age of a claim at which its order is still sent.
	// It is shorter than ledger.MinSettleAge.
	MaxSendAge = 30 * time.Second
	// DefaultTimeout limits a call to an upstream when Order.Timeout is not set.
	DefaultTimeout = 30 * time.Second
	// MaxInFlight is the maximum number of orders in progress plus releases that
	// are still being retried.
	MaxInFlight = 4096

	claimTimeout = 5 * time.Second
	// recordTimeout limits one call that records a response or releases a claim.
	recordTimeout = 5 * time.Second
	// The backoff between two calls to an unreachable ledger doubles from
	// minBackoff to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// maxPicks is the maximum number of upstreams that one attempt tries.
	maxPicks = 3
	// outcomeMargin is added to MaxSendAge and the timeout of the call. A claim
	// without a response is reported as in progress up to that age. From then on
	// its attempt is presumed lost and the outcome is reported as unknown.
	outcomeMargin = 5 * time.Second
)

// Order is a request to run an order.
type Order struct {
	Key     order.Key
	Request fleet.RequestID
	Call    upstream.Call
	// Timeout limits each call to an upstream. Zero means DefaultTimeout.
	Timeout time.Duration
	// Pick chooses an upstream. It is called again, a few times at most, when an
	// upstream certainly processed nothing. It must not block, because the age of
	// the claim is checked before it is called. Each client that it returns is
	// called once.
	Pick func(ctx context.Context) (upstream.ServiceClient, error)
}

// Executor runs orders for one instance. It is safe for concurrent use.
type Executor struct {
	ledger   order.Ledger
	clock    fleet.Clock
	instance fleet.InstanceID
	log      *zap.Logger

	// workCtx is canceled when Close returns.
	workCtx    context.Context
	cancelWork context.CancelFunc
	wg         sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	inFlight map[inFlightKey]*inFlightOrder
	// pendingReleases is the number of orders whose callers have their result and
	// that may still have a call to the ledger to retry.
	pendingReleases int
}

// inFlightKey includes the digest, because requests may use the same key with
// different content and only the ledger knows which content the key belongs to.
type inFlightKey struct {
	key    order.Key
	digest [32]byte
}

// inFlightOrder is an order in progress. Requests with the same key and content
// share it. response and err are valid once done is closed.
type inFlightOrder struct {
	done     chan struct{}
	response upstream.Response
	err      error
}

// New returns an Executor for an instance.
func New(ledger order.Ledger, clock fleet.Clock, instance fleet.InstanceID, log *zap.Logger) *Executor {
	workCtx, cancelWork := context.WithCancel(context.Background())
	return &Executor{
		ledger:     ledger,
		clock:      clock,
		instance:   instance,
		log:        log.Named("desk"),
		workCtx:    workCtx,
		cancelWork: cancelWork,
		inFlight:   make(map[inFlightKey]*inFlightOrder),
	}
}

// Run runs o, waits for the same order already in progress on this instance, or
// replays its recorded response. If ctx ends first, Run returns an error of kind
// refusal.Deadline and the order continues. The response is shared and must not be
// modified.
func (e *Executor) Run(ctx context.Context, o Order) (upstream.Response, error) {
	f, err := e.joinOrStart(o)
	if err != nil {
		return upstream.Response{}, err
	}
	select {
	case <-f.done:
		return f.response, f.err
	case <-ctx.Done():
		return upstream.Response{}, refusal.WithCause(refusal.Deadline, ctx.Err(), "order is still in progress, ask again with the same key")
	}
}

// Close refuses new orders and waits until the orders in progress have finished
// and their outcomes are recorded. If ctx ends first, it cancels the remaining
// work and returns the error of ctx.
func (e *Executor) Close(ctx context.Context) error {
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

// Load is the amount of unfinished work of an Executor.
type Load struct {
	// Running is the number of orders that have no response yet, or whose response
	// is not recorded yet.
	Running int
	// PendingReleases is the number of orders that ended without a response and
	// whose claim is not released yet. It grows while the ledger is unreachable.
	PendingReleases int
}

// Load returns the unfinished work, for metrics and for shutdown.
func (e *Executor) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: len(e.inFlight), PendingReleases: e.pendingReleases}
}

// Unconfirmed converts an error of an order that was refused before the ledger was
// asked about earlier attempts. If the kind of err says that the request was not
// run and may be sent again, as for a full queue, the kind becomes
// refusal.LedgerUnreachable, because an earlier attempt may have run. Other errors
// are returned unchanged.
func Unconfirmed(err error) error {
	if err == nil {
		return nil
	}
	properties := refusal.KindOf(err).Response()
	if !properties.NotRun || !properties.ResendSafe {
		return err
	}
	return refusal.WithCause(refusal.LedgerUnreachable, err, "this attempt was not run, the ledger was not asked about earlier ones")
}

// joinOrStart returns the order in progress that matches o, or starts o.
func (e *Executor) joinOrStart(o Order) (*inFlightOrder, error) {
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

// execute runs an order. An order with a response stays in flight until the
// response is recorded, so that requests with the same key get it before then.
func (e *Executor) execute(k inFlightKey, f *inFlightOrder, o Order) {
	t := &attempt{Executor: e, order: o, claim: order.Claim{
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
	// The error of an attempt without a response is not kept: the next request
	// asks the ledger again.
	e.updateLoad(k, 1)
	close(f.done)
	t.retryPendingCall()
	e.updateLoad(k, -1)
}

// updateLoad adds pendingDelta to the number of pending releases. Unless
// pendingDelta is negative, it also removes the order in flight. The second call
// for an order, with -1, must not remove it, because by then the entry may belong
// to a later attempt.
func (e *Executor) updateLoad(k inFlightKey, pendingDelta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pendingDelta >= 0 {
		delete(e.inFlight, k)
	}
	e.pendingReleases += pendingDelta
}

// withTimeout returns a context that is canceled after timeout by the clock of the
// Executor, or when workCtx ends.
func (e *Executor) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
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

// attempt is one attempt to run an order.
type attempt struct {
	*Executor
	order Order
	claim order.Claim
	// pendingCall is a call to the ledger that failed and must be retried, or nil.
	pendingCall func(context.Context) error
}

func (t *attempt) run() (upstream.Response, error) {
	ctx, cancel := t.withTimeout(claimTimeout)
	r, err := t.ledger.Claim(ctx, t.claim)
	cancel()
	if err != nil {
		return upstream.Response{}, t.claimError(err)
	}
	if r.State != order.Claimed || !r.HeldByCaller {
		return t.recordResult(r)
	}
	return t.send()
}

// claimError converts the error of a claim that was not confirmed. Nothing is sent
// for such a claim. If the claim may have taken effect, it is released.
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
	return refusal.WithCause(refusal.LedgerUnreachable, err, "outcome of the claim is unknown, nothing was sent by this attempt")
}

// recordResult returns the result for a record whose claim this attempt does not
// hold.
func (t *attempt) recordResult(r order.Record) (upstream.Response, error) {
	switch {
	case r.DigestMismatch:
		return upstream.Response{}, refusal.New(refusal.KeyReused, "the key was used before for another order")
	case r.State == order.Free:
		return upstream.Response{}, refusal.New(refusal.Overloaded, "order was not run: the claim came too late")
	case r.State == order.Done && r.Response != nil:
		return *r.Response, nil
	case r.State == order.Done:
		return upstream.Response{}, refusal.New(refusal.OutcomeUnknown, "the order ran, its answer was too large to be kept")
	case t.clock.Now().Sub(r.Claim.At) < t.timeout()+MaxSendAge+outcomeMargin:
		return upstream.Response{}, refusal.New(refusal.InProgress, "the order is in progress").WithRetryAfter(time.Second)
	}
	return upstream.Response{}, refusal.New(refusal.OutcomeUnknown, "an attempt of the order has no answer, an operator must settle it")
}

// send calls up to maxPicks upstreams until one of them may have processed the
// order.
func (t *attempt) send() (upstream.Response, error) {
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
			return upstream.Response{}, refusal.WithCause(refusal.OutcomeUnknown, err, "the order may have run, its answer is missing")
		}
		lastErr = err
	}
	t.releaseClaim()
	return upstream.Response{}, refusal.WithCause(refusal.NoUpstream, lastErr, "order was not run")
}

// call picks an upstream and sends the order to it. The kind of the error is
// refusal.NoUpstream when nothing was sent.
func (t *attempt) call() (upstream.Response, error) {
	ctx, cancel := t.withTimeout(t.timeout())
	defer cancel()
	// The instance may have been suspended since it made the claim, and an operator
	// may have settled the claim in the meantime.
	if t.clock.Now().Sub(t.claim.At) > MaxSendAge {
		return upstream.Response{}, refusal.New(refusal.NoUpstream, "claim is older than %v", MaxSendAge)
	}
	client, err := t.order.Pick(ctx)
	if err != nil {
		return upstream.Response{}, refusal.WithCause(refusal.NoUpstream, err, "no upstream")
	}
	return client.Call(ctx, t.order.Call)
}

func (t *attempt) timeout() time.Duration {
	if t.order.Timeout > 0 {
		return t.order.Timeout
	}
	return DefaultTimeout
}

// recordResponse records the response in the ledger.
func (t *attempt) recordResponse(response upstream.Response) {
	t.callLedger(func(ctx context.Context) error {
		return t.ledger.Finish(ctx, t.claim.Key, t.claim.Attempt, response)
	})
}

// releaseClaim releases the claim. It must only be called when no upstream has
// processed the order.
func (t *attempt) releaseClaim() {
	t.callLedger(func(ctx context.Context) error {
		return t.ledger.Release(ctx, t.claim.Key, t.claim.Attempt)
	})
}

// callLedger calls the ledger once. If that fails, it leaves the call to
// retryPendingCall.
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

// retryPendingCall retries the failed call, if there is one, until its outcome is
// final or workCtx ends.
func (t *attempt) retryPendingCall() {
	call := t.pendingCall
	for backoff := minBackoff; call != nil; backoff = min(2*backoff, maxBackoff) {
		select {
		case <-t.workCtx.Done():
			t.log.Error("Executor closed before the outcome of an order was stored in the ledger.", t.logFields()...)
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

// isFinal reports whether a call to the ledger with this error needs no retry: it
// took effect, or it never will.
func isFinal(err error) bool {
	return err == nil || refusal.KindOf(err) == refusal.Conflict
}

func (t *attempt) warnConflict(err error) {
	if err != nil {
		t.log.Warn("Ledger already holds a different outcome of the order.", append(t.logFields(), zap.Error(err))...)
	}
}

func (t *attempt) logFields() []zap.Field {
	return []zap.Field{
		zap.String("account", string(t.claim.Key.Account)),
		zap.String("request", string(t.claim.Request)),
		zap.String("attempt", string(t.claim.Attempt)),
	}
}

// notProcessed reports whether the status of a response guarantees that the
// upstream did not process the request.
func notProcessed(response upstream.Response) bool {
	return response.Status == http.StatusMisdirectedRequest || response.Status == http.StatusTooEarly
}

// digestOf returns the SHA-256 of method, path and body, each prefixed with its
// length as 8 bytes.
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
