package gossip

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// maxPingBytes is the maximum size of a ping in bytes. It keeps pings small, so that
// acks, which carry the upstream heartbeats, are the larger part of the traffic.
const maxPingBytes = 500

// maxQueueAge is the maximum time for which a record stays queued for messages to
// other data centres, which only contacts send.
const maxQueueAge = 30 * time.Second

// The scopes in which records are disseminated.
const (
	localScope  = iota // within the data centre
	globalScope        // between data centres
)

// queuedRecord refers to a changed record, which is piggybacked until it was sent
// maxTransmissions times in each scope.
type queuedRecord struct {
	key      string
	ordinal  uint64
	queuedAt time.Time
	sent     [2]int
}

// The key of a record consists of a letter for its type, a slash and its id.
func memberKey(id string) string   { return "m/" + id }
func upstreamKey(id string) string { return "u/" + id }
func usageKey(id string) string    { return "g/" + id }

func (c *Core) enqueue(key string) {
	if c.mergingRepair {
		return
	}
	c.queueOrdinal++
	c.queue[key] = &queuedRecord{key: key, ordinal: c.queueOrdinal, queuedAt: c.lastCall}
}

// maxTransmissions returns the number of times that a record is sent in one scope.
func (c *Core) maxTransmissions(key string) int {
	// A usage is soon replaced by a newer one, so a lost one does no harm.
	if key[0] == 'g' {
		return 2
	}
	return 2 * bits.Len(uint(len(c.currentRing())))
}

// piggyback adds queued records to m as long as m stays within limit bytes. Records
// that were sent least come first, and newer ones before older ones.
func (c *Core) piggyback(m *gossipv1.Message, dataCentre string, limit int, now time.Time) {
	if len(c.queue) == 0 {
		return
	}
	scope := globalScope
	if c.isLocal(dataCentre) {
		scope = localScope
	}
	available := limit - proto.Size(m)
	for _, q := range c.sortedQueue(scope) {
		if c.exhausted(q, now) {
			delete(c.queue, q.key)
			continue
		}
		if q.sent[scope] >= c.maxTransmissions(q.key) || (scope == globalScope && !c.crossesCentres(q.key)) {
			continue
		}
		size := c.appendByKey(m, q.key, available, now)
		if size == 0 {
			continue
		}
		available -= size
		q.sent[scope]++
	}
}

func (c *Core) sortedQueue(scope int) []*queuedRecord {
	order := make([]*queuedRecord, 0, len(c.queue))
	for _, q := range c.queue {
		order = append(order, q)
	}
	slices.SortFunc(order, func(a, b *queuedRecord) int {
		if n := cmp.Compare(a.sent[scope], b.sent[scope]); n != 0 {
			return n
		}
		return cmp.Compare(b.ordinal, a.ordinal)
	})
	return order
}

func (c *Core) exhausted(q *queuedRecord, now time.Time) bool {
	if q.queuedAt.IsZero() {
		q.queuedAt = now
	}
	if now.Sub(q.queuedAt) > maxQueueAge {
		return true
	}
	n := c.maxTransmissions(q.key)
	if q.sent[localScope] < n {
		return false
	}
	return !c.crossesCentres(q.key) || !c.isContact(c.self) || q.sent[globalScope] >= n
}

// crossesCentres reports whether the record of key is sent to other data centres.
func (c *Core) crossesCentres(key string) bool {
	id := key[2:]
	switch key[0] {
	case 'm':
		m, ok := c.members[fleet.InstanceID(id)]
		return ok && (!c.largeFleet || m.record.Voter)
	case 'g':
		u, ok := c.usages[id]
		return ok && u.record.Wide
	}
	return false
}

// appendByKey appends the record of key to m if it has at most available bytes. It
// returns the number of bytes that were appended.
func (c *Core) appendByKey(m *gossipv1.Message, key string, available int, now time.Time) int {
	id := key[2:]
	switch key[0] {
	case 'm':
		if found, ok := c.members[fleet.InstanceID(id)]; ok {
			return appendRecord(&m.Members, found.wireRecord(now), available)
		}
	case 'u':
		if found, ok := c.upstreams[fleet.UpstreamID(id)]; ok {
			return appendRecord(&m.Upstreams, found.wireRecord(now), available)
		}
	case 'g':
		if found, ok := c.usages[id]; ok {
			return appendRecord(&m.Usages, found.record, available)
		}
	}
	return 0
}

func appendRecord[M proto.Message](list *[]M, record M, available int) int {
	size := proto.Size(record) + 4 // field tag and length
	if size > available {
		return 0
	}
	*list = append(*list, record)
	return size
}
