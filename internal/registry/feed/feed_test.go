package feed_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

// source is a Source that always has a confirmation and knows no controllers.
type source struct{ clock *fakeclock.Clock }

func (s source) Confirmation() feed.Confirmation { return feed.Confirmation{Start: s.clock.Now()} }
func (s source) Controllers() []feed.Controller  { return nil }

// fakeStream is the server side of the stream of one gateway.
type fakeStream struct {
	grpc.ServerStream
	ctx      context.Context
	requests chan *peerv1.FollowRequest
	updates  chan *peerv1.FeedUpdate
}

func (f *fakeStream) Context() context.Context { return f.ctx }

func (f *fakeStream) Recv() (*peerv1.FollowRequest, error) {
	select {
	case q := <-f.requests:
		return q, nil
	case <-f.ctx.Done():
		return nil, io.EOF
	}
}

func (f *fakeStream) Send(u *peerv1.FeedUpdate) error {
	select {
	case f.updates <- u:
		return nil
	case <-f.ctx.Done():
		return io.EOF
	}
}

// harness is the feed server of a controller with a fake clock.
type harness struct {
	clock   *fakeclock.Clock
	catalog *catalog.Catalog
	server  *feed.Server
}

func newHarness() *harness {
	c := fakeclock.New(fakeclock.Start)
	registryCatalog := catalog.New(c)
	return &harness{clock: c, catalog: registryCatalog, server: feed.NewServer(c, registryCatalog, store.New(), source{c}, zap.NewNop())}
}

