package packet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/membership/packet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

var secret = []byte("a secret of the fleet")

// TestCodec guards against accepting forged, modified or replayed datagrams, and
// against sending oversized ones.
func TestCodec(t *testing.T) {
	is := is.New(t)
	now := fakeclock.Start
	sender, err := packet.NewCodec(secret, 7)
	is.NoErr(err)
	receiver, err := packet.NewCodec(secret, 1)
	is.NoErr(err)
	var sent [][]byte
	for range 70 {
		data, err := sender.Encode(&gossipv1.Message{From: "a", Kind: gossipv1.Kind_KIND_PING})
		is.NoErr(err)
		sent = append(sent, data)
	}
	accepts := func(data []byte) bool {
		_, err := receiver.Decode(data, now)
		return err == nil
	}
	is.True(accepts(sent[1]))
	is.True(accepts(sent[0]))   // out of order
	is.True(!accepts(sent[0]))  // replayed
	is.True(!accepts(sent[1]))  // replayed
	is.True(accepts(sent[69]))  // gap in the counters
	is.True(!accepts(sent[1]))  // replayed, beyond the window
	is.True(!accepts(sent[2]))  // too old
	is.True(accepts(sent[60]))  // out of order, within the window
	is.True(!accepts(sent[60])) // replayed
	sent[68][len(sent[68])-1] ^= 1
	is.True(!accepts(sent[68])) // modified

	forger, err := packet.NewCodec([]byte("another secret, guessed"), 9)
	is.NoErr(err)
	data, err := forger.Encode(&gossipv1.Message{From: "a"})
	is.NoErr(err)
	is.True(!accepts(data)) // forged

	restarted, err := packet.NewCodec(secret, 8)
	is.NoErr(err)
	data, err = restarted.Encode(&gossipv1.Message{From: "a"})
	is.NoErr(err)
	is.True(accepts(data))
	is.True(!accepts(sent[65])) // from the previous process

	_, err = sender.Encode(&gossipv1.Message{Reports: make([]byte, packet.MaxPacketBytes)})
	is.True(err != nil)
	_, err = packet.NewCodec([]byte("short"), 1)
	is.True(err != nil)
}

type testFleet struct {
	t       *testing.T
	clock   *fakeclock.Clock
	nodes   []*packet.Node
	rosters []*roster.Roster
}

// waitUntil advances the clock until the condition holds. The wall-clock limit
// only ends a test that would never succeed.
func (f *testFleet) waitUntil(condition string, holds func() bool) {
	f.t.Helper()
	for start := time.Now(); !holds(); {
		if time.Since(start) > time.Minute {
			f.t.Fatalf("condition not reached within 1 min: %s", condition)
		}
		f.clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

func (f *testFleet) start(i int, options ...packet.Option) {
	is := is.New(f.t)
	r, err := roster.New(roster.WithDataCentre("dc1"))
	is.NoErr(err)
	self := membership.Member{
		ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: fleet.Incarnation(f.clock.Now().UnixMilli()),
		DataCentre: "dc1", Gossip: "127.0.0.1:0", Peers: "127.0.0.1:1",
	}
	options = append(options, packet.WithSecret(secret), packet.WithClock(f.clock), packet.WithRoster(r))
	if i > 0 {
		options = append(options, packet.WithSeeds(f.nodes[0].Self().Gossip))
	}
	n, err := packet.New(self, options...)
	is.NoErr(err)
	f.nodes = append(f.nodes, n)
	f.rosters = append(f.rosters, r)
}

func (f *testFleet) hasStatus(i int, id fleet.InstanceID, s membership.Status) bool {
	for _, m := range f.nodes[i].Members() {
		if m.ID == id {
			return m.Status == s
		}
	}
	return false
}

// TestNode guards against nodes that, over real sockets, don't join, don't
// exchange upstream heartbeats, don't spread a revision or don't leave, and
// against goroutines that outlive a node.
func TestNode(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	f := &testFleet{t: t, clock: fakeclock.New(fakeclock.Start)}
	highest := make(chan fleet.Revision, 100)
	f.start(0, packet.WithRevisionHook(func(r fleet.Revision) { highest <- r }))
	f.start(1)
	f.start(2)
	f.waitUntil("join", func() bool {
		return f.hasStatus(0, "i1", membership.Alive) && f.hasStatus(1, "i2", membership.Alive) && f.hasStatus(2, "i1", membership.Alive)
	})

	a := upstream.Announcement{ID: "u", Incarnation: 1, Address: "127.0.0.1:9", DataCentre: "dc1", Pool: "p", Slots: 1}
	f.waitUntil("upstream heartbeat", func() bool {
		a.Sequence++
		is.NoErr(f.rosters[2].Announce(a, f.clock.Now()))
		return len(f.rosters[0].Usable("p", f.clock.Now())) == 1
	})
	a.State = upstream.Leaving
	is.NoErr(f.rosters[1].Announce(a, f.clock.Now()))
	f.waitUntil("leaving", func() bool {
		u, _ := f.rosters[0].Get("u")
		return u.State == upstream.Leaving
	})

	f.nodes[2].SetRevision(5, f.clock.Now())
	f.waitUntil("revision", func() bool { return f.nodes[0].HighestRevision() == 5 })
	is.Equal(<-highest, fleet.Revision(5))

	// Leave waits on the fake clock, which nothing advances; a cancelled context
	// keeps it from waiting.
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(f.nodes[2].Leave(canceled))
	f.waitUntil("leave", func() bool { return f.hasStatus(0, "i2", membership.Left) && f.hasStatus(1, "i2", membership.Left) })
	is.True(f.nodes[0].Stats().SentBytes > 0)
	is.NoErr(f.nodes[0].Close())
	is.NoErr(f.nodes[1].Close())
}

// TestPartition guards against an instance that is cut off from the others but
// not declared dead, and against instances that don't rejoin when the partition
// ends.
func TestPartition(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	f := &testFleet{t: t, clock: fakeclock.New(fakeclock.Start)}
	partitioned := make(chan bool, 1)
	partitioned <- false
	drop := packet.WithDropFunc(func(from, to fleet.InstanceID) bool {
		c := <-partitioned
		partitioned <- c
		return c && (from == "i1" || to == "i1")
	})
	for i := range 3 {
		f.start(i, drop)
	}
	connected := func() bool { return f.hasStatus(0, "i1", membership.Alive) && f.hasStatus(1, "i2", membership.Alive) }
	f.waitUntil("join", connected)
	<-partitioned
	partitioned <- true
	f.waitUntil("dead", func() bool { return f.hasStatus(0, "i1", membership.Dead) && f.hasStatus(1, "i2", membership.Dead) })
	<-partitioned
	partitioned <- false
	f.waitUntil("heal", connected)
	for _, n := range f.nodes {
		is.NoErr(n.Close())
	}
}
