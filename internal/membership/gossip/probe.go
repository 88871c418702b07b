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

// probe is a ping of this instance that is not yet acknowledged.
type probe struct {
	target   fleet.InstanceID // empty for a seed
	sent     time.Time
	ring     bool // the target is suspected if it does not answer
	indirect bool // indirect probes were requested
	expired  bool // the deadline has passed
}

// relay is a pending indirect probe: a ping on behalf of another instance, which
// has the given address and used the given sequence number.
type relay struct {
	address  string
	sequence uint64
	sent     time.Time
}

// detectPause detects that the process was paused. It drops pending probes, because
// their acks may still be unread in the socket, and restarts the suspicion timeouts
// and the heartbeat timeouts of the data centres.
func (c *Core) detectPause(now time.Time) {
	pause := now.Sub(c.lastCall)
	if c.lastCall.IsZero() {
		pause = 0
	}
	c.lastCall = now
	if pause <= pauseThreshold {
		return
	}
	c.effects.Resumed = true
	c.healthScore = min(c.healthScore+2, maxHealthScore)
	clear(c.probes)
	clear(c.relays)
	for _, m := range c.members {
		if m.suspicion != nil {
			m.suspicion.startedAt = now
		}
	}
	for _, s := range c.centres {
		s.lastHeartbeat = now
	}
}

// probeRing pings the instance at the next distance on the ring.
func (c *Core) probeRing(now time.Time) {
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = c.nextProbeTime(now)
	t := c.nextProbeTarget(now)
	if t == nil {
		return
	}
	p := c.ping(t.id(), t.record.Gossip, t.record.DataCentre, now, t.digestMismatches[localScope] > 0)
	p.ring = true
}

// nextProbeTime returns the time of the next probe: a fixed offset into the next
// round, where rounds are multiples of probeInterval on the wall clock. If all
// instances probe the same distance in the same round, a change reaches all of
// them in log2(n) rounds. With clocks that differ by more than a round it takes up
// to twice as long; nothing else depends on the clocks.
func (c *Core) nextProbeTime(now time.Time) time.Time {
	if c.repairs[localScope].active {
		return now.Add(repairInterval)
	}
	offset := time.Duration(c.self.hash) % (probeInterval * 2 / 3)
	elapsed := time.Duration(now.UnixNano()) % probeInterval
	// The sum keeps the monotonic clock reading of now, so that a step of the wall
	// clock does not delay the next probe.
	return now.Add(probeInterval - elapsed + offset)
}

func (c *Core) nextProbeTarget(now time.Time) *member {
	ring := c.currentRing()
	if len(ring) < 2 {
		return nil
	}
	rounds := bits.Len(uint(len(ring) - 1))
	round := int(now.UnixNano()/int64(probeInterval)) % rounds
	if c.repairs[localScope].active {
		c.repairRound++
		round = c.repairRound % rounds
	}
	index := slices.Index(ring, c.self)
	return ring[(index+1<<round)%len(ring)]
}

// ping sends a ping. If introduce is set, the ping carries the record of this
// instance.
func (c *Core) ping(to fleet.InstanceID, address, dataCentre string, now time.Time, introduce bool) *probe {
	c.sequence++
	p := &probe{target: to, sent: now}
	c.probes[c.sequence] = p
	m := c.newMessage(gossipv1.Kind_KIND_PING)
	m.Sequence = c.sequence
	c.requestRepair(m, dataCentre)
	if introduce {
		m.Members = append(m.Members, c.self.wireRecord(now))
	}
	if t, ok := c.members[to]; ok && t.record.Status != gossipv1.Status_STATUS_ALIVE {
		// The target learns at once that it is suspected or dead and can refute it.
		m.Members = append(m.Members, t.wireRecord(now))
	}
	if !c.isLocal(dataCentre) || c.needsSummary {
		m.Centres = c.packCentres()
		c.needsSummary = false
	}
	c.piggyback(m, dataCentre, maxPingBytes, now)
	c.send(to, address, m)
	return p
}