func (r *harness) follow(t *testing.T, instance string) *fakeStream {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fakeStream{ctx: ctx, requests: make(chan *peerv1.FollowRequest, 10), updates: make(chan *peerv1.FeedUpdate)}
	f.requests <- &peerv1.FollowRequest{Instance: instance, Stamp: 1}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.server.Follow(f) // ends with the test
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// next returns the next update. It advances the clock until one is sent.
func (r *harness) next(f *fakeStream) *peerv1.FeedUpdate {
	for {
		select {
		case u := <-f.updates:
			return u
		case <-time.After(time.Millisecond):
			r.clock.Advance(5 * time.Millisecond)
		}
	}
}

func decodeSums(t *testing.T, u *peerv1.FeedUpdate) *peerv1.Sums {
	var s peerv1.Sums
	is.New(t).NoErr(proto.Unmarshal(u.GetSums(), &s))
	return &s
}

func (r *harness) put(id string, sequence uint64) {
	r.catalog.Put(registry.Entry{
		ID: fleet.UpstreamID(id), Incarnation: 1, Sequence: sequence, Address: id, State: registry.Ready, LastHeartbeat: r.clock.Now(),
	}, true)
}

// Guards against sending the sums of all engines in each message. A burst of heartbeats
// triggers many messages per second to all followers, and so does a gateway that waits
// for its first confirmation.
func TestSumsSentOncePerInterval(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	f := r.follow(t, "g1")
	is.Equal(decodeSums(t, r.next(f)).GetGateways(), uint32(1))
	start, withoutSums := r.clock.Now(), 0
	for i := uint64(1); ; i++ {
		r.put("e"+string(rune('a'+i%20)), i)
		u := r.next(f)
		if len(u.GetSums()) > 0 {
			break
		}
		withoutSums++
	}
	is.True(r.clock.Now().Sub(start) >= feed.Interval)
	is.True(withoutSums > 1)
}

// Guards against losing the report of a gateway when it sends a request that carries
// only a clock reading.
func TestBareRequestKeepsUsage(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	f := r.follow(t, "g1")
	r.next(f)
	f.requests <- &peerv1.FollowRequest{Stamp: 2, Uses: []*peerv1.UpstreamUse{{Id: "e1", Active: 3}}}
	f.requests <- &peerv1.FollowRequest{Stamp: 3, Bare: true}
	for {
		if us := decodeSums(t, r.next(f)).GetUses(); len(us) > 0 {
			is.Equal(us[0].GetActive(), uint32(3))
			break
		}
	}
	start := r.clock.Now()
	for r.clock.Now().Sub(start) < 4*feed.Interval {
		if u := r.next(f); len(u.GetSums()) > 0 {
			is.Equal(decodeSums(t, u).GetUses()[0].GetActive(), uint32(3))
		}
	}
}

// Guards against sums without the sizes that gateways report, and against sums in which a
// gateway that reports none counts as nothing.
func TestSumsHoldSizes(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	f, other := r.follow(t, "g1"), r.follow(t, "g2")
	r.next(f)
	r.next(other)
	f.requests <- &peerv1.FollowRequest{Stamp: 2, Uses: []*peerv1.UpstreamUse{{Id: "e1", Active: 3, Size: 129}}}
	other.requests <- &peerv1.FollowRequest{Stamp: 2, Uses: []*peerv1.UpstreamUse{{Id: "e1", Active: 2}}}
	for start := r.clock.Now(); ; {
		is.True(r.clock.Now().Sub(start) < 8*feed.Interval) // the sums never hold both reports
		u := r.next(f)
		if len(u.GetSums()) == 0 {
			continue
		}
		if us := decodeSums(t, u).GetUses(); len(us) > 0 && us[0].GetActive() == 5 {
			is.Equal(us[0].GetSize(), uint32(329))
			return
		}
	}
}

// Guards against a follower that applies the renewal of other content to an entry. It
// would keep the outdated content permanently.
func TestRenewalOfOtherContent(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	e := registry.Entry{ID: "e1", Incarnation: 1, Sequence: 1, Address: "a", State: registry.Ready, LastHeartbeat: r.clock.Now()}
	r.catalog.Put(e, false)
	s := registry.Renewal{ID: "e1", Incarnation: 1, Sequence: 2, Digest: e.Digest(), LastHeartbeat: r.clock.Now()}
	u := feed.Update{Renewals: []registry.Renewal{s}}
	is.NoErr(u.Renew(r.catalog))
	u.Renewals[0].Sequence, u.Renewals[0].Digest = 3, e.Digest()+1
	is.True(u.Renew(r.catalog) != nil)
	kept, _ := r.catalog.Get("e1")
	is.Equal(kept.Sequence, uint64(2))
}

// Guards against sending unchanged entries in full in each message, and against renewals
// of entries that a follower never received.
func TestRenewalsFollowEntries(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	r.put("e1", 1)
	f := r.follow(t, "g1")
	is.Equal(len(r.next(f).GetEntries()), 1)
	r.put("e1", 2)
	u := r.next(f)
	is.Equal(len(u.GetEntries()), 0)
	is.Equal(u.GetSigns()[0].GetSequence(), uint64(2))
	late := r.follow(t, "g2")
	u = r.next(late)
	is.Equal(len(u.GetEntries()), 1)
	is.Equal(len(u.GetSigns()), 0)
}

// Guards against gateways that do not learn which prompts crash engines at other
// gateways, before or after they connect, and against records that are sent again and
// again.
func TestPromptRecordsReachAllGateways(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	f, other := r.follow(t, "g1"), r.follow(t, "g2")
	r.next(f)
	r.next(other)
	f.requests <- &peerv1.FollowRequest{Stamp: 2, Bare: true, Prompts: []*peerv1.PromptRecord{
		{Pool: "p", Part: "bad", Depth: 1, Crashes: []*peerv1.EngineCrash{{Engine: 7, AgeMs: 1000}}},
	}}
	start := r.clock.Now()
	var u *peerv1.FeedUpdate
	for len(u.GetPrompts()) == 0 {
		u = r.next(other)
	}
	is.True(r.clock.Now().Sub(start) <= feed.Interval)
	is.Equal(u.GetPrompts()[0].GetPart(), "bad")
	is.Equal(u.GetPrompts()[0].GetCrashes()[0].GetEngine(), uint32(7))
	is.True(u.GetPrompts()[0].GetCrashes()[0].GetAgeMs() >= 1000)
	is.True(u.GetPrompts()[0].ProgressAgeMs == nil)
	late := r.follow(t, "g3")
	is.Equal(len(r.next(late).GetPrompts()), 1)
	is.Equal(len(r.next(late).GetPrompts()), 0)
	is.Equal(len(r.next(other).GetPrompts()), 0)
}

// Guards against the counts of offered streams that do not reach the other gateways, and
// against sums of unknown age for a gateway that was paused.
func TestDemandsReachAllGateways(t *testing.T) {
	is := is.New(t)
	r := newHarness()
	f, other := r.follow(t, "g1"), r.follow(t, "g2")
	r.next(f)
	is.Equal(r.next(other).GetReceivedStamp(), uint64(1))
	f.requests <- &peerv1.FollowRequest{Stamp: 7, Demands: []*peerv1.PoolDemand{
		{Pool: "p", Finished: 3, Levels: []*peerv1.LevelDemand{{Account: "acme", Level: 2, Offered: 9, Admitted: 4}}},
	}}
	var demands []*peerv1.PoolDemand
	for len(demands) == 0 {
		demands = decodeSums(t, r.next(other)).GetDemands()
	}
	is.Equal(len(demands), 1)
	is.Equal(demands[0].GetPool(), "p")
	is.Equal(demands[0].GetFinished(), uint32(3))
	is.Equal(len(demands[0].GetLevels()), 1)
	l := demands[0].GetLevels()[0]
	is.Equal(l.GetAccount(), "acme")
	is.Equal([]uint32{l.GetLevel(), l.GetOffered(), l.GetAdmitted()}, []uint32{2, 9, 4})
	is.Equal(r.next(f).GetReceivedStamp(), uint64(7))
}

// Guards against reports and sums of offered streams that burden the links of gateways. A
// gateway with 3 requests per second reports at most a few pairs, the sums of 24 accounts
// at 3 levels have 72, and no message has more than quota.MaxPairs.
func TestDemandsAreSmall(t *testing.T) {
	for _, c := range []struct{ pairs, limit int }{{3, 100}, {72, 2 << 10}, {quota.MaxPairs, 16 << 10}} {
		d := &peerv1.PoolDemand{Pool: "service-1234", Finished: 300}
		for i := range c.pairs {
			d.Levels = append(d.Levels, &peerv1.LevelDemand{
				Account: fmt.Sprintf("account-%05d", i), Level: uint32(i % 3), Offered: 300, Admitted: 200,
			})
		}
		n := proto.Size(&peerv1.Sums{Demands: []*peerv1.PoolDemand{d}})
		t.Logf("%d pairs have %d bytes", c.pairs, n)
		is.New(t).True(n <= c.limit)
	}
}
