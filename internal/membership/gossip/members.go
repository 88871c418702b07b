package gossip

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
)

// member is the state of one instance. Its record is replaced and never modified,
// because messages share it.
type member struct {
	record    *gossipv1.Member
	hash      uint32
	revision  fleet.Revision
	since     time.Time
	endedAt   time.Time // when the status became Dead or Left
	suspicion *suspicion
	// digestMismatches counts, for each scope, the consecutive acks of this member
	// with a different digest.
	digestMismatches [2]int
}

type suspicion struct {
	startedAt time.Time
	accusers  map[uint32]bool
}

func (m *member) id() fleet.InstanceID { return fleet.InstanceID(m.record.Id) }

// present reports whether m is alive or suspect.
func (m *member) present() bool {
	return m.record.Status == gossipv1.Status_STATUS_ALIVE || m.record.Status == gossipv1.Status_STATUS_SUSPECT
}

func clone(r *gossipv1.Member) *gossipv1.Member {
	return proto.Clone(r).(*gossipv1.Member)
}

func (c *Core) isLocal(dataCentre string) bool { return dataCentre == c.self.record.DataCentre }

// insert adds a member that is not yet known.
func (c *Core) insert(r *gossipv1.Member) *member {
	m := &member{record: r, hash: hash32(r.Id, r.Boot)}
	c.members[m.id()] = m
	c.byHash[m.hash] = m
	c.invalidate()
	return m
}

func (c *Core) remove(m *member) {
	delete(c.members, m.id())
	if c.byHash[m.hash] == m {
		delete(c.byHash, m.hash)
	}
	delete(c.queue, memberKey(m.record.Id))
	c.invalidate()
}

// invalidate marks the ring and the digests as outdated.
func (c *Core) invalidate() {
	c.ringStale = true
	c.digests.stale = true
}

// mergeMember merges a received record by the precedence rules of SWIM: a higher
// incarnation takes precedence, and within one incarnation alive < suspect < dead
// < left.
func (c *Core) mergeMember(u *gossipv1.Member, now time.Time) {
	if u.Id == c.self.record.Id {
		c.refute(u, now)
		return
	}
	if !c.keepsRecord(u) {
		return
	}
	m, ok := c.members[fleet.InstanceID(u.Id)]
	if !ok {
		c.mergeUnknown(u, now)
		return
	}
	if u.Incarnation == m.record.Incarnation && u.Status == gossipv1.Status_STATUS_SUSPECT {
		c.addAccuser(m, u.Accuser)
	}
	if supersedesMember(u, m.record) {
		c.update(m, u, now)
	}
}

// keepsRecord reports whether this instance keeps the record: its retention has
// not passed, and it belongs to this data centre, to a voter, or to a fleet of at
// most MaxDetailedInstances instances.
func (c *Core) keepsRecord(u *gossipv1.Member) bool {
	if deadOrLeft(u) && time.Duration(u.AgeSeconds)*time.Second > DeadRetention {
		return false
	}
	return c.isLocal(u.DataCentre) || !c.largeFleet || u.Voter
}

func (c *Core) mergeUnknown(u *gossipv1.Member, now time.Time) {
	c.centre(fleet.DataCentreID(u.DataCentre), now)
	m := c.insert(&gossipv1.Member{Id: u.Id, DataCentre: u.DataCentre, Boot: u.Boot})
	c.update(m, u, now)
}

func deadOrLeft(u *gossipv1.Member) bool {
	return u.Status == gossipv1.Status_STATUS_DEAD || u.Status == gossipv1.Status_STATUS_LEFT
}

func supersedesMember(u, old *gossipv1.Member) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.Status > old.Status
}

// update replaces the record of m, queues it for dissemination and reports the
// change.
func (c *Core) update(m *member, u *gossipv1.Member, now time.Time) {
	if u.Boot != m.record.Boot {
		delete(c.byHash, m.hash)
		m.hash = hash32(u.Id, u.Boot)
		m.revision, m.since = 0, time.Time{}
	}
	c.byHash[m.hash] = m
	m.record = u
	m.suspicion = nil
	if u.Status == gossipv1.Status_STATUS_SUSPECT {
		m.suspicion = &suspicion{startedAt: now, accusers: map[uint32]bool{u.Accuser: true}}
	}
	if deadOrLeft(u) {
		m.endedAt = now.Add(-time.Duration(u.AgeSeconds) * time.Second)
	}
	c.invalidate()
	c.enqueue(memberKey(u.Id))
	c.reportChange(m)
}

