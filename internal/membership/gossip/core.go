// Package gossip implements the membership protocol as a deterministic state
// machine. It has no sockets and reads no clock: the input is a message or a tick
// with its time, the output are the messages and events in Effects.
//
//	c := gossip.New(self, seeds, gossip.WithRandom(seed))
//	effects := c.Tick(now)                       // about every 50 ms
//	effects = c.Receive(message, address, now)   // for every message
//
// # Failure detection
//
// The instances of a data centre form a ring ordered by id. Each probes, in
// turn, the instances at distances 1, 2, 4, and so on. If a probe is not
// acknowledged, other instances probe the target indirectly. If that fails too,
// the target is suspected, which it can refute with a higher incarnation, and
// finally declared dead (SWIM: Das, Gupta, Motivala, DSN 2002, with fixed
// distances in place of random targets). An instance whose own probes fail uses
// longer timeouts, and so does an instance after a pause of its process, which
// also drops its pending probes (Lifeguard: Dadgar, Phillips, Currey, 2017).
//
// # Dissemination
//
// Every instance that learns of a changed record piggybacks it O(log n) times.
// Pings and acks also carry digests of all records. When the digests of two
// instances differ several times in a row, an anti-entropy repair starts: one of
// them reads the records of the other in key order.
//
// Heartbeats of upstreams are not records. An ack carries the age of the last
// heartbeat of every upstream in 6 bits under a slot number, so its size does not
// depend on how often an upstream announces itself. Because probes go to distance
// 1, 2, 4, ... in turn, a heartbeat reaches all n instances in log2(n) probe
// intervals: 1.5 s for 27 instances. Ages are relative to the time at which the
// probe was sent: an ack that was delayed, or read late after a pause of the
// process, makes a heartbeat look older and never newer.
//
// # Data centres
//
// A data centre elects three contacts by rendezvous hashing. Only contacts
// probe contacts of other data centres. Up to MaxDetailedInstances live instances, the
// records of all members are exchanged between data centres, so that every
// instance of a fleet of the present size knows the revision of every other.
// Above that limit only the records of voters, one Summary for each data centre
// and a heartbeat are exchanged, so that the cost for an instance does not grow
// with the fleet. A ping may carry the versions of the summaries that its sender
// has; the ack contains the summaries that differ. Only the data centre of a
// member decides on its status. When the heartbeat of a data centre stops, its
// members are reported as suspect and later as dead, without a change of their
// records, until the heartbeat resumes.
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

// MaxDetailedInstances is the maximum number of live instances with which the records of
// all members are exchanged between data centres. It is twice the size of present
// fleets. A report takes about 8 bytes in every ack, so 32 members cost 0.8 KB/s;
// 60 would cost 1.5 KB/s, half of the budget of 3 KB/s.
const MaxDetailedInstances = 32

// MaxMessageBytes is the maximum encoded size of a message in bytes. Together with its
// frame a message stays below 1400 bytes, so that no link fragments it.
const MaxMessageBytes = 1300

// MaxUsageBytes is the maximum size of the opaque account usage of an instance or a
// data centre in bytes.
const MaxUsageBytes = 128

// DeadRetention is the period for which dead and left members are kept. After a
// partition of up to an hour, each side still knows the members of the other side
// as dead, and the two sides rejoin by probing dead members.
const DeadRetention = 2 * time.Hour

// UpstreamRetention is the period for which an upstream is kept after its last
// heartbeat, or after it announced that it leaves.
const UpstreamRetention = 10 * time.Minute

const (
	probeInterval = 350 * time.Millisecond
	// repairInterval replaces probeInterval during a repair within the data centre.
	// 600 upstreams take 54 KB, which would take 21 s at the normal interval.
	repairInterval      = 100 * time.Millisecond
	probeTimeout        = 300 * time.Millisecond
	probeDeadline       = time.Second
	minSuspicionTimeout = 3 * time.Second
	maxSuspicionTimeout = 6 * time.Second
	centreProbeInterval = time.Second
	rejoinInterval      = 5 * time.Second
	joinInterval        = time.Second
	// seedInterval limits the load on a seed: with 60 contacts in 20 data centres
	// and 2 seeds, each seed receives one ping per second.
	seedInterval      = 30 * time.Second
	heartbeatInterval = time.Second
	// pauseThreshold is the time without a call of the core after which the
	// process is considered to have been paused.
	pauseThreshold = time.Second
	// centreSuspectTimeout and centreDeadTimeout are the times without a heartbeat
	// of another data centre after which its members are reported as suspect and
	// as dead.
	centreSuspectTimeout = 15 * time.Second
	centreDeadTimeout    = 45 * time.Second
	// acksPerCentreHeartbeat is the number of acks of which one carries the
	// heartbeats of the data centres, if it goes to the same data centre.
	acksPerCentreHeartbeat = 3
	maxHealthScore         = 8
	// leaveTargets is the maximum number of instances to which a leaving instance
	// announces it directly.
	leaveTargets   = 8
	indirectProbes = 3
	contactCount   = 3
	// expectedAccusers is the number of additional independent accusers that
	// shorten the suspicion timeout to its minimum.
	expectedAccusers = 3
)

