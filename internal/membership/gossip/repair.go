package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// maxDigestMismatches is the number of consecutive acks of one instance with a
// different digest after which all records are read again. Between two acks of one
// instance there is a round of the ring, in which changes are disseminated, so a
// difference that lasts longer is due to lost messages.
const maxDigestMismatches = 3

// minDigestMatches is the number of consecutive acks with an equal digest that end a
// repair.
const minDigestMatches = 8

// repair is an anti-entropy exchange: it reads all records of one scope from other
// instances in key order. after is the last key that was read.
type repair struct {
	active  bool
	after   string
	matches int
}

// digests contains, for each scope, the sum of the hashes of all records, which does
// not depend on their order, and the keys of the records.
type digests struct {
	stale         bool
	local, global uint32
	keys          [2][]string
}

func (c *Core) refreshDigests() {
	if !c.digests.stale {
		return
	}
	c.digests = digests{}
	for _, m := range c.members {
		c.addMemberToDigests(m)
	}
	for _, i := range c.upstreams {
		if i.leftDigest(c.lastCall) {
			continue
		}
		c.addToDigest(localScope, upstreamKey(i.record.Id), i.versionHash())
	}
}

func (c *Core) addMemberToDigests(m *member) {
	// Dead and left members are excluded from the digests before they are deleted,
	// because instances delete them at slightly different times.
	if deadOrLeft(m.record) && c.lastCall.Sub(m.endedAt) > DeadRetention/2 {
		return
	}
	status := m.record.Status
	if status == gossipv1.Status_STATUS_SUSPECT {
		status = gossipv1.Status_STATUS_ALIVE
	}
	version := m.record.Incarnation<<2 | uint64(status)
	key := memberKey(m.record.Id)
	if c.isLocal(m.record.DataCentre) {
		c.addToDigest(localScope, key, version)
	}
	if !c.largeFleet || m.record.Voter {
		c.addToDigest(globalScope, key, version)
	}
}

func (c *Core) addToDigest(scope int, key string, version uint64) {
	d := xxhash.NewWithSeed(version)
	_, _ = d.WriteString(key)
	sum := uint32(d.Sum64())
	if scope == localScope {
		c.digests.local += sum
	} else {
		c.digests.global += sum
	}
	c.digests.keys[scope] = append(c.digests.keys[scope], key)
}

// requestRepair makes m request the next records of a running repair. If repairs of
// both scopes are running, they alternate.
func (c *Core) requestRepair(m *gossipv1.Message, dataCentre string) {
	localActive := c.repairs[localScope].active && c.isLocal(dataCentre)
	globalActive := c.repairs[globalScope].active
	if localActive && (!globalActive || c.sequence%2 == 0) {
		m.Repair = &gossipv1.Repair{After: c.repairs[localScope].after}
		return
	}
	if globalActive {
		m.Repair = &gossipv1.Repair{Global: true, After: c.repairs[globalScope].after}
	}
}

// serveRepair adds the requested records to the ack m.
func (c *Core) serveRepair(m, ping *gossipv1.Message, now time.Time) {
	if ping.Repair == nil {
		return
	}
	scope := localScope
	if ping.Repair.Global {
		scope = globalScope
	} else if !c.isLocal(ping.DataCentre) {
		return
	}
	c.refreshDigests()
	if !c.digestDiffers(scope, ping) {
		return
	}
	keys := c.digests.keys[scope]
	slices.Sort(keys)
	index, found := slices.BinarySearch(keys, ping.Repair.After)
	if found {
		index++
	}
	next := &gossipv1.Repair{Global: ping.Repair.Global, After: ping.Repair.After}
	m.Repair = next
	available := MaxMessageBytes - proto.Size(m) - maxKeyBytes
	for ; index < len(keys); index++ {
		size := c.appendByKey(m, keys[index], available, now)
		if size == 0 {
			return
		}
		available -= size
		next.After = keys[index]
	}
	next.Done = true
}

// maxKeyBytes is the space in bytes that is reserved for the last key in an ack.
const maxKeyBytes = 80

func (c *Core) digestDiffers(scope int, m *gossipv1.Message) bool {
	if scope == globalScope {
		return m.Global != c.digests.global
	}
	return c.isLocal(m.DataCentre) && m.Local != c.digests.local
}

// updateRepairs processes the digests and the repair progress in an ack. It starts a
// repair if the digest of the sender has differed too often in a row.
func (c *Core) updateRepairs(ack *gossipv1.Message) {
	c.refreshDigests()
	if ack.Repair != nil {
		c.advanceRepair(ack.Repair)
	}
	m := c.members[fleet.InstanceID(ack.From)]
	for scope := range c.repairs {
		if scope == localScope && !c.isLocal(ack.DataCentre) {
			continue
		}
		differs := c.digestDiffers(scope, ack)
		c.repairs[scope].recordComparison(!differs)
		if m != nil && m.recordComparison(scope, differs) && !c.repairs[scope].active {
			c.repairs[scope] = repair{active: true}
		}
	}
}

// recordComparison records the result of a digest comparison with m. It reports
// whether the digest of m has differed in more than maxDigestMismatches consecutive
// acks.
func (m *member) recordComparison(scope int, differs bool) bool {
	m.digestMismatches[scope]++
	if !differs {
		m.digestMismatches[scope] = 0
	}
	return m.digestMismatches[scope] > maxDigestMismatches
}

// recordComparison records the result of a digest comparison, and ends the repair
// after minDigestMatches consecutive matches.
func (r *repair) recordComparison(equal bool) {
	r.matches++
	if !equal {
		r.matches = 0
	}
	if r.matches >= minDigestMatches {
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
