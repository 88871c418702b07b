// Package gossip is the pure core of the membership protocol. It has no sockets
// and reads no clock: a message or a tick with a time goes in, messages and
// events come out as Effects.
//
//	c := gossip.New(self, seeds, gossip.WithRandom(seed))
//	effects := c.Tick(now)                       // about every 50 ms
//	effects = c.Receive(message, address, now)   // for every message
//
// # Failure detection
//
// The instances of a data centre form a ring ordered by id. Each probes, in
// turn, the instances at distances 1, 2, 4, and so on. A probe that is not
// answered is tried through helpers; then the instance is suspected, which it
// can refute with a higher incarnation, and at last declared dead (SWIM: Das,
// Gupta, Motivala, DSN 2002, with fixed distances in place of random targets).
// An instance whose own probes fail, or that did not run for a while, waits
// longer and drops its open probes (Lifeguard: Dadgar, Phillips, Currey, 2017).
//
// # Dissemination
//
// A changed record is piggybacked O(log n) times by every instance that learns
// it. Pings and acks also carry digests of all records; when the digests of two
// instances keep differing, one reads the records of the other in key order.
//
// Confirmations of upstreams are not records. The answer to a probe carries the
// age of every confirmation in 6 bits under a slot number, so the same bytes
// serve however often an upstream announces itself. Because a probe goes to
// distance 1, 2, 4, ... in turn, a confirmation reaches all n instances in
// log2(n) probe periods: 1.5 s for 27 instances. Ages count from the time at which the probe was sent:
// an answer that was delayed, or read late after a pause of the process, makes a
// confirmation look older and never newer.
//
// # Data centres
//
// A data centre elects three contacts by rendezvous hashing. Only contacts
// probe contacts of other data centres. Up to DetailLimit live instances all
// member records cross between data centres, so that today's fleets see the
// revision of every instance anywhere. Above it only records of voters, one
// Summary for each data centre and a heartbeat cross, so that the cost for an
// instance does not grow with the fleet. A ping that carries the versions of its
// summaries is answered with those that differ. Members of another data centre are
// judged by that data centre only; when its heartbeat stops they are shown as
// suspect and later as dead, without any record of it, and return with the
// heartbeat.
package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// DetailLimit is the number of live instances up to which the records of all
// members cross between data centres. It is twice the size of today's fleets. A
// report takes about 8 bytes in every answer, so 32 members cost 0.8 KB/s, and 60
// cost 1.5 KB/s, half of the budget of 3 KB/s.
const DetailLimit = 32

// MaxMessage bounds the encoded size of a message in bytes. With its frame it
// stays below 1400 bytes, so that no link fragments it.
const MaxMessage = 1300

// MaxUsage bounds the opaque account usage of an instance or a data centre in
// bytes.
const MaxUsage = 128

// DeadRetention is the time for which dead and left members are remembered. A
// partition of up to an hour leaves members dead on both sides, which find each
// other again by probing the dead.
const DeadRetention = 2 * time.Hour

// UpstreamRetention is the time for which an upstream without confirmations, or
// one that left, is remembered here.
const UpstreamRetention = 10 * time.Minute

const (
	probeInterval = 350 * time.Millisecond
	// repairInterval replaces probePeriod while the records of the data centre are
	// read. 600 upstreams take 54 KB, which is 21 s at the usual period.
	repairInterval      = 100 * time.Millisecond
	probeTimeout        = 300 * time.Millisecond
	probeDeadline       = time.Second
	minSuspicionTimeout = 3 * time.Second
	maxSuspicionTimeout = 6 * time.Second
	centreProbeInterval = time.Second
	rejoinInterval      = 5 * time.Second
	joinInterval        = time.Second
	// seedInterval keeps the load of a seed low: 60 contacts of 20 data centres
	// that ping 2 seeds make one ping a second for each.
	seedInterval      = 30 * time.Second
	heartbeatInterval = time.Second
	// pauseThreshold is the time without a tick after which the process counts as
	// paused.
	pauseThreshold = time.Second
	// centreSuspectTimeout and silenceDead are the times without a heartbeat after
	// which the members of another data centre are shown as suspect and dead.
	centreSuspectTimeout = 15 * time.Second
	centreDeadTimeout    = 45 * time.Second
	// acksPerCentreHeartbeat is the number of answers within the data centre for each one
	// that carries the heartbeats of the data centres.
	acksPerCentreHeartbeat = 3
	maxHealthScore         = 8
	// leaveTargets is the number of instances that hear of a leave directly.
	leaveTargets   = 8
	indirectProbes = 3
	contactCount   = 3
	// expectedAccusers is the number of independent suspicions that shorten the
	// suspicion to its minimum.
	expectedAccusers = 3
)