func (c *Core) newMessage(kind gossipv1.Kind) *gossipv1.Message {
	c.refreshDigests()
	return &gossipv1.Message{
		Kind: kind, From: c.self.record.Id, DataCentre: c.self.record.DataCentre,
		Revision: uint64(c.highest), Local: c.digests.local, Global: c.digests.global,
	}
}

// handlePing answers a ping with an ack.
func (c *Core) handlePing(ping *gossipv1.Message, address string, now time.Time) {
	m := c.newMessage(gossipv1.Kind_KIND_ACK)
	m.Sequence = ping.Sequence
	m.Target = ping.Target
	from, known := c.members[fleet.InstanceID(ping.From)]
	if known && from.record.Status != gossipv1.Status_STATUS_ALIVE {
		m.Members = append(m.Members, from.wireRecord(now))
	}
	if introduces(ping) {
		m.Members = append(m.Members, c.self.wireRecord(now))
		c.shareIntroductions(m, ping, now)
	}
	// Heartbeats of data centres advance once per second, less often than acks are
	// sent.
	c.acksSent++
	if !c.isLocal(ping.DataCentre) || c.acksSent%acksPerCentreHeartbeat == 0 {
		m.Centres = c.packCentres()
	}
	if c.isLocal(ping.DataCentre) || !c.largeFleet {
		limit := maxReportBytes
		if ping.Repair != nil {
			limit = maxRepairReportBytes
		}
		limit = min(limit, MaxMessageBytes-proto.Size(m)-4)
		m.Reports = c.packReports(c.isLocal(ping.DataCentre), limit, now)
	}
	c.serveSummaries(m, ping.Centres)
	c.serveRepair(m, ping, now)
	c.piggyback(m, ping.DataCentre, MaxMessageBytes, now)
	c.send(fleet.InstanceID(ping.From), address, m)
}

// introduces reports whether m carries the record of its sender.
func introduces(m *gossipv1.Message) bool {
	return slices.ContainsFunc(m.Members, func(u *gossipv1.Member) bool { return u.Id == m.From })
}

