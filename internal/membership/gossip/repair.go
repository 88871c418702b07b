package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// maxDiffering is the number of answers in a row of one instance with another
// digest after which all records are read again. Two answers of one instance lie
// a round of the ring apart, in which news spread, so a difference that lasts
// longer is a loss.
const maxDiffering = 3

// maxEqual is the number of answers in a row with an equal digest that end a
// repair.
const maxEqual = 8

// repair is the reading of all records of one scope in key order.
type repair struct {
	active bool
	after  string
	equal  int
}

// digests are sums over all records of a scope, independent of their order.
type digests struct {
	stale         bool
	local, global uint32
	keys          [2][]string
}

func (c *Core) refreshSums() {
	if !c.sums.stale {
		return
	}
	c.sums = digests{}
	for _, m := range c.members {
		c.sumMember(m)
	}
	for _, i := range c.items {
		if i.settled(c.last) {
			continue
		}
		c.addSum(localScope, upstreamKey(i.record.Id), i.sum())
	}
}

func (c *Core) sumMember(m *member) {
	// Ended members leave the digest before they are forgotten, because
	// instances forget at slightly different times.
	if ended(m.record) && c.last.Sub(m.ended) > DeadRetention/2 {
		return
	}
	status := m.record.Status
	if status == gossipv1.Status_STATUS_SUSPECT {
		status = gossipv1.Status_STATUS_ALIVE
	}
	version := m.record.Incarnation<<2 | uint64(status)
	key := memberKey(m.record.Id)
	if c.local(m.record.DataCentre) {
		c.addSum(localScope, key, version)
	}
	if !c.large || m.record.Voter {
		c.addSum(globalScope, key, version)
	}
}

func (c *Core) addSum(scope int, key string, version uint64) {
	d := xxhash.NewWithSeed(version)
	_, _ = d.WriteString(key)
	sum := uint32(d.Sum64())
	if scope == localScope {
		c.sums.local += sum
	} else {
		c.sums.global += sum
	}
	c.sums.keys[scope] = append(c.sums.keys[scope], key)
}

// askRepair makes m ask for the next records, if a repair goes on. Two repairs
// take turns.
func (c *Core) askRepair(m *gossipv1.Message, dataCentre string) {
	inCentre := c.repairs[localScope].active && c.local(dataCentre)
	between := c.repairs[globalScope].active
	if inCentre && (!between || c.sequence%2 == 0) {
		m.Repair = &gossipv1.Repair{After: c.repairs[localScope].after}
		return
	}
	if between {
		m.Repair = &gossipv1.Repair{Global: true, After: c.repairs[globalScope].after}
	}
}

// serveRepair adds the asked records to an answer.
func (c *Core) serveRepair(m, ping *gossipv1.Message, now time.Time) {
	if ping.Repair == nil {
		return
	}
	scope := localScope
	if ping.Repair.Global {
		scope = globalScope
	} else if !c.local(ping.DataCentre) {
		return
	}
	c.refreshSums()
	if !c.differs(scope, ping) {
		return
	}
	keys := c.sums.keys[scope]
	slices.Sort(keys)
	at, found := slices.BinarySearch(keys, ping.Repair.After)
	if found {
		at++
	}
	next := &gossipv1.Repair{Global: ping.Repair.Global, After: ping.Repair.After}
	m.Repair = next
	room := MaxMessage - proto.Size(m) - maxKey
	for ; at < len(keys); at++ {
		size := c.attach(m, keys[at], room, now)
		if size == 0 {
			return
		}
		room -= size
		next.After = keys[at]
	}
	next.Done = true
}

// maxKey is the space for the last key in an answer.
const maxKey = 80

func (c *Core) differs(scope int, m *gossipv1.Message) bool {
	if scope == globalScope {
		return m.Global != c.sums.global
	}
	return c.local(m.DataCentre) && m.Local != c.sums.local
}

// noteRepair moves a repair on, or starts one when the digest of an instance
// keeps differing.
func (c *Core) noteRepair(ack *gossipv1.Message) {
	c.refreshSums()
	if ack.Repair != nil {
		c.advanceRepair(ack.Repair)
	}
	m := c.members[fleet.InstanceID(ack.From)]
	for scope := range c.repairs {
		if scope == localScope && !c.local(ack.DataCentre) {
			continue
		}
		differs := c.differs(scope, ack)
		c.repairs[scope].noteEqual(!differs)
		if m != nil && m.noteDiffering(scope, differs) && !c.repairs[scope].active {
			c.repairs[scope] = repair{active: true}
		}
	}
}

// noteDiffering reports whether the digest of m has differed for too long.
func (m *member) noteDiffering(scope int, differs bool) bool {
	m.differing[scope]++
	if !differs {
		m.differing[scope] = 0
	}
	return m.differing[scope] > maxDiffering
}

func (r *repair) noteEqual(equal bool) {
	r.equal++
	if !equal {
		r.equal = 0
	}
	if r.equal >= maxEqual {
		*r = repair{}
	}
}

func (c *Core) advanceRepair(served *gossipv1.Repair) {
	r := &c.repairs[localScope]
	if served.Global {
		r = &c.repairs[globalScope]
	}
	if !r.active {
		return
	}
	if served.Done {
		*r = repair{}
		return
	}
	r.after = served.After
}
