// Package packet runs the gossip core over UDP.
//
// A Node joins the fleet through seeds, maintains the membership and updates the
// roster of upstreams:
//
//	r, err := roster.New(roster.WithDataCentre(self.DataCentre))
//	node, err := packet.New(self,
//		packet.WithSecret(secret),
//		packet.WithSeeds(seeds...),
//		packet.WithClock(systemclock.Clock{}),
//		packet.WithLogger(logger),
//		packet.WithRoster(r),
//		packet.WithRevisionHook(func(highest fleet.Revision) { follower.Wake(highest) }),
//	)
//	defer node.Close()
//	node.SetRevision(config.Revision, clock.Now()) // whenever one becomes active
//	members := node.Members()                      // membership.View
//	err = node.Leave(ctx)                          // graceful stop
//
// self.Gossip is the address to listen on; with port 0 the system chooses a port,
// which node.Self().Gossip contains. self.Incarnation must be higher than that
// of any earlier process of the instance; the start time in milliseconds
// satisfies this. Two nodes must not share a roster.
package packet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/membership/gossip"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

const (
	tickInterval      = 50 * time.Millisecond
	poolCountInterval = time.Second
	sweepInterval     = time.Minute
	// leaveSends is the number of times that a leaving node announces it, because
	// a datagram may be lost.
	leaveSends = 3
)

// DropFunc reports whether a message from one instance to another is dropped.
type DropFunc func(from, to fleet.InstanceID) bool

// Stats counts the traffic of a node.
type Stats struct {
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
	// Refused counts datagrams that could not be authenticated or decoded,
	// Replayed those that were received before or are too old, and Failed those
	// that could not be sent.
	Refused, Replayed, Failed uint64
}

// Node runs the membership protocol for one instance. It is safe for concurrent
// use.
type Node struct {
	clock            fleet.Clock
	logger           *zap.Logger
	secret           []byte
	seeds            []string
	roster           *roster.Roster
	drop             DropFunc
	combineUsages    func([][]byte) []byte
	onHigherRevision func(fleet.Revision)
	onMemberChange   func(membership.Member)

	connection *net.UDPConn
	codec      *Codec
	done       chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup

	mu               sync.Mutex
	core             *gossip.Core
	reportedRevision fleet.Revision

	sentMessages, sentBytes         atomic.Uint64
	receivedMessages, receivedBytes atomic.Uint64
	refused, replayed, failed       atomic.Uint64
}

var _ membership.View = (*Node)(nil)

// Option changes a setting of a Node.
type Option func(*Node)

// WithClock sets the clock. The default is the system clock.
func WithClock(c fleet.Clock) Option { return func(n *Node) { n.clock = c } }

// WithLogger sets the logger. The default logs nothing.
func WithLogger(l *zap.Logger) Option {
	return func(n *Node) { n.logger = l.Named("membership") }
}

// WithSecret sets the secret that all instances share, of at least MinSecretBytes
// bytes.
func WithSecret(secret []byte) Option { return func(n *Node) { n.secret = secret } }

// WithSeeds sets the gossip addresses of the instances through which the node
// joins.
func WithSeeds(seeds ...string) Option { return func(n *Node) { n.seeds = seeds } }

// WithRoster sets the roster of the data centre. Announcements that it accepts
// are gossiped, and those of other instances are merged into it.
func WithRoster(r *roster.Roster) Option { return func(n *Node) { n.roster = r } }

// WithDropFunc sets a function that selects received messages to drop, for tests.
func WithDropFunc(c DropFunc) Option { return func(n *Node) { n.drop = c } }

// WithUsageCombiner sets the function that combines the account usages of the
// instances into the account usage of the data centre.
func WithUsageCombiner(f func([][]byte) []byte) Option { return func(n *Node) { n.combineUsages = f } }

// WithRevisionHook sets a function that is called with each new highest revision
// that is active on any known instance. It must not block.
func WithRevisionHook(f func(highest fleet.Revision)) Option {
	return func(n *Node) { n.onHigherRevision = f }
}

// WithMemberHook sets a function that is called with each changed member. It
// must not block.
func WithMemberHook(f func(membership.Member)) Option {
	return func(n *Node) { n.onMemberChange = f }
}

