package listener

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// DefaultMemoryBytes is the memory of a machine whose settings don't give it.
	DefaultMemoryBytes = 112 << 20
	// DefaultMaxDescriptors is the number of descriptors of a machine whose settings don't
	// give it.
	DefaultMaxDescriptors = 2870

	// baseMemory is the memory in bytes that a process takes without clients.
	baseMemory = 32 << 20
	// headMemoryDivisor and bodyMemoryDivisor are the parts of the rest that connections
	// with their heads and bodies may be charged. What remains is for garbage, responses
	// and what is not counted. With a quarter for heads, closing and replacing connections
	// at a high rate made enough garbage to exceed the memory of the machine.
	headMemoryDivisor = 6
	bodyMemoryDivisor = 4
	// runtimeMemoryPercent is the part of the memory at which the garbage collector runs
	// more often. The rest is for the text of the program and the delay of the collector.
	// At 70 a process with 112 MiB exceeded them by garbage.
	runtimeMemoryPercent = 60
	// minClientMemory is the smallest budget for heads or bodies in bytes. The largest
	// legal body of 4 MiB costs twice its size.
	minClientMemory = 12 << 20
	// reservedDescriptors are for files, listeners and connections between daemons.
	reservedDescriptors = 64
	// descriptorsPerConnection covers a connection and the one to an upstream.
	descriptorsPerConnection = 2
	// minConnections is the smallest limit of connections.
	minConnections = 16
	// closingShare is the part of the connections that may be open in addition while they
	// are being closed.
	closingShare = 4
	// connectionCost is the memory of a connection in bytes: stack and buffers.
	connectionCost = 16 << 10
	// bodyCost is the memory of one byte of a body: io.ReadAll has up to two buffers while
	// it grows one.
	bodyCost = 2
	// admitTimeout limits how long a new connection waits until others are closed, and
	// admitInterval is the time between two checks.
	admitTimeout  = 20 * time.Millisecond
	admitInterval = time.Millisecond
	// logInterval is the time between two log lines about connections that were closed.
	logInterval = 10 * time.Second
)

// Budget limits what all clients of a process together cost in memory and descriptors.
// Servers of the same process share it. It is safe for concurrent use.
type Budget struct {
	clock          fleet.Clock
	log            *zap.Logger
	maxConnections int
	// maxHeads and maxBodies are in bytes.
	maxHeads, maxBodies int64

	mu            sync.Mutex
	heads, bodies int64
	// open are the connections that hold a descriptor, and closing those of them that
	// were evicted. closingHeads is the charge for the latter, which is part of heads.
	open, closing int
	closingHeads  int64
	// waiting are the connections without a request in progress that are not being closed.
	waiting map[*conn]struct{}
	counts  [reasonCount]uint64
	logged  [reasonCount]uint64 // counts at the latest log line
	lastLog time.Time
}

// NewBudget returns a budget for a machine with a memory in bytes and a number of
// descriptors. Zero means the default.
func NewBudget(memory int64, descriptors int, c fleet.Clock, log *zap.Logger) *Budget {
	if memory <= 0 {
		memory = DefaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = DefaultMaxDescriptors
	}
	available := memory - baseMemory
	return &Budget{
		clock: c, log: log, waiting: make(map[*conn]struct{}),
		maxHeads: max(minClientMemory, available/headMemoryDivisor), maxBodies: max(minClientMemory, available/bodyMemoryDivisor),
		maxConnections: max(minConnections, (descriptors-reservedDescriptors)/descriptorsPerConnection),
	}
}

// RuntimeMemoryLimit returns the limit for debug.SetMemoryLimit on a machine with a memory
// in bytes.
func RuntimeMemoryLimit(memory int64) int64 { return memory * runtimeMemoryPercent / 100 }

// admit reports whether a new connection may be used. If there are too many, it closes the
// one that has waited longest for a request. It waits up to admitTimeout until connections
// that are being closed have released their descriptors.
func (b *Budget) admit(c *conn) bool {
	for end := time.Now().Add(admitTimeout); ; time.Sleep(admitInterval) {
		admitted, closing := b.tryAdmit(c)
		if admitted {
			return true
		}
		if !closing || time.Now().After(end) {
			b.refuse(Connections)
			return false
		}
	}
}

func (b *Budget) tryAdmit(c *conn) (admitted, closing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.makeRoom(func() bool { return b.active() < b.maxConnections }, oldest, Connections, c)
	b.makeRoom(func() bool { return b.heads-b.closingHeads+connectionCost <= b.maxHeads }, costliest, HeadMemory, c)
	if b.active() >= b.maxConnections || b.open >= b.maxConnections+b.maxConnections/closingShare {
		return false, b.closing > 0
	}
	c.since = b.clock.Now()
	b.open++
	b.set(c, connectionCost)
	b.waiting[c] = struct{}{}
	return true, false
}

// active returns the number of connections that are not being closed.
func (b *Budget) active() int { return b.open - b.closing }

// makeRoom closes waiting connections other than c until done returns true.
func (b *Budget) makeRoom(done func() bool, weight func(*conn, time.Duration) int64, r Reason, c *conn) {
	for !done() {
		var victim *conn
		highest, now := int64(-1), b.clock.Now()
		for w := range b.waiting {
			if n := weight(w, now.Sub(w.since)); w != c && n > highest {
				victim, highest = w, n
			}
		}
		if victim == nil {
			return
		}
		b.evict(victim, r)
	}
}

