package gossip

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// probe is an open ping of this instance.
type probe struct {
	target   fleet.InstanceID // empty for a seed
	sent     time.Time
	ring     bool // an unanswered ping leads to a suspicion
	indirect bool // helpers were asked
	judged   bool // the deadline has passed
}

// relay is an open ping on behalf of another instance.
type relay struct {
	address  string
	sequence uint64
	sent     time.Time
}

// notePause drops open probes after a time in which the process did not run,
// because their answers may wait unread, and gives suspicions their time again.
func (c *Core) notePause(now time.Time) {
	pause := now.Sub(c.last)
	if c.last.IsZero() {
		pause = 0
	}
	c.last = now
	if pause <= pauseLimit {
		return
	}
	c.effects.Resumed = true
	c.score = min(c.score+2, maxScore)
	clear(c.probes)
	clear(c.relays)
	for _, m := range c.members {
		if m.suspicion != nil {
			m.suspicion.started = now
		}
	}
	for _, s := range c.centres {
		s.heard = now
	}
}

// probeRing pings the ring neighbour at the next distance.
func (c *Core) probeRing(now time.Time) {
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = c.afterRound(now)
	t := c.nextNeighbour(now)
	if t == nil {
		return
	}
	p := c.ping(t.id(), t.record.Gossip, t.record.DataCentre, now, t.differing[localScope] > 0)
	p.ring = true
}

// afterRound returns the time of the next probe: a fixed offset into the next
// round of the clock. When all instances probe the same distance in the same
// round, news reach everyone in log2(n) rounds; with clocks that differ by more
// than a round they take up to twice as long, and nothing else depends on it.
func (c *Core) afterRound(now time.Time) time.Time {
	if c.repairs[localScope].active {
		return now.Add(repairPeriod)
	}
	offset := time.Duration(c.self.hash) % (probePeriod * 2 / 3)
	passed := time.Duration(now.UnixNano()) % probePeriod
	// The sum keeps the monotonic reading, so a step of the clock delays nothing.
	return now.Add(probePeriod - passed + offset)
}

func (c *Core) nextNeighbour(now time.Time) *member {
	ring := c.currentRing()
	if len(ring) < 2 {
		return nil
	}
	rounds := bits.Len(uint(len(ring) - 1))
	round := int(now.UnixNano()/int64(probePeriod)) % rounds
	if c.repairs[localScope].active {
		c.distance++
		round = c.distance % rounds
	}
	at := slices.Index(ring, c.self)
	return ring[(at+1<<round)%len(ring)]
}

// ping sends a ping. With introduce it carries the record of this instance.
func (c *Core) ping(to fleet.InstanceID, address, dataCentre string, now time.Time, introduce bool) *probe {
	c.sequence++
	p := &probe{target: to, sent: now}
	c.probes[c.sequence] = p
	m := c.message(gossipv1.Kind_KIND_PING)
	m.Sequence = c.sequence
	c.askRepair(m, dataCentre)
	if introduce {
		m.Members = append(m.Members, c.self.wire(now))
	}
	if t, ok := c.members[to]; ok && t.record.Status != gossipv1.Status_STATUS_ALIVE {
		// The target hears of its suspicion at once and can refute it.
		m.Members = append(m.Members, t.wire(now))
	}
	if !c.local(dataCentre) || c.lacksSummary {
		m.Centres = c.packCentres()
		c.lacksSummary = false
	}
	c.piggyback(m, dataCentre, maxPing, now)
	c.send(to, address, m)
	return p
}

func (c *Core) message(kind gossipv1.Kind) *gossipv1.Message {
	c.refreshSums()
	return &gossipv1.Message{
		Kind: kind, From: c.self.record.Id, DataCentre: c.self.record.DataCentre,
		Revision: uint64(c.highest), Local: c.sums.local, Global: c.sums.global,
	}
}