// New listens on self.Gossip and starts the node.
func New(self membership.Member, options ...Option) (*Node, error) {
	n := &Node{clock: systemclock.Clock{}, logger: zap.NewNop(), done: make(chan struct{})}
	for _, o := range options {
		o(n)
	}
	var err error
	if n.codec, err = NewCodec(n.secret, uint64(self.Incarnation)); err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(self.Gossip)
	if err != nil {
		return nil, errors.Wrapf(err, "gossip address %q", self.Gossip)
	}
	n.connection, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for gossip")
	}
	self.Gossip = n.connection.LocalAddr().String()
	n.core = gossip.New(self, n.seeds, gossip.WithUsageCombiner(n.combineUsages))
	if n.roster != nil {
		n.roster.OnAnnouncement(n.onAnnouncement)
	}
	n.start()
	return n, nil
}

func (n *Node) start() {
	n.goroutines.Go(func() {
		buffer := make([]byte, MaxPacketBytes+1)
		for {
			size, from, err := n.connection.ReadFromUDPAddrPort(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				n.logger.Warn("Receiving a gossip datagram failed.", zap.Error(err))
				continue
			}
			n.receive(buffer[:size], from)
		}
	})
	n.goroutines.Go(func() {
		var lastPoolCount, lastSweep time.Time
		for {
			now := n.clock.Now()
			n.runStep(func() gossip.Effects { return n.core.Tick(now) })
			n.tickRoster(now)
			lastPoolCount = n.runEvery(poolCountInterval, lastPoolCount, now, n.countPools)
			lastSweep = n.runEvery(sweepInterval, lastSweep, now, n.sweep)
			select {
			case <-n.done:
				return
			case <-n.clock.After(tickInterval):
			}
		}
	})
}

// runEvery calls f if at least period has passed since last, and returns the time
// of the last call.
func (n *Node) runEvery(period time.Duration, last, now time.Time, f func(time.Time)) time.Time {
	if now.Sub(last) < period {
		return last
	}
	f(now)
	return now
}

func (n *Node) tickRoster(now time.Time) {
	if n.roster != nil {
		n.roster.Tick(now)
	}
}

func (n *Node) countPools(now time.Time) {
	if n.roster == nil {
		return
	}
	counts := n.roster.Counts(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.SetPools(counts)
}

func (n *Node) sweep(now time.Time) {
	n.codec.Forget(gossip.DeadRetention, now)
	if n.roster != nil {
		n.roster.Sweep(now)
	}
}

func (n *Node) receive(packet []byte, from netip.AddrPort) {
	n.receivedMessages.Add(1)
	n.receivedBytes.Add(uint64(len(packet)))
	now := n.clock.Now()
	m, err := n.codec.Decode(packet, now)
	if err != nil {
		n.countRefusal(err, from)
		return
	}
	if n.drop != nil && n.drop(fleet.InstanceID(m.From), n.Self().ID) {
		return
	}
	address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	n.runStep(func() gossip.Effects { return n.core.Receive(m, address, now) })
}

func (n *Node) countRefusal(err error, from netip.AddrPort) {
	if errors.Is(err, errReplayed) {
		n.replayed.Add(1)
		return
	}
	n.refused.Add(1)
	n.logger.Debug("Gossip datagram rejected.", zap.Stringer("from", from), zap.Error(err))
}

// runStep runs one call of the core and applies its effects: it sends messages,
// updates the roster and calls the hooks.
func (n *Node) runStep(step func() gossip.Effects) {
	n.mu.Lock()
	e := step()
	highest := n.core.HighestRevision()
	higher := highest > n.reportedRevision
	n.reportedRevision = max(n.reportedRevision, highest)
	n.mu.Unlock()
	n.sendAll(e.Send)
	n.updateRoster(e)
	for _, m := range e.Members {
		n.logger.Debug("Member changed.", zap.String("member", string(m.ID)), zap.Stringer("status", m.Status),
			zap.Uint64("incarnation", uint64(m.Incarnation)), zap.Uint64("revision", uint64(m.Revision)))
		if n.onMemberChange != nil {
			n.onMemberChange(m)
		}
	}
	if higher && n.onHigherRevision != nil {
		n.onHigherRevision(highest)
	}
}

func (n *Node) updateRoster(e gossip.Effects) {
	if n.roster == nil {
		return
	}
	now := n.clock.Now()
	if e.Resumed {
		n.logger.Warn("Process was paused; gossip resumes.")
		n.roster.RecordResume(now)
	}
	if len(e.Announced) > 0 {
		n.mergeAnnounced(e.Announced, now)
	}
	if len(e.Renewed) > 0 {
		n.mergeRenewed(e.Renewed, now)
	}
}

func (n *Node) mergeAnnounced(announced []gossip.Upstream, now time.Time) {
	all := make([]roster.AgedAnnouncement, len(announced))
	for i, a := range announced {
		all[i] = roster.AgedAnnouncement{Announcement: a.Announcement, Age: a.Age}
	}
	if refused := n.roster.Merge(all, now); refused > 0 {
		n.logger.Warn("Roster rejected announcements from other instances.", zap.Int("refused", refused))
	}
}

func (n *Node) mergeRenewed(renewed []gossip.Renewal, now time.Time) {
	all := make([]roster.Renewal, len(renewed))
	for i, r := range renewed {
		all[i] = roster.Renewal(r)
	}
	n.roster.Renew(all, now)
}

func (n *Node) onAnnouncement(a upstream.Announcement, heartbeat, now time.Time) {
	n.runStep(func() gossip.Effects { return n.core.Announce(a, heartbeat, now) })
}

func (n *Node) sendAll(envelopes []gossip.Envelope) {
	for _, e := range envelopes {
		if err := n.send(e); err != nil {
			n.failed.Add(1)
			n.logger.Debug("Sending a gossip datagram failed.", zap.String("to", e.Address), zap.Error(err))
		}
	}
}

func (n *Node) send(e gossip.Envelope) error {
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return errors.Wrapf(err, "gossip address of instance %q", e.To)
	}
	packet, err := n.codec.Encode(e.Message)
	if err != nil {
		return err
	}
	if _, err := n.connection.WriteToUDPAddrPort(packet, address); err != nil {
		return errors.Wrap(err, "write datagram")
	}
	n.sentMessages.Add(1)
	n.sentBytes.Add(uint64(len(packet)))
	return nil
}

