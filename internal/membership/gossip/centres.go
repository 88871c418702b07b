package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// minSummaryInterval is the minimum time between two summaries of a data centre
	// if its contacts have changed. If only counts or revisions have changed, the
	// interval is longer.
	minSummaryInterval  = 2 * time.Second
	slowSummaryInterval = 30 * time.Second
	// usageInterval is multiplied by the number of origins in a scope, so that the
	// traffic for usages does not grow with their number.
	usageInterval  = 750 * time.Millisecond
	usageRetention = time.Minute
	// heartbeatResetAge is the age of the last heartbeat after which any different
	// heartbeat counts as newer, because the 16-bit counter may have wrapped.
	heartbeatResetAge = time.Hour
	centreEntryBytes  = 8
	// maxIntroductionAge is the maximum age of an introduction that is passed on.
	maxIntroductionAge = 30 * time.Second
)

// centreState is the internal state kept for one data centre.
type centreState struct {
	heartbeat uint16
	// lastHeartbeat is the local time of the last new heartbeat, or the later time at
	// which its timeout was restarted after a pause of this process.
	lastHeartbeat time.Time
	summary       *gossipv1.Summary
	// address is the source address of the last message from the data centre.
	address string
	// introduced lists the last instances of the data centre that sent their own
	// record to this instance.
	introduced []introduction
}

// introduction is the record of an instance of another data centre, sent by itself.
type introduction struct {
	record     *gossipv1.Member
	receivedAt time.Time
}

type usage struct {
	record     *gossipv1.Usage
	receivedAt time.Time
}

// DataCentre is the known state of one data centre.
type DataCentre struct {
	ID fleet.DataCentreID
	// Alive is the number of live instances. HighestRevision and LowestRevision are
	// the highest and lowest of their active revisions.
	Alive                           int
	HighestRevision, LowestRevision fleet.Revision
	// UsableUpstreams is the number of usable upstreams of each pool.
	UsableUpstreams map[fleet.PoolID]int
	// HeartbeatAge is the time since the last heartbeat of the data centre.
	HeartbeatAge time.Duration
}

// DataCentres returns the known data centres at now, ordered by ID.
func (c *Core) DataCentres(now time.Time) []DataCentre {
	var all []DataCentre
	for _, id := range sortedKeys(c.centres) {
		all = append(all, c.dataCentreView(id, now))
	}
	return all
}

func (c *Core) dataCentreView(id fleet.DataCentreID, now time.Time) DataCentre {
	s := c.centres[id].summary
	if id == fleet.DataCentreID(c.self.record.DataCentre) {
		s = c.summarize()
	}
	v := DataCentre{
		ID: id, Alive: int(s.GetAlive()), HighestRevision: fleet.Revision(s.GetHighestRevision()),
		LowestRevision: fleet.Revision(s.GetLowestRevision()), UsableUpstreams: make(map[fleet.PoolID]int),
		HeartbeatAge: c.heartbeatAge(id, now),
	}
	for _, p := range s.GetPools() {
		v.UsableUpstreams[fleet.PoolID(p.Id)] = int(p.Upstreams)
	}
	return v
}

// InstanceUsages returns the account usages of the instances of this data centre,
// by instance.
func (c *Core) InstanceUsages() map[fleet.InstanceID][]byte {
	return usagesOf[fleet.InstanceID](c, false)
}

// DataCentreUsages returns the account usages of all data centres, by data centre.
func (c *Core) DataCentreUsages() map[fleet.DataCentreID][]byte {
	return usagesOf[fleet.DataCentreID](c, true)
}

func usagesOf[K ~string](c *Core, wide bool) map[K][]byte {
	found := make(map[K][]byte)
	for _, u := range c.usages {
		if u.record.Wide == wide {
			found[K(u.record.Origin)] = u.record.Data
		}
	}
	return found
}

// chooseContacts returns the contactCount members with the highest rendezvous hashes.
func chooseContacts(ring []*member) []*member {
	contacts := slices.Clone(ring)
	slices.SortFunc(contacts, func(a, b *member) int {
		return cmp.Compare(rendezvousHash(b.record), rendezvousHash(a.record))
	})
	return contacts[:min(len(contacts), contactCount)]
}

func rendezvousHash(r *gossipv1.Member) uint64 {
	return xxhash.Sum64String(r.DataCentre + "/" + r.Id)
}