// answer acknowledges a ping.
func (c *Core) answer(ping *gossipv1.Message, address string, now time.Time) {
	m := c.message(gossipv1.Kind_KIND_ACK)
	m.Sequence = ping.Sequence
	m.Target = ping.Target
	from, known := c.members[fleet.InstanceID(ping.From)]
	if known && from.record.Status != gossipv1.Status_STATUS_ALIVE {
		m.Members = append(m.Members, from.wire(now))
	}
	if introduces(ping) {
		m.Members = append(m.Members, c.self.wire(now))
		c.acquaint(m, ping, now)
	}
	// Heartbeats of data centres advance once a second, less often than answers
	// are sent.
	c.answers++
	if !c.local(ping.DataCentre) || c.answers%centreAnswers == 0 {
		m.Centres = c.packCentres()
	}
	if c.local(ping.DataCentre) || !c.large {
		limit := maxReports
		if ping.Repair != nil {
			limit = repairReports
		}
		limit = min(limit, MaxMessage-proto.Size(m)-4)
		m.Reports = c.packReports(c.local(ping.DataCentre), limit, now)
	}
	c.serveSummaries(m, ping.Centres)
	c.serveRepair(m, ping, now)
	c.piggyback(m, ping.DataCentre, MaxMessage, now)
	c.send(fleet.InstanceID(ping.From), address, m)
}

// introduces reports whether m carries the record of its sender.
func introduces(m *gossipv1.Message) bool {
	return slices.ContainsFunc(m.Members, func(u *gossipv1.Member) bool { return u.Id == m.From })
}

func (c *Core) acknowledge(ack *gossipv1.Message, now time.Time) {
	if r, ok := c.relays[ack.Sequence]; ok {
		delete(c.relays, ack.Sequence)
		c.forward(ack, r)
		return
	}
	p, ok := c.probes[ack.Sequence]
	if !ok {
		return
	}
	if ack.Target == string(p.target) && ack.Target != "" {
		delete(c.probes, ack.Sequence)
		return
	}
	if p.target != "" && p.target != fleet.InstanceID(ack.From) {
		return
	}
	delete(c.probes, ack.Sequence)
	// Only a fast answer counts for this instance. With answers that are merely
	// in time for the longer timeout, a slow instance would lose its score again
	// and accuse others in every second round.
	if now.Sub(p.sent) < probeTimeout {
		c.score = max(c.score-1, 0)
	}
	if len(ack.Reports) > 0 {
		c.answered = fleet.Revision(ack.Revision)
		c.mergeReports(ack.Reports, p.sent, now)
	}
	c.noteRepair(ack)
}

// forward tells the instance that asked for help that its target answered.
func (c *Core) forward(ack *gossipv1.Message, r relay) {
	m := c.message(gossipv1.Kind_KIND_ACK)
	m.Sequence = r.sequence
	m.Target = ack.From
	c.send("", r.address, m)
}

// help pings the target of a ping request.
func (c *Core) help(request *gossipv1.Message, address string, now time.Time) {
	c.sequence++
	c.relays[c.sequence] = relay{address: address, sequence: request.Sequence, sent: now}
	m := c.message(gossipv1.Kind_KIND_PING)
	m.Sequence = c.sequence
	if t, ok := c.members[fleet.InstanceID(request.Target)]; ok && t.record.Status != gossipv1.Status_STATUS_ALIVE {
		m.Members = append(m.Members, t.wire(now))
	}
	c.send(fleet.InstanceID(request.Target), request.TargetAddress, m)
}

// expireProbes asks helpers after the timeout and suspects after the deadline.
// Both grow with the score, so an instance that is slow itself accuses late.
func (c *Core) expireProbes(now time.Time) {
	slowness := time.Duration(1 + c.score)
	for _, s := range sortedKeys(c.probes) {
		p := c.probes[s]
		age := now.Sub(p.sent)
		if p.ring && !p.indirect && age >= probeTimeout*slowness {
			p.indirect = true
			c.askHelpers(s, p.target)
		}
		if p.ring && !p.judged && age >= probeDeadline*slowness {
			p.judged = true
			c.suspect(p.target, now)
		}
		if age > probeDeadline*(maxScore+2) {
			delete(c.probes, s)
		}
	}
	for s, r := range c.relays {
		if now.Sub(r.sent) > probeDeadline*(maxScore+2) {
			delete(c.relays, s)
		}
	}
}