// Envelope is a message to send. To is empty when only the address is known.
type Envelope struct {
	To      fleet.InstanceID
	Address string
	Message *gossipv1.Message
}

// Upstream is an announcement that other instances received and the age of its
// last confirmation, negative when there is none.
type Upstream struct {
	upstream.Announcement
	Age time.Duration
}

// Renewal confirms a known upstream.
type Renewal struct {
	ID          fleet.UpstreamID
	Incarnation fleet.Incarnation
	Age         time.Duration
}

// Effects is what a call of the core leads to.
type Effects struct {
	Send []Envelope
	// Members lists the members whose record, status or revision changed.
	Members   []membership.Member
	Announced []Upstream
	Renewed   []Renewal
	// Resumed tells that the process did not run for some time.
	Resumed bool
}

// Core is the state of one instance. It is not safe for concurrent use.
type Core struct {
	random        *rand.Rand
	combineUsages func([][]byte) []byte
	seeds         []string
	self          *member
	leaving       bool
	lastCall      time.Time

	members    map[fleet.InstanceID]*member
	byHash     map[uint32]*member
	ordered    []*member
	ring       []*member
	contacts   []*member
	ringStale  bool
	largeFleet bool

	sequence    uint64
	probes      map[uint64]*probe
	relays      map[uint64]relay
	repairRound int
	healthScore int
	acksSent    int

	nextProbe, nextCentreProbe, nextRejoin, nextCentreHeartbeat, nextPrune, nextUsage, lastSummary, nextSeed time.Time

	queue        map[string]*queuedRecord
	queueOrdinal uint64
	// mergingRepair is set while records are merged that are no news.
	mergingRepair bool
	repairs       [2]repair
	digests       digests

	slotTables   map[uint32]*slotTable
	lastSlot     uint32
	upstreams    map[fleet.UpstreamID]*upstreamEntry
	reportOffset int
	highest      fleet.Revision
	// ackRevision is the highest revision that the sender of the answer in work
	// knows of.
	ackRevision fleet.Revision

	centres     map[fleet.DataCentreID]*centreState
	centreIndex int
	// needsSummary tells that another instance has another version of a summary.
	needsSummary bool
	ownPools     map[fleet.PoolID]int
	ownUsage     []byte
	usages       map[string]*usage

	effects Effects
}

// Option changes a setting of a Core.
type Option func(*Core)

// WithRandom sets the seed of the random choices.
func WithRandom(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, 1)) }
}

// WithCombine sets the function that a contact uses to make the account usage of
// its data centre from the usages of the instances. Without it the usage of the
// contact is taken.
func WithCombine(f func([][]byte) []byte) Option {
	return func(c *Core) { c.combineUsages = f }
}

// New returns a Core for self. The incarnation of self must be higher than that
// of any earlier process with the same id; the start time in milliseconds will
// do. Seeds are gossip addresses to join by.
func New(self membership.Member, seeds []string, options ...Option) *Core {
	c := &Core{
		random:     rand.New(rand.NewPCG(xxhash.Sum64String(string(self.ID)), uint64(self.Incarnation))),
		seeds:      seeds,
		members:    make(map[fleet.InstanceID]*member),
		byHash:     make(map[uint32]*member),
		probes:     make(map[uint64]*probe),
		relays:     make(map[uint64]relay),
		queue:      make(map[string]*queuedRecord),
		slotTables: make(map[uint32]*slotTable),
		upstreams:  make(map[fleet.UpstreamID]*upstreamEntry),
		centres:    make(map[fleet.DataCentreID]*centreState),
		usages:     make(map[string]*usage),
		ownPools:   make(map[fleet.PoolID]int),
	}
	for _, o := range options {
		o(c)
	}
	c.self = c.insert(&gossipv1.Member{
		Id: string(self.ID), Incarnation: uint64(self.Incarnation), Boot: uint64(self.Incarnation),
		DataCentre: string(self.DataCentre), Gossip: self.Gossip, Peers: self.Peers, Voter: self.Voter,
	})
	c.self.revision, c.self.since = self.Revision, self.Since
	c.highest = self.Revision
	// A new instance reads all records of others once.
	c.repairs[localScope].active = true
	c.repairs[globalScope].active = true
	c.enqueue(memberKey(c.self.record.Id))
	return c
}

