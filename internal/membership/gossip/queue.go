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

// maxPing bounds a ping, so that the answer with the confirmations stays the
// larger part of the traffic.
const maxPing = 500

// queueTime bounds the time that a record waits for messages to other data
// centres, which only contacts send.
const queueTime = 30 * time.Second

// The scopes of records.
const (
	localScope  = iota // within the data centre
	globalScope        // between data centres
)

// queued is a changed record that is piggybacked until it was sent often enough
// in each scope.
type queued struct {
	key   string
	order uint64
	since time.Time
	sent  [2]int
}

// Keys of records: a letter for the type and the id.
func memberKey(id string) string   { return "m/" + id }
func upstreamKey(id string) string { return "u/" + id }
func usageKey(id string) string    { return "g/" + id }

func (c *Core) enqueue(key string) {
	if c.settled {
		return
	}
	c.queued++
	c.queue[key] = &queued{key: key, order: c.queued, since: c.last}
}

// transmissions is the number of times that a record is sent in one scope.
func (c *Core) transmissions(key string) int {
	// Usages are replaced soon, and lost ones don't harm.
	if key[0] == 'g' {
		return 2
	}
	return 2 * bits.Len(uint(len(c.currentRing())))
}

// piggyback adds queued records to m, the least sent and newest first, while m
// stays within limit bytes.
func (c *Core) piggyback(m *gossipv1.Message, dataCentre string, limit int, now time.Time) {
	if len(c.queue) == 0 {
		return
	}
	scope := globalScope
	if c.local(dataCentre) {
		scope = localScope
	}
	room := limit - proto.Size(m)
	for _, q := range c.queueOrder(scope) {
		if c.exhausted(q, now) {
			delete(c.queue, q.key)
			continue
		}
		if q.sent[scope] >= c.transmissions(q.key) || (scope == globalScope && !c.crosses(q.key)) {
			continue
		}
		size := c.attach(m, q.key, room, now)
		if size == 0 {
			continue
		}
		room -= size
		q.sent[scope]++
	}
}

func (c *Core) queueOrder(scope int) []*queued {
	order := make([]*queued, 0, len(c.queue))
	for _, q := range c.queue {
		order = append(order, q)
	}
	slices.SortFunc(order, func(a, b *queued) int {
		if n := cmp.Compare(a.sent[scope], b.sent[scope]); n != 0 {
			return n
		}
		return cmp.Compare(b.order, a.order)
	})
	return order
}

func (c *Core) exhausted(q *queued, now time.Time) bool {
	if q.since.IsZero() {
		q.since = now
	}
	if now.Sub(q.since) > queueTime {
		return true
	}
	n := c.transmissions(q.key)
	if q.sent[localScope] < n {
		return false
	}
	return !c.crosses(q.key) || !c.isContact(c.self) || q.sent[globalScope] >= n
}

// crosses reports whether the record of key goes to other data centres.
func (c *Core) crosses(key string) bool {
	id := key[2:]
	switch key[0] {
	case 'm':
		m, ok := c.members[fleet.InstanceID(id)]
		return ok && (!c.large || m.record.Voter)
	case 'g':
		u, ok := c.usages[id]
		return ok && u.record.Wide
	}
	return false
}

// attach adds the record of key to m if it takes at most room bytes, and returns
// the number of bytes that it takes.
func (c *Core) attach(m *gossipv1.Message, key string, room int, now time.Time) int {
	id := key[2:]
	switch key[0] {
	case 'm':
		if found, ok := c.members[fleet.InstanceID(id)]; ok {
			return add(&m.Members, found.wire(now), room)
		}
	case 'u':
		if found, ok := c.items[fleet.UpstreamID(id)]; ok {
			return add(&m.Upstreams, found.wire(now), room)
		}
	case 'g':
		if found, ok := c.usages[id]; ok {
			return add(&m.Usages, found.record, room)
		}
	}
	return 0
}

func add[M proto.Message](list *[]M, record M, room int) int {
	size := proto.Size(record) + 4 // tag and length
	if size > room {
		return 0
	}
	*list = append(*list, record)
	return size
}
