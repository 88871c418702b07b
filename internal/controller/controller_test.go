package controller_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bilberryrock/bilberryrock/internal/controller"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
)

// patience is how long a command of a script waits for its result.
const patience = 30 * time.Second

// TestScripts runs the scripts in testdata. The head of each file states which failure it
// guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		g := newGroup(t, 3)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return g.run(t, d) })
	})
}

// group is a group of controllers in this process.
type group struct {
	folder    string
	seeds     []string
	members   []*controller.Controller // nil while stopped
	wasFormed bool
}

func newGroup(t *testing.T, n int) *group {
	g := &group{folder: t.TempDir(), members: make([]*controller.Controller, n)}
	for i := range n {
		// Controllers are told apart by their hosts.
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		g.seeds = append(g.seeds, l.Addr().String())
	}
	t.Cleanup(g.stopAll)
	return g
}

func (g *group) run(t *testing.T, d *datadriven.TestData) string {
	at := 0
	d.MaybeScanArgs(t, "at", &at)
	switch d.Cmd {
	case "startAll":
		for i := range g.members {
			g.start(t, i)
		}
		g.wasFormed = true
	case "stopAll":
		g.stopAll()
	case "start":
		g.start(t, at-1)
	case "loseFolder":
		if err := os.RemoveAll(g.dataFolder(at - 1)); err != nil {
			t.Fatal(err)
		}
	case "heartbeat":
		c, e := g.members[at-1], parseEntry(t, d)
		return g.retry(func(ctx context.Context) error { return c.Heartbeat(ctx, e) })
	case "leave":
		c, e := g.members[at-1], parseEntry(t, d)
		return g.retry(func(ctx context.Context) error { return c.Leave(ctx, e.ID, e.Incarnation) })
	case "leaveOnce":
		e := parseEntry(t, d)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return outcome(g.members[at-1].Leave(ctx, e.ID, e.Incarnation))
	case "follow":
		return follow(t, g.seeds[at-1], parseEntry(t, d).ID, d.HasArg("asController"))
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return ""
}

func parseEntry(t *testing.T, d *datadriven.TestData) registry.Entry {
	var id, state string
	var incarnation, sequence int
	d.ScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "born", &incarnation)
	d.MaybeScanArgs(t, "sequence", &sequence)
	e := registry.Entry{
		ID: fleet.UpstreamID(id), Incarnation: fleet.Incarnation(incarnation), Sequence: uint64(sequence),
		Pool: "scribe", Address: id + ":9000", DataCentre: "dc1", Slots: 1, State: registry.Ready,
	}
	if d.HasArg("state") {
		d.ScanArgs(t, "state", &state)
		s, err := fleet.ParseEnum[registry.State](state, int(registry.Gone)+1)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		e.State = s
	}
	return e
}

func (g *group) dataFolder(i int) string { return filepath.Join(g.folder, fmt.Sprint(i+1)) }

func (g *group) start(t *testing.T, i int) {
	t.Helper()
	c, err := controller.New(controller.Settings{
		Instance: controller.InstanceAt(g.seeds[i]), DataCentre: "dc1", Address: g.seeds[i], Folder: g.dataFolder(i),
		Bootstrap: !g.wasFormed, Seeds: g.seeds, HeartbeatTimeout: time.Minute,
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
	}, decoder{}, commander{}, systemclock.NewBootClock(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	g.members[i] = c
}

func (g *group) stopAll() {
	var stops sync.WaitGroup
	for i, c := range g.members {
		if c != nil {
			stops.Go(func() { _ = c.Stop(context.Background()) })
			g.members[i] = nil
		}
	}
	stops.Wait()
}

// retry calls f until it succeeds.
func (g *group) retry(f func(context.Context) error) string {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil || ctx.Err() != nil {
			return outcome(err)
		}
	}
}

func outcome(err error) string {
	if err != nil {
		return "refused\n"
	}
	return "acknowledged\n"
}

// follow returns the state in which a controller tells a new follower of an upstream. Gateways
// are told of all upstreams, and controllers of those that it received itself.
func follow(t *testing.T, address string, id fleet.UpstreamID, asController bool) string {
	r := &receiver{from: address, id: id, found: make(chan registry.Entry, 1)}
	options := []feed.ClientOption{feed.WithDialOptions(grpc.WithTransportCredentials(insecure.NewCredentials()))}
	if asController {
		options = append(options, feed.WithOnlyController(address))
	} else {
		options = append(options, feed.WithSeeds(address))
	}
	c := feed.NewClient("follower", systemclock.Clock{}, r, zap.NewNop(), options...)
	defer c.Stop()
	select {
	case e := <-r.found:
		return fmt.Sprintf("%s born %d %s\n", e.ID, e.Incarnation, e.State)
	case <-time.After(patience):
		t.Errorf("controller %s does not know upstream %s", address, id)
		return "unknown\n"
	}
}

// receiver waits for the entry of one upstream from one controller.
type receiver struct {
	from  string
	id    fleet.UpstreamID
	found chan registry.Entry
}

func (r *receiver) ClockReading() time.Duration { return 1 }
func (r *receiver) Report() usage.Report        { return usage.Report{} }
func (r *receiver) Version() release.Version    { return 0 }

func (r *receiver) Receive(u feed.Update) error {
	if u.From != r.from {
		return nil
	}
	for _, e := range u.Entries {
		if e.ID == r.id {
			select {
			case r.found <- e:
			default:
			}
		}
	}
	return nil
}

type decoder struct{}

func (decoder) Decode([]byte) (*release.Release, error)           { return &release.Release{Version: 1}, nil }
func (decoder) DecodeSubmission([]byte) (*release.Release, error) { return decoder{}.Decode(nil) }

type commander struct{ placement.Commander }