// Tick does what is due at now. It is meant to be called about every 50 ms.
func (c *Core) Tick(now time.Time) Effects {
	c.detectPause(now)
	if c.leaving {
		return c.takeEffects()
	}
	c.expireProbes(now)
	c.expireSuspicions(now)
	c.prune(now)
	c.publishState(now)
	c.probeRing(now)
	c.probeCentres(now)
	c.rejoin(now)
	return c.takeEffects()
}

// Receive handles a message that came from address.
func (c *Core) Receive(m *gossipv1.Message, address string, now time.Time) Effects {
	c.detectPause(now)
	if m.From == c.self.record.Id {
		return c.takeEffects()
	}
	c.highest = max(c.highest, fleet.Revision(m.Revision))
	c.recordSender(m, address, now)
	// Records that were asked for by repair are old news and aren't spread.
	c.mergingRepair = m.Kind == gossipv1.Kind_KIND_ACK && m.Repair != nil
	c.mergeAll(m, now)
	c.mergingRepair = false
	switch m.Kind {
	case gossipv1.Kind_KIND_PING:
		c.handlePing(m, address, now)
	case gossipv1.Kind_KIND_ACK:
		c.handleAck(m, now)
	case gossipv1.Kind_KIND_PING_REQUEST:
		c.handlePingRequest(m, address, now)
	}
	return c.takeEffects()
}

func (c *Core) mergeAll(m *gossipv1.Message, now time.Time) {
	for _, u := range m.Members {
		c.mergeMember(u, now)
	}
	for _, u := range m.Summaries {
		c.mergeSummary(u, now)
	}
	for _, u := range m.Usages {
		c.mergeUsage(u, now)
	}
	if len(m.Centres) > 0 {
		c.mergeCentres(m.Centres, now)
	}
	if m.DataCentre != c.self.record.DataCentre {
		return
	}
	for _, u := range m.Upstreams {
		c.mergeUpstream(u, now)
	}
}

// Leave announces that this instance leaves. The core sends nothing afterwards
// but answers and, when Leave is called again, the announcement once more.
func (c *Core) Leave(now time.Time) Effects {
	c.lastCall = laterOf(c.lastCall, now)
	if !c.leaving {
		c.leaving = true
		record := clone(c.self.record)
		record.Status = gossipv1.Status_STATUS_LEFT
		c.update(c.self, record, now)
	}
	targets := slices.Clone(c.currentRing())
	c.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, t := range targets[:min(len(targets), leaveTargets)] {
		c.ping(t.id(), t.record.Gossip, t.record.DataCentre, now, true)
	}
	return c.takeEffects()
}

// SetRevision records the configuration in force on this instance.
func (c *Core) SetRevision(r fleet.Revision, since time.Time) Effects {
	if r > c.self.revision {
		c.self.revision, c.self.since = r, since
		c.highest = max(c.highest, r)
		c.reportChange(c.self)
	}
	return c.takeEffects()
}

// SetPools records the number of usable upstreams of each pool, for the summary
// of the data centre.
func (c *Core) SetPools(counts map[fleet.PoolID]int) { c.ownPools = counts }

// SetUsage records the account usage of this instance, at most MaxUsage bytes.
// It reports whether the usage was accepted.
func (c *Core) SetUsage(data []byte) bool {
	if len(data) > MaxUsage {
		return false
	}
	c.ownUsage = data
	return true
}

// HighestRevision returns the highest revision in force anywhere that is known.
func (c *Core) HighestRevision() fleet.Revision { return c.highest }

func (c *Core) takeEffects() Effects {
	e := c.effects
	c.effects = Effects{}
	return e
}

func (c *Core) send(to fleet.InstanceID, address string, m *gossipv1.Message) {
	c.effects.Send = append(c.effects.Send, Envelope{To: to, Address: address, Message: m})
}

func hash32(text string, boot uint64) uint32 {
	d := xxhash.NewWithSeed(boot)
	_, _ = d.WriteString(text)
	return uint32(d.Sum64())
}
