// Package buffer limits the memory that the responses of upstreams take together, however
// many requests a process has in progress and whatever the upstreams send.
//
//	c := budget.Open(func() { _ = conn.Close() })
//	defer c.Release()
//	if err := c.Add(bytes); err != nil {
//		return err // wraps buffer.ErrExhausted
//	}
//
// Ordinary responses are small. If the budget is exhausted, the responses with the largest
// charges are aborted, so that those of other requests still fit.
package buffer

import (
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// baseMemory is the memory in bytes that a process takes without requests.
	baseMemory = 32 << 20
	// shareDivisor is the part of the rest that responses may be charged.
	shareDivisor = 4
	// minBudget is the smallest budget in bytes.
	minBudget = 12 << 20
)

// ErrExhausted is the cause of errors of responses that were aborted.
var ErrExhausted = errors.New("the memory for responses of upstreams is exhausted")

// Budget limits the sum of the charges of responses. It is safe for concurrent use. A nil
// Budget has no limit.
type Budget struct {
	limit int64 // in bytes

	mu sync.Mutex
	// charged is the sum of all charges, of which aborted belongs to responses that are
	// being aborted.
	charged, aborted int64
	open             map[*Charge]struct{} // without those that are being aborted
	aborts           uint64
}

// NewBudget returns a budget for a machine with a memory in bytes.
func NewBudget(memory int64) *Budget {
	return &Budget{limit: max(minBudget, (memory-baseMemory)/shareDivisor), open: make(map[*Charge]struct{})}
}

// Charge is the memory of one response. Its methods are safe for concurrent use. A nil
// Charge has no limit.
type Charge struct {
	budget *Budget
	// The budget guards the fields below. abort is called at most once, and not after
	// Release.
	bytes             int64
	abort             func()
	aborted, released bool
}

// Open returns a charge of no bytes. abort must make its owner call Release soon; it must
// not block or call methods of the charge. Release must be called.
func (b *Budget) Open(abort func()) *Charge {
	if b == nil {
		return nil
	}
	c := &Charge{budget: b, abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[c] = struct{}{}
	return c
}

// Add adds a number of bytes. It returns an error if the response is aborted. It has no
// effect after Release.
func (c *Charge) Add(bytes int64) error {
	if c == nil {
		return nil
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.released {
		return nil
	}
	b.charged += bytes
	c.bytes += bytes
	if c.aborted {
		b.aborted += bytes
		return ErrExhausted
	}
	for b.charged-b.aborted > b.limit {
		b.abortLargest()
	}
	if c.aborted {
		return ErrExhausted
	}
	return nil
}

// OnAbort replaces the function that aborts the response. It returns an error if the
// response was aborted before.
func (c *Charge) OnAbort(abort func()) error {
	if c == nil {
		return nil
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.aborted {
		return ErrExhausted
	}
	c.abort = abort
	return nil
}

// Err returns err, or ErrExhausted with its text if the response was aborted.
func (c *Charge) Err(err error) error {
	if c == nil || err == nil || errors.Is(err, ErrExhausted) {
		return err
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.aborted {
		return errors.Wrap(ErrExhausted, err.Error())
	}
	return err
}

// Release ends the charge. Further calls have no effect.
func (c *Charge) Release() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	delete(b.open, c)
	b.charged -= c.bytes
	if c.aborted {
		b.aborted -= c.bytes
	}
}

// abortLargest aborts the response with the largest charge.
func (b *Budget) abortLargest() {
	var largest *Charge
	for c := range b.open {
		if largest == nil || c.bytes > largest.bytes {
			largest = c
		}
	}
	largest.aborted = true
	b.aborted += largest.bytes
	b.aborts++
	delete(b.open, largest)
	largest.abort()
}

var (
	chargedDesc = prometheus.NewDesc("bilberryrock_upstream_buffered_bytes", "Memory that is charged to responses of upstreams.", nil, nil)
	limitDesc   = prometheus.NewDesc("bilberryrock_upstream_buffer_limit_bytes", "Greatest memory that may be charged to responses of upstreams.", nil, nil)
	abortedDesc = prometheus.NewDesc("bilberryrock_upstream_aborted_responses_total", "Responses of upstreams that were aborted for lack of memory.", nil, nil)
)

// Describe implements prometheus.Collector.
func (b *Budget) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{chargedDesc, limitDesc, abortedDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (b *Budget) Collect(out chan<- prometheus.Metric) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out <- prometheus.MustNewConstMetric(chargedDesc, prometheus.GaugeValue, float64(b.charged))
	out <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(b.limit))
	out <- prometheus.MustNewConstMetric(abortedDesc, prometheus.CounterValue, float64(b.aborts))
}