func (c *Core) handleAck(ack *gossipv1.Message, now time.Time) {
	if r, ok := c.relays[ack.Sequence]; ok {
		delete(c.relays, ack.Sequence)
		c.forwardAck(ack, r)
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
	// Only an ack within the unscaled timeout improves the health score. If acks
	// within the scaled timeout counted, a slow instance would reset its score and
	// suspect others in every second round.
	if now.Sub(p.sent) < probeTimeout {
		c.healthScore = max(c.healthScore-1, 0)
	}
	if len(ack.Reports) > 0 {
		c.ackRevision = fleet.Revision(ack.Revision)
		c.mergeReports(ack.Reports, p.sent, now)
	}
	c.updateRepairs(ack)
}

// forwardAck sends the ack of an indirect probe to the instance that requested it.
func (c *Core) forwardAck(ack *gossipv1.Message, r relay) {
	m := c.newMessage(gossipv1.Kind_KIND_ACK)
	m.Sequence = r.sequence
	m.Target = ack.From
	c.send("", r.address, m)
}

// handlePingRequest pings the target of a ping request on behalf of its sender.
func (c *Core) handlePingRequest(request *gossipv1.Message, address string, now time.Time) {
	c.sequence++
	c.relays[c.sequence] = relay{address: address, sequence: request.Sequence, sent: now}
	m := c.newMessage(gossipv1.Kind_KIND_PING)
	m.Sequence = c.sequence
	if t, ok := c.members[fleet.InstanceID(request.Target)]; ok && t.record.Status != gossipv1.Status_STATUS_ALIVE {
		m.Members = append(m.Members, t.wireRecord(now))
	}
	c.send(fleet.InstanceID(request.Target), request.TargetAddress, m)
}

// expireProbes requests indirect probes after probeTimeout and suspects the target
// after probeDeadline. Both are multiplied by 1 + the health score, so that an
// instance that is itself slow suspects others later.
func (c *Core) expireProbes(now time.Time) {
	multiplier := time.Duration(1 + c.healthScore)
	for _, s := range sortedKeys(c.probes) {
		p := c.probes[s]
		age := now.Sub(p.sent)
		if p.ring && !p.indirect && age >= probeTimeout*multiplier {
			p.indirect = true
			c.sendPingRequests(s, p.target)
		}
		if p.ring && !p.expired && age >= probeDeadline*multiplier {
			p.expired = true
			c.suspect(p.target, now)
		}
		if age > probeDeadline*(maxHealthScore+2) {
			delete(c.probes, s)
		}
	}
	for s, r := range c.relays {
		if now.Sub(r.sent) > probeDeadline*(maxHealthScore+2) {
			delete(c.relays, s)
		}
	}
}

func (c *Core) sendPingRequests(sequence uint64, target fleet.InstanceID) {
	t, ok := c.members[target]
	if !ok {
		return
	}
	ring := c.currentRing()
	asked := 0
	for _, i := range c.random.Perm(len(ring)) {
		h := ring[i]
		if h == c.self || h == t || asked == indirectProbes {
			continue
		}
		asked++
		m := c.newMessage(gossipv1.Kind_KIND_PING_REQUEST)
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
		c.addAccuser(t, c.self.hash)
		return
	}
	// The health score only grows with the first suspicion: another failed probe of
	// a suspect says nothing about this instance.
	c.healthScore = min(c.healthScore+1, maxHealthScore)
	record := clone(t.record)
	record.Status = gossipv1.Status_STATUS_SUSPECT
	record.Accuser = c.self.hash
	c.update(t, record, now)
}

func (c *Core) expireSuspicions(now time.Time) {
	for _, m := range slices.Clone(c.membersByID()) {
		if m.suspicion == nil || !c.isLocal(m.record.DataCentre) {
			continue
		}
		if now.Sub(m.suspicion.startedAt) < c.suspicionTimeout(m) {
			continue
		}
		record := clone(m.record)
		record.Status = gossipv1.Status_STATUS_DEAD
		record.AgeSeconds = 0
		c.update(m, record, now)
	}
}

// suspicionTimeout returns the time after which the suspect m is declared dead. It
// decreases logarithmically from the maximum to the minimum with the number of
// independent accusers, as in Lifeguard, and is multiplied by 1 + the health score.
// In a data centre without other possible accusers it is the minimum.
func (c *Core) suspicionTimeout(m *member) time.Duration {
	expected := min(expectedAccusers, len(c.currentRing())-2)
	multiplier := time.Duration(1 + c.healthScore)
	if expected < 1 {
		return minSuspicionTimeout * multiplier
	}
	reduction := math.Log(float64(len(m.suspicion.accusers))) / math.Log(float64(expected)+1)
	timeout := maxSuspicionTimeout - time.Duration(reduction*float64(maxSuspicionTimeout-minSuspicionTimeout))
	return max(timeout, minSuspicionTimeout) * multiplier
}

// rejoin periodically pings a dead member and a seed, so that the two sides of a
// partition find each other once it ends. Only contacts ping seeds, which bounds
// the load on the seeds; an instance that knows no other instance pings them too,
// and more often.
func (c *Core) rejoin(now time.Time) {
	if !now.Before(c.nextRejoin) {
		c.nextRejoin = now.Add(rejoinInterval)
		c.pingDead(now)
	}
	if !now.Before(c.nextSeed) {
		c.pingSeed(now)
	}
}

func (c *Core) pingSeed(now time.Time) {
	alone := len(c.members) == 1
	c.nextSeed = now.Add(seedInterval)
	if alone {
		c.nextSeed = now.Add(joinInterval)
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
	for _, m := range c.membersByID() {
		if m.record.Status == gossipv1.Status_STATUS_DEAD && c.isLocal(m.record.DataCentre) {
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