func (c *Core) askHelpers(sequence uint64, target fleet.InstanceID) {
	t, ok := c.members[target]
	if !ok {
		return
	}
	ring := c.currentRing()
	asked := 0
	for _, i := range c.random.Perm(len(ring)) {
		h := ring[i]
		if h == c.self || h == t || asked == helpers {
			continue
		}
		asked++
		m := c.message(gossipv1.Kind_KIND_PING_REQUEST)
		m.Sequence, m.Target, m.TargetAddress = sequence, t.record.Id, t.record.Gossip
		c.send(h.id(), h.record.Gossip, m)
	}
}

func (c *Core) suspect(target fleet.InstanceID, now time.Time) {
	t, ok := c.members[target]
	if !ok || !t.present() {
		return
	}
	if t.record.Status == gossipv1.Status_STATUS_SUSPECT {
		c.accuse(t, c.self.hash)
		return
	}
	// A further failed probe of a suspect tells nothing of this instance.
	c.score = min(c.score+1, maxScore)
	record := clone(t.record)
	record.Status = gossipv1.Status_STATUS_SUSPECT
	record.Accuser = c.self.hash
	c.update(t, record, now)
}

func (c *Core) expireSuspicions(now time.Time) {
	for _, m := range slices.Clone(c.byID()) {
		if m.suspicion == nil || !c.local(m.record.DataCentre) {
			continue
		}
		if now.Sub(m.suspicion.started) < c.suspicionTime(m) {
			continue
		}
		record := clone(m.record)
		record.Status = gossipv1.Status_STATUS_DEAD
		record.AgeSeconds = 0
		c.update(m, record, now)
	}
}

// suspicionTime falls from the maximum to the minimum with the number of
// independent accusers, as Lifeguard defines it. A data centre without other
// possible accusers uses the minimum.
func (c *Core) suspicionTime(m *member) time.Duration {
	wanted := min(wantedAccusers, len(c.currentRing())-2)
	slowness := time.Duration(1 + c.score)
	if wanted < 1 {
		return minSuspicion * slowness
	}
	share := math.Log(float64(len(m.suspicion.accusers))) / math.Log(float64(wanted)+1)
	d := maxSuspicion - time.Duration(share*float64(maxSuspicion-minSuspicion))
	return max(d, minSuspicion) * slowness
}

// rejoin pings a dead member or a seed from time to time, so that the halves of
// a healed partition find each other. Only contacts ping seeds, which keeps the
// load of seeds bounded, and an instance that is alone does it more often.
func (c *Core) rejoin(now time.Time) {
	if !now.Before(c.nextRejoin) {
		c.nextRejoin = now.Add(rejoinPeriod)
		c.pingDead(now)
	}
	if !now.Before(c.nextSeed) {
		c.pingSeed(now)
	}
}

func (c *Core) pingSeed(now time.Time) {
	alone := len(c.members) == 1
	c.nextSeed = now.Add(seedPeriod)
	if alone {
		c.nextSeed = now.Add(joinPeriod)
	}
	if len(c.seeds) == 0 || (!alone && !c.isContact(c.self)) {
		return
	}
	seed := c.seeds[c.random.IntN(len(c.seeds))]
	if seed != c.self.record.Gossip {
		c.ping("", seed, "", now, true)
	}
}

func (c *Core) pingDead(now time.Time) {
	var dead []*member
	for _, m := range c.byID() {
		if m.record.Status == gossipv1.Status_STATUS_DEAD && c.local(m.record.DataCentre) {
			dead = append(dead, m)
		}
	}
	if len(dead) == 0 {
		return
	}
	t := dead[c.random.IntN(len(dead))]
	c.ping(t.id(), t.record.Gossip, t.record.DataCentre, now, true)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
