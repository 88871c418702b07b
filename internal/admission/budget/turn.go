package budget

import "time"

// Turn is the place of a started stream that waits for a retry.
//
//	t := shared.Wait(stream)
//	defer t.Leave()
//	for !t.Take() {
//		select {
//		case <-t.Granted():
//		case <-clock.After(pollInterval):
//		}
//	}
//	retry()
//
// Take must be called repeatedly, since retries become available with time. The calls
// of each stream also serve the streams that come before it.
type Turn struct {
	shared  *Shared
	stream  Stream
	granted chan struct{}
	used    bool // whether Take returned true
}

// Wait adds a started stream to those that wait for a retry. It waits until Leave.
func (f *Shared) Wait(s Stream) *Turn {
	t := &Turn{shared: f, stream: s, granted: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spending.waiting = append(f.spending.waiting, t)
	return t
}

// Granted returns a channel that is closed when the stream was granted a retry.
func (t *Turn) Granted() <-chan struct{} { return t.granted }

// Take reports whether the stream may retry. The retry is charged once.
func (t *Turn) Take() bool {
	f := t.shared
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.refill(now)
	if !f.sumAt.IsZero() {
		granted, _ := f.spending.grant(now, func(Stream) bool { return true })
		f.charge(granted, now)
	}
	if t.used || !t.isGranted() {
		return false
	}
	t.used = true
	return true
}

// Leave ends the wait. A retry that was granted but not taken goes to the next stream.
func (t *Turn) Leave() {
	f := t.shared
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.spending.remove(t) || t.used {
		return
	}
	t.used = true
	if n := f.spending.next(f.clock.Now()); n != nil {
		f.spending.remove(n)
		close(n.granted)
	}
}

func (t *Turn) isGranted() bool {
	select {
	case <-t.granted:
		return true
	default:
		return false
	}
}

// WithdrawNew is like Withdraw for a request whose client has no part of the response
// yet. It leaves the reserved part of the limit, and comes after waiting streams that
// can be continued in time.
func (f *Shared) WithdrawNew() bool {
	return f.withdrawAfter(f.spending.withdrawNew)
}

// WithdrawStarted is like Withdraw for a started stream that does not wait. It comes
// after the waiting streams that precede it.
func (f *Shared) WithdrawStarted(s Stream) bool {
	return f.withdrawAfter(func(now time.Time) ([]*Turn, bool) { return f.spending.withdrawStarted(s, now) })
}

func (f *Shared) withdrawAfter(withdraw func(time.Time) ([]*Turn, bool)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.refill(now)
	if f.sumAt.IsZero() {
		return false
	}
	granted, ok := withdraw(now)
	f.charge(granted, now)
	if ok {
		f.currentBucket(now).Retries++
	}
	return ok
}

// charge counts the retries that were granted to waiting streams and wakes these.
func (f *Shared) charge(granted []*Turn, now time.Time) {
	f.currentBucket(now).Retries += len(granted)
	for _, t := range granted {
		close(t.granted)
	}
}