func (c *Core) isContact(m *member) bool {
	c.currentRing()
	return slices.Contains(c.contacts, m)
}

// isPublisher reports whether this instance publishes the summary and the heartbeat
// of its data centre. The first contact does.
func (c *Core) isPublisher() bool {
	c.currentRing()
	return len(c.contacts) > 0 && c.contacts[0] == c.self
}

func (c *Core) centre(id fleet.DataCentreID, now time.Time) *centreState {
	s, ok := c.centres[id]
	if !ok {
		s = &centreState{lastHeartbeat: now}
		c.centres[id] = s
	}
	return s
}

// recordSender records the address of a sender in another data centre, so that this
// instance can probe it later.
func (c *Core) recordSender(m *gossipv1.Message, address string, now time.Time) {
	if m.DataCentre != "" && !c.isLocal(m.DataCentre) {
		c.centre(fleet.DataCentreID(m.DataCentre), now).address = address
	}
}

// shareIntroductions adds to an ack the records of other instances of the sender's
// data centre that introduced themselves to this instance recently. In a large fleet
// this instance keeps no records of them, and they may have no other way to find each
// other.
func (c *Core) shareIntroductions(ack, ping *gossipv1.Message, now time.Time) {
	if c.isLocal(ping.DataCentre) {
		return
	}
	s := c.centre(fleet.DataCentreID(ping.DataCentre), now)
	s.introduced = slices.DeleteFunc(s.introduced, func(i introduction) bool {
		return i.record.Id == ping.From || now.Sub(i.receivedAt) > maxIntroductionAge
	})
	for _, i := range s.introduced {
		ack.Members = append(ack.Members, i.record)
	}
	at := slices.IndexFunc(ping.Members, func(u *gossipv1.Member) bool { return u.Id == ping.From })
	if at < 0 || deadOrLeft(ping.Members[at]) {
		return
	}
	s.introduced = append(s.introduced, introduction{record: ping.Members[at], receivedAt: now})
	s.introduced = s.introduced[max(0, len(s.introduced)-contactCount):]
}

// heartbeatAge returns the time since the last heartbeat of a data centre. It is 0
// for the own data centre and for unknown ones.
func (c *Core) heartbeatAge(id fleet.DataCentreID, now time.Time) time.Duration {
	s, ok := c.centres[id]
	if !ok || c.isLocal(string(id)) {
		return 0
	}
	return max(0, now.Sub(s.lastHeartbeat))
}

// fleetSize returns the number of live instances in all data centres.
func (c *Core) fleetSize() int {
	size := len(c.currentRing())
	knownMembers := make(map[string]int)
	for _, m := range c.members {
		if m.present() && !c.isLocal(m.record.DataCentre) {
			knownMembers[m.record.DataCentre]++
		}
	}
	for id, s := range c.centres {
		if c.isLocal(string(id)) {
			continue
		}
		if s.summary != nil {
			size += int(s.summary.Alive)
			continue
		}
		size += knownMembers[string(id)]
	}
	return size
}

// publishState publishes the usage of this instance. The publisher also publishes the
// heartbeat, the summary and the usage of its data centre.
func (c *Core) publishState(now time.Time) {
	if now.Before(c.nextCentreHeartbeat) {
		return
	}
	c.nextCentreHeartbeat = now.Add(heartbeatInterval)
	own := c.centre(fleet.DataCentreID(c.self.record.DataCentre), now)
	c.publishUsage(now)
	if !c.isPublisher() {
		return
	}
	own.heartbeat = nextHeartbeat(own.heartbeat, now)
	own.lastHeartbeat = now
	c.publishSummary(own, now)
}

// nextHeartbeat returns the heartbeat after h. It is at least the wall clock in
// seconds (modulo 2^16), so that the heartbeat also increases when all instances of a
// data centre restart at once.
func nextHeartbeat(h uint16, now time.Time) uint16 {
	next := h + 1
	if seconds := uint16(now.Unix()); int16(seconds-next) > 0 {
		return seconds
	}
	return next
}

func (c *Core) publishSummary(own *centreState, now time.Time) {
	s := c.summarize()
	old := own.summary
	if old != nil {
		s.Version = old.Version
	}
	if old != nil && proto.Equal(s, old) {
		return
	}
	if !c.summaryDue(s, old, now) {
		return
	}
	c.lastSummary = now
	s.Version = max(s.Version+1, uint64(now.UnixMilli()))
	own.summary = s
}