// Envelope is a message to send. To is empty if only the address is known.
type Envelope struct {
	To      fleet.InstanceID
	Address string
	Message *gossipv1.Message
}

// Upstream is an announcement that another instance received. Age is the age of
// the last heartbeat of the upstream, or negative if none is known.
type Upstream struct {
	upstream.Announcement
	Age time.Duration
}

// Renewal is a heartbeat of an upstream whose announcement is unchanged. Age is
// the age of the heartbeat.
type Renewal struct {
	ID          fleet.UpstreamID
	Incarnation fleet.Incarnation
	Age         time.Duration
}

// Effects is the output of a call of the core.
type Effects struct {
	Send []Envelope
	// Members lists the members whose record, status or revision changed.
	Members   []membership.Member
	Announced []Upstream
	Renewed   []Renewal
	// Resumed reports that the process was paused for longer than pauseThreshold.
	Resumed bool
}

// Core is the state of the membership protocol of one instance. It is not safe
// for concurrent use.
type Core struct {
	random        *rand.Rand
	combineUsages func([][]byte) []byte
	seeds         []string
	self          *member
	leaving       bool
	lastCall      time.Time // time of the last call that received the current time

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
	// healthScore is the local health score of Lifeguard: 0 is healthy, and higher
	// values lengthen the timeouts of this instance.
	healthScore int
	acksSent    int

	nextProbe, nextCentreProbe, nextRejoin, nextCentreHeartbeat, nextPrune, nextUsage, lastSummary, nextSeed time.Time

	queue        map[string]*queuedRecord
	queueOrdinal uint64
	// mergingRepair is set while the records of a repair are merged, which are not
	// queued for dissemination.
	mergingRepair bool
	repairs       [2]repair
	digests       digests

	slotTables   map[uint32]*slotTable
	lastSlot     uint32
	upstreams    map[fleet.UpstreamID]*upstreamEntry
	reportOffset int
	highest      fleet.Revision
	// ackRevision is the highest revision known to the sender of the ack that is
	// being processed.
	ackRevision fleet.Revision

	centres     map[fleet.DataCentreID]*centreState
	centreIndex int
	// needsSummary is set when another instance has a different version of a
	// summary; the next ping then requests it.
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

// WithUsageCombiner sets the function that combines the account usages of the
// instances into the account usage of the data centre. Without it the usage of
// the instance that publishes the summary of the data centre is used.
func WithUsageCombiner(f func([][]byte) []byte) Option {
	return func(c *Core) { c.combineUsages = f }
}

// New returns a Core for self. The incarnation of self must be higher than that
// of any earlier process with the same id; the start time in milliseconds
// satisfies this. Seeds are the gossip addresses through which the instance joins.
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
	// A new instance reads all records from other instances once.
	c.repairs[localScope].active = true
	c.repairs[globalScope].active = true
	c.enqueue(memberKey(c.self.record.Id))
	return c
}

// Tick runs the timers that are due at now. It must be called about every 50 ms.
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
	// Records received by a repair are not recent changes and are not disseminated.
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

// Leave announces that this instance leaves. Afterwards the core only replies to
// messages; calling Leave again repeats the announcement.
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

// SetRevision sets the active revision of this instance and the time at which it
// became active.
func (c *Core) SetRevision(r fleet.Revision, since time.Time) Effects {
	if r > c.self.revision {
		c.self.revision, c.self.since = r, since
		c.highest = max(c.highest, r)
		c.reportChange(c.self)
	}
	return c.takeEffects()
}

// SetPools sets the number of usable upstreams of each pool for the summary of the
// data centre.
func (c *Core) SetPools(counts map[fleet.PoolID]int) { c.ownPools = counts }

// SetUsage sets the account usage of this instance. It reports whether the usage
// was accepted, that is, has at most MaxUsageBytes bytes.
func (c *Core) SetUsage(data []byte) bool {
	if len(data) > MaxUsageBytes {
		return false
	}
	c.ownUsage = data
	return true
}

// HighestRevision returns the highest revision known to be active on any
// instance.
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