// addAccuser records another independent accuser of m and queues the record for
// dissemination, so that the timeout of a justified suspicion gets shorter.
func (c *Core) addAccuser(m *member, accuser uint32) {
	s := m.suspicion
	if s == nil || s.accusers[accuser] || len(s.accusers) > expectedAccusers {
		return
	}
	s.accusers[accuser] = true
	record := clone(m.record)
	record.Accuser = accuser
	m.record = record
	c.enqueue(memberKey(record.Id))
}

// refute overrides a wrong record of this instance with a higher incarnation. A
// process that restarted with an incarnation that is not higher than the previous
// one gets a higher one here.
func (c *Core) refute(u *gossipv1.Member, now time.Time) {
	own := c.self.record
	if c.leaving || u.Incarnation < own.Incarnation {
		return
	}
	if u.Incarnation == own.Incarnation && u.Boot == own.Boot && u.Status == gossipv1.Status_STATUS_ALIVE {
		return
	}
	if u.Status == gossipv1.Status_STATUS_SUSPECT {
		c.healthScore = min(c.healthScore+1, maxHealthScore)
	}
	record := clone(own)
	record.Incarnation = u.Incarnation + 1
	c.update(c.self, record, now)
}

func (c *Core) reportChange(m *member) {
	c.effects.Members = append(c.effects.Members, c.memberView(m, c.lastCall))
}

// wireRecord returns the record of m to send. For a dead or left member it
// includes the time since the member got that status.
func (m *member) wireRecord(now time.Time) *gossipv1.Member {
	if !deadOrLeft(m.record) {
		return m.record
	}
	record := clone(m.record)
	record.AgeSeconds = uint32(max(0, now.Sub(m.endedAt)) / time.Second)
	return record
}

// Self returns this instance.
func (c *Core) Self() membership.Member { return c.memberView(c.self, c.lastCall) }

// Members returns the known members at now, ordered by ID.
func (c *Core) Members(now time.Time) []membership.Member {
	all := make([]membership.Member, 0, len(c.members))
	for _, m := range c.members {
		all = append(all, c.memberView(m, now))
	}
	slices.SortFunc(all, func(a, b membership.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return all
}

func (c *Core) memberView(m *member, now time.Time) membership.Member {
	r := m.record
	return membership.Member{
		ID: m.id(), Incarnation: fleet.Incarnation(r.Incarnation), Status: c.status(m, now),
		DataCentre: fleet.DataCentreID(r.DataCentre), Gossip: r.Gossip, Peers: r.Peers, Voter: r.Voter,
		Revision: m.revision, Since: m.since,
	}
}

// status returns the status of m. Members of another data centre that are alive or
// suspect are reported as suspect or dead when its heartbeats stop.
func (c *Core) status(m *member, now time.Time) membership.Status {
	recorded := membership.Status(m.record.Status)
	if !m.present() || c.isLocal(m.record.DataCentre) {
		return recorded
	}
	age := c.heartbeatAge(fleet.DataCentreID(m.record.DataCentre), now)
	if age > centreDeadTimeout {
		return membership.Dead
	}
	if age > centreSuspectTimeout {
		return membership.Suspect
	}
	return recorded
}

// currentRing returns the alive and suspect members of the data centre, ordered
// by id.
func (c *Core) currentRing() []*member {
	if !c.ringStale {
		return c.ring
	}
	c.ringStale = false
	c.ring = c.ring[:0]
	c.ordered = c.ordered[:0]
	for _, m := range c.members {
		c.ordered = append(c.ordered, m)
	}
	sortMembers(c.ordered)
	for _, m := range c.ordered {
		if m.present() && c.isLocal(m.record.DataCentre) {
			c.ring = append(c.ring, m)
		}
	}
	c.contacts = chooseContacts(c.ring)
	return c.ring
}

// membersByID returns all members ordered by id. Iterating in this order keeps
// simulations with equal random seeds identical.
func (c *Core) membersByID() []*member {
	c.currentRing()
	return c.ordered
}

func sortMembers(members []*member) {
	slices.SortFunc(members, func(a, b *member) int {
		return strings.Compare(a.record.Id, b.record.Id)
	})
}

// prune deletes members and upstreams whose retention period has passed, and
// members that this instance no longer keeps because the fleet exceeds
// MaxDetailedInstances.
func (c *Core) prune(now time.Time) {
	if now.Before(c.nextPrune) {
		return
	}
	c.nextPrune = now.Add(time.Second)
	c.digests.stale = true
	c.largeFleet = c.fleetSize() > MaxDetailedInstances
	for _, m := range slices.Clone(c.membersByID()) {
		if m == c.self {
			continue
		}
		if deadOrLeft(m.record) && now.Sub(m.endedAt) > DeadRetention {
			c.remove(m)
			continue
		}
		if !c.keepsRecord(m.record) {
			c.remove(m)
		}
	}
	c.pruneUpstreams(now)
}