// Self returns this instance.
func (n *Node) Self() membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Self()
}

// Members returns the known members, this instance included, ordered by ID.
func (n *Node) Members() []membership.Member {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Members(now)
}

// DataCentres returns the known state of each data centre, ordered by ID.
func (n *Node) DataCentres() []gossip.DataCentre {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.DataCentres(now)
}

// HighestRevision returns the highest revision known to be active on any
// instance.
func (n *Node) HighestRevision() fleet.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.HighestRevision()
}

// SetRevision sets the active revision of this instance, which is gossiped.
func (n *Node) SetRevision(r fleet.Revision, since time.Time) {
	n.runStep(func() gossip.Effects { return n.core.SetRevision(r, since) })
}

// SetUsage sets the account usage of this instance, which is gossiped. It reports
// whether the usage was accepted, that is, has at most gossip.MaxUsageBytes bytes.
func (n *Node) SetUsage(data []byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.SetUsage(data)
}

// InstanceUsages returns the account usages of the instances of this data centre,
// by instance.
func (n *Node) InstanceUsages() map[fleet.InstanceID][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.InstanceUsages()
}

// DataCentreUsages returns the account usages of all data centres, by data centre.
func (n *Node) DataCentreUsages() map[fleet.DataCentreID][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.DataCentreUsages()
}

// Stats returns the counters of the traffic.
func (n *Node) Stats() Stats {
	return Stats{
		SentMessages: n.sentMessages.Load(), SentBytes: n.sentBytes.Load(),
		ReceivedMessages: n.receivedMessages.Load(), ReceivedBytes: n.receivedBytes.Load(),
		Refused: n.refused.Load(), Replayed: n.replayed.Load(), Failed: n.failed.Load(),
	}
}

// Leave announces to other instances that this instance leaves, and then closes
// the node. It announces leaveSends times, one tick apart, or fewer if ctx ends.
func (n *Node) Leave(ctx context.Context) error {
	for range leaveSends {
		now := n.clock.Now()
		n.runStep(func() gossip.Effects { return n.core.Leave(now) })
		select {
		case <-ctx.Done():
			return n.Close()
		case <-n.clock.After(tickInterval):
		}
	}
	return n.Close()
}

// Close stops the node without announcing it to other instances.
func (n *Node) Close() error {
	var err error
	n.closeOnce.Do(func() {
		close(n.done)
		err = n.connection.Close()
		n.goroutines.Wait()
	})
	return errors.Wrap(err, "close gossip")
}