func (c *Core) summaryDue(s, old *gossipv1.Summary, now time.Time) bool {
	period := slowSummaryInterval
	if !c.largeFleet {
		period = minSummaryInterval * 2
	}
	if old == nil || !slices.EqualFunc(s.Contacts, old.Contacts, func(a, b *gossipv1.Contact) bool { return a.Id == b.Id }) {
		period = minSummaryInterval
	}
	return now.Sub(c.lastSummary) >= period
}

func (c *Core) summarize() *gossipv1.Summary {
	ring := c.currentRing()
	s := &gossipv1.Summary{DataCentre: c.self.record.DataCentre, Alive: uint32(len(ring))}
	for n, m := range ring {
		r := uint64(m.revision)
		s.HighestRevision = max(s.HighestRevision, r)
		if n == 0 || r < s.LowestRevision {
			s.LowestRevision = r
		}
	}
	for _, p := range sortedKeys(c.ownPools) {
		s.Pools = append(s.Pools, &gossipv1.Pool{Id: string(p), Upstreams: uint32(c.ownPools[p])})
	}
	for _, m := range c.contacts {
		s.Contacts = append(s.Contacts, &gossipv1.Contact{Id: m.record.Id, Gossip: m.record.Gossip})
	}
	return s
}

func (c *Core) mergeSummary(u *gossipv1.Summary, now time.Time) {
	s := c.centre(fleet.DataCentreID(u.DataCentre), now)
	if s.summary != nil && u.Version <= s.summary.Version {
		return
	}
	s.summary = u
	c.highest = max(c.highest, fleet.Revision(u.HighestRevision))
	if c.isLocal(u.DataCentre) {
		c.pingAbsentContacts(u.Contacts, now)
	}
}

// pingAbsentContacts pings those contacts of the own data centre that are not known as
// alive or suspect. In this way instances that joined through seeds in other data
// centres, and the sides of a partition, find the others of their data centre.
func (c *Core) pingAbsentContacts(contacts []*gossipv1.Contact, now time.Time) {
	for _, t := range contacts {
		m, ok := c.members[fleet.InstanceID(t.Id)]
		if ok && m.present() {
			continue
		}
		c.ping(fleet.InstanceID(t.Id), t.Gossip, c.self.record.DataCentre, now, true)
	}
}

func (c *Core) publishUsage(now time.Time) {
	for origin, u := range c.usages {
		if now.Sub(u.receivedAt) > usageRetention {
			delete(c.usages, origin)
		}
	}
	origins := max(len(c.currentRing()), len(c.centres))
	if now.Before(c.nextUsage) {
		return
	}
	c.nextUsage = now.Add(max(time.Second, usageInterval*time.Duration(origins)))
	if c.ownUsage != nil {
		c.mergeUsage(&gossipv1.Usage{Origin: c.self.record.Id, Version: uint64(now.UnixMilli()), Data: c.ownUsage}, now)
	}
	if data := c.combinedUsage(); data != nil && c.isPublisher() {
		c.mergeUsage(&gossipv1.Usage{Origin: c.self.record.DataCentre, Version: uint64(now.UnixMilli()), Data: data, Wide: true}, now)
	}
}

func (c *Core) combinedUsage() []byte {
	if c.combineUsages == nil {
		return c.ownUsage
	}
	var all [][]byte
	for _, origin := range sortedKeys(c.usages) {
		if u := c.usages[origin]; !u.record.Wide {
			all = append(all, u.record.Data)
		}
	}
	data := c.combineUsages(all)
	if len(data) > MaxUsageBytes {
		return nil
	}
	return data
}

func (c *Core) mergeUsage(u *gossipv1.Usage, now time.Time) {
	key := "i" + u.Origin
	if u.Wide {
		key = "c" + u.Origin
	}
	old, ok := c.usages[key]
	if len(u.Data) > MaxUsageBytes || (ok && u.Version <= old.record.Version) {
		return
	}
	c.usages[key] = &usage{record: u, receivedAt: now}
	c.enqueue(usageKey(key))
}