// oldest weighs connections by how long they have waited.
func oldest(_ *conn, age time.Duration) int64 { return int64(age) }

// costliest weighs connections by memory and time.
func costliest(c *conn, age time.Duration) int64 {
	return c.charged / connectionCost * (int64(age/time.Millisecond) + 1)
}

// evict starts to close a waiting connection. It is charged until it is closed.
func (b *Budget) evict(c *conn, r Reason) {
	b.count(r)
	delete(b.waiting, c)
	b.closing++
	b.closingHeads += c.charged
	c.evicted = true
	c.interrupt()
}

// chargeHead charges for a head that is being read and reports whether it fits. It waits up
// to admitTimeout until connections that are being closed have released their memory.
func (b *Budget) chargeHead(c *conn, cost int64) bool {
	for end := time.Now().Add(admitTimeout); ; time.Sleep(admitInterval) {
		charged, closing := b.tryChargeHead(c, cost+connectionCost)
		if charged || !closing || time.Now().After(end) {
			return charged
		}
	}
}

func (b *Budget) tryChargeHead(c *conn, cost int64) (charged, closing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return false, false
	}
	more := cost - c.charged
	b.makeRoom(func() bool { return b.heads-b.closingHeads+more <= b.maxHeads }, costliest, HeadMemory, c)
	if b.heads+more > b.maxHeads {
		return false, b.closingHeads > 0
	}
	b.set(c, cost)
	return true, false
}

// begin marks the start of a request, which ends the wait of its connection. headCost is
// the cost of a head that was not charged while it was read, or 0.
func (b *Budget) begin(c *conn, headCost int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		// The request was complete when the connection was chosen.
		c.evicted = false
		b.closing--
		b.closingHeads -= c.charged
	}
	if headCost > 0 {
		b.set(c, connectionCost+headCost)
	}
	delete(b.waiting, c)
}

// end marks the end of a request.
func (b *Budget) end(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(c, connectionCost)
	c.since = b.clock.Now()
	b.waiting[c] = struct{}{}
}

// release ends the charge for a connection that was closed.
func (b *Budget) release(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	b.open--
	if c.evicted {
		b.closing--
		b.closingHeads -= c.charged
	}
	b.set(c, 0)
	delete(b.waiting, c)
}

func (b *Budget) set(c *conn, cost int64) {
	b.heads += cost - c.charged
	c.charged = cost
}

// bodyFits reports whether there is room for a body of a size now. A body that is larger
// than the whole budget is left to the limit of the handler.
func (b *Budget) bodyFits(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size*bodyCost > b.maxBodies || b.bodies+size*bodyCost <= b.maxBodies {
		return true
	}
	b.count(BodyMemory)
	return false
}

// chargeBody charges for bytes of a body and reports whether they fit.
func (b *Budget) chargeBody(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bodies+bytes*bodyCost > b.maxBodies {
		b.count(BodyMemory)
		return false
	}
	b.bodies += bytes * bodyCost
	return true
}

func (b *Budget) releaseBody(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies -= bytes * bodyCost
}

// refuse counts a connection that is closed for what it sent.
func (b *Budget) refuse(r Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(r)
}

// count counts a connection or request that was refused, and logs the numbers since the
// latest log line at most once in each logInterval.
func (b *Budget) count(r Reason) {
	b.counts[r]++
	now := b.clock.Now()
	if !b.lastLog.IsZero() && now.Sub(b.lastLog) < logInterval {
		return
	}
	b.lastLog = now
	fields := []zap.Field{zap.Int64("headBytes", b.heads), zap.Int64("bodyBytes", b.bodies), zap.Int("connections", b.open)}
	for i := range reasonCount {
		if n := b.counts[i] - b.logged[i]; n > 0 {
			fields = append(fields, zap.Uint64(i.String(), n))
		}
	}
	b.logged = b.counts
	b.log.Warn("Clients exceeded the limits of the process.", fields...)
}

var (
	refusedDesc     = prometheus.NewDesc("bilberryrock_listener_refused_total", "Connections closed and requests refused to protect the process, by reason.", []string{"reason"}, nil)
	chargedDesc     = prometheus.NewDesc("bilberryrock_listener_charged_bytes", "Memory that is charged to clients.", []string{"kind"}, nil)
	budgetDesc      = prometheus.NewDesc("bilberryrock_listener_budget_bytes", "Greatest memory that may be charged to clients.", []string{"kind"}, nil)
	connectionsDesc = prometheus.NewDesc("bilberryrock_listener_connections", "Open connections of clients.", nil, nil)
)

// Describe implements prometheus.Collector.
func (b *Budget) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{refusedDesc, chargedDesc, budgetDesc, connectionsDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (b *Budget) Collect(out chan<- prometheus.Metric) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, n := range b.counts {
		out <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(n), Reason(i).String())
	}
	for _, m := range []struct {
		kind         string
		charged, max int64
	}{{"heads", b.heads, b.maxHeads}, {"bodies", b.bodies, b.maxBodies}} {
		out <- prometheus.MustNewConstMetric(chargedDesc, prometheus.GaugeValue, float64(m.charged), m.kind)
		out <- prometheus.MustNewConstMetric(budgetDesc, prometheus.GaugeValue, float64(m.max), m.kind)
	}
	out <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(b.open))
}