// probeCentres pings another data centre, in turn, if this instance is a contact.
func (c *Core) probeCentres(now time.Time) {
	if now.Before(c.nextCentreProbe) || !c.isContact(c.self) {
		return
	}
	c.nextCentreProbe = now.Add(centreProbeInterval)
	var others []fleet.DataCentreID
	for _, id := range sortedKeys(c.centres) {
		if !c.isLocal(string(id)) {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return
	}
	rank := slices.Index(c.contacts, c.self)
	c.centreIndex++
	// The offset by rank makes the contacts start at different data centres.
	id := others[(c.centreIndex+rank*len(others)/contactCount)%len(others)]
	to, address := c.chooseContact(id)
	if address != "" {
		c.ping(to, address, string(id), now, false)
	}
}

// chooseContact chooses an instance of another data centre: one of its contacts, or
// else a known member, or else the sender of the last message from there. The address
// is empty if there is none.
func (c *Core) chooseContact(id fleet.DataCentreID) (fleet.InstanceID, string) {
	s := c.centres[id]
	if contacts := s.summary.GetContacts(); len(contacts) > 0 {
		t := contacts[c.random.IntN(len(contacts))]
		return fleet.InstanceID(t.Id), t.Gossip
	}
	var known []*member
	for _, m := range c.membersByID() {
		if m.record.DataCentre == string(id) && m.present() {
			known = append(known, m)
		}
	}
	if len(known) > 0 {
		t := known[c.random.IntN(len(known))]
		return t.id(), t.record.Gossip
	}
	return "", s.address
}

// version returns the low 16 bits of the version of the summary. They show that two
// summaries differ, but not which one is newer.
func (s *centreState) version() uint16 { return uint16(s.summary.GetVersion()) }

// packCentres encodes, for each data centre, the hash of its id in 4 bytes, its
// heartbeat in 2 bytes and the version of its summary in 2 bytes.
func (c *Core) packCentres() []byte {
	b := make([]byte, 0, centreEntryBytes*len(c.centres))
	for _, id := range sortedKeys(c.centres) {
		s := c.centres[id]
		b = binary.LittleEndian.AppendUint32(b, hash32(string(id), 0))
		b = binary.LittleEndian.AppendUint16(b, s.heartbeat)
		b = binary.LittleEndian.AppendUint16(b, s.version())
	}
	return b
}

// mergeCentres merges the heartbeats of data centres. If the version of a summary
// differs, the next ping requests the summary.
func (c *Core) mergeCentres(b []byte, now time.Time) {
	byHash := make(map[uint32]*centreState, len(c.centres))
	for id, s := range c.centres {
		byHash[hash32(string(id), 0)] = s
	}
	for ; len(b) >= centreEntryBytes; b = b[centreEntryBytes:] {
		s, ok := byHash[binary.LittleEndian.Uint32(b)]
		if !ok {
			c.needsSummary = true
			continue
		}
		s.mergeHeartbeat(binary.LittleEndian.Uint16(b[4:]), now)
		if s.version() != binary.LittleEndian.Uint16(b[6:]) {
			c.needsSummary = true
		}
	}
}

// serveSummaries adds to m those summaries of which the sender of the ping has a
// different version or none, as far as they fit. peerCentres are the encoded data
// centres of the ping.
func (c *Core) serveSummaries(m *gossipv1.Message, peerCentres []byte) {
	if len(peerCentres) == 0 {
		return
	}
	versions := make(map[uint32]uint16)
	for b := peerCentres; len(b) >= centreEntryBytes; b = b[centreEntryBytes:] {
		versions[binary.LittleEndian.Uint32(b)] = binary.LittleEndian.Uint16(b[6:])
	}
	available := MaxMessageBytes - proto.Size(m)
	for _, id := range sortedKeys(c.centres) {
		s := c.centres[id]
		if s.summary != nil && versions[hash32(string(id), 0)] != s.version() {
			available -= appendRecord(&m.Summaries, s.summary, available)
		}
	}
}

func (s *centreState) mergeHeartbeat(heartbeat uint16, now time.Time) {
	newer := int16(heartbeat-s.heartbeat) > 0
	restarted := heartbeat != s.heartbeat && now.Sub(s.lastHeartbeat) > heartbeatResetAge
	if newer || restarted {
		s.heartbeat = heartbeat
		s.lastHeartbeat = now
	}
}
