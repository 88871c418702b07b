package courier_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/courier"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/inflight"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/planner"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/speeds"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

// httpFleet is a fleet of simulated engines that are served over HTTP on loopback. It
// implements upstream.Roster.
type httpFleet struct {
	standins map[fleet.UpstreamID]*standin.Standin
	servers  map[fleet.UpstreamID]*httptest.Server
	record   *standin.Recorder
	counts   inflight.Counts
}

func startHTTPFleet(record *standin.Recorder, ranges []upstream.LayerRange, perRange int, base standin.Config) *httpFleet {
	f := &httpFleet{
		standins: make(map[fleet.UpstreamID]*standin.Standin),
		servers:  make(map[fleet.UpstreamID]*httptest.Server), record: record,
	}
	for i, layers := range ranges {
		for n := range perRange {
			id := fleet.UpstreamID(fmt.Sprintf("%c%d", 'a'+i, n))
			server := httptest.NewUnstartedServer(nil)
			config := base
			config.Announcement = upstream.Announcement{
				ID: id, Kind: upstream.Engine, Model: "ledger", Version: "1", Slots: base.Announcement.Slots,
				Layers: layers, Address: server.Listener.Addr().String(),
			}
			config.TotalLayers, config.Recorder = ranges[len(ranges)-1].To, record
			s := standin.New(config)
			server.Config.Handler = s
			server.Start()
			f.standins[id], f.servers[id] = s, server
		}
	}
	return f
}

func (f *httpFleet) close() {
	for id, s := range f.standins {
		s.Close()
		f.servers[id].Close()
	}
}

func (f *httpFleet) Usable(fleet.PoolID, time.Time) []upstream.Upstream {
	var list []upstream.Upstream
	for id := range f.standins {
		if u, _ := f.Get(id); u.State == upstream.Serving {
			list = append(list, u)
		}
	}
	return list
}

func (f *httpFleet) Get(id fleet.UpstreamID) (upstream.Upstream, bool) {
	s, ok := f.standins[id]
	if !ok {
		return upstream.Upstream{}, false
	}
	return upstream.Upstream{Announcement: s.Describe()}, true
}

func (f *httpFleet) newExecutor(dialer upstream.Dialer, layers fleet.Layer) *courier.Executor {
	learned := speeds.New(pipeline.Speed{FixedTime: time.Millisecond, LayerTime: time.Millisecond, PositionTime: time.Microsecond})
	models := func(fleet.ModelID) (document.Model, bool) {
		return document.Model{ID: "ledger", Version: "1", Layers: layers}, true
	}
	p := planner.New(f, models, learned, systemclock.Clock{}, planner.WithCounts(&f.counts), planner.WithRefreshInterval(0))
	return courier.New(p, dialer, courier.WithSpeeds(learned), courier.WithObserver(learned),
		courier.WithRoster(f), courier.WithSequenceCounter(&f.counts), courier.WithTimeouts(3*time.Second, time.Minute))
}

// activeEngine returns an engine that serves the request and whose ID has a prefix.
func (f *httpFleet) activeEngine(t *testing.T, prefix string) fleet.UpstreamID {
	for id := range f.standins {
		if strings.HasPrefix(string(id), prefix) && f.counts.Counter(id).Load() > 0 {
			return id
		}
	}
	t.Fatalf("no engine %s serves the request", prefix)
	return ""
}

// TestFaultsOverHTTP guards against a layer that is skipped, repeated or run out of
// order, and against missing or repeated text. It covers the whole path from the
// Executor to the engines, while these drop responses, return stale ones, freeze,
// crash and leave.
func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	var record bytes.Buffer
	f := startHTTPFleet(standin.NewRecorder(&record), []upstream.LayerRange{{From: 0, To: 3}, {From: 3, To: 4}, {From: 4, To: 8}}, 3, standin.Config{})
	dialer := engine.NewDialer()
	c := f.newExecutor(dialer, 8)
	prompt := []uint64{5, 7, 11}
	want, wantReason := standin.Generate("ledger", "1", "", 8, prompt, 60)
	for wantReason != pipeline.FinishLength {
		prompt[0]++ // a text that ends early would see few of the faults
		want, wantReason = standin.Generate("ledger", "1", "", 8, prompt, 60)
	}
	var frozen fleet.UpstreamID
	var text strings.Builder
	g := pipeline.GenerationRequest{RequestID: "r1", Model: "ledger", Prompt: prompt, MaxTokens: 60}
	reason, err := c.Run(context.Background(), g, func(p pipeline.Token) error {
		text.WriteString(p.Text)
		switch p.Index {
		case 3:
			for _, s := range f.standins {
				s.SetFaults(standin.Faults{DropResponses: 1})
			}
		case 8:
			for _, s := range f.standins {
				s.SetFaults(standin.Faults{StaleResponses: 1})
			}
		case 12:
			frozen = f.activeEngine(t, "b")
			f.standins[frozen].SetFaults(standin.Faults{Frozen: true})
		case 18:
			f.servers[f.activeEngine(t, "a")].CloseClientConnections()
			f.servers[f.activeEngine(t, "a")].Close()
		case 25:
			f.standins[f.activeEngine(t, "c")].Leave()
		case 30:
			f.standins[frozen].SetFaults(standin.Faults{})
		}
		return nil
	})
	is.NoErr(err)
	c.Close()
	f.close() // an engine that was frozen runs its received steps before it closes
	dialer.Close()
	is.Equal(text.String(), want)
	is.Equal(reason, wantReason)
	runs, err := standin.ReadRuns(&record)
	is.NoErr(err)
	is.NoErr(standin.CheckSteps(runs))
	epoch := fleet.Epoch(0)
	for _, r := range runs {
		epoch = max(epoch, r.Epoch)
	}
	is.True(epoch >= 3) // the frozen and the crashed engine were replaced
}

// BenchmarkStreams measures the throughput of 64 concurrent requests over four
// engines on loopback, each with a batch limit of 64 and 2 ms per batch.
func BenchmarkStreams(b *testing.B) {
	const streams = 64
	ranges := []upstream.LayerRange{{From: 0, To: 2}, {From: 2, To: 4}, {From: 4, To: 6}, {From: 6, To: 8}}
	for _, name := range []string{"courier", "direct"} {
		b.Run(name, func(b *testing.B) {
			f := startHTTPFleet(nil, ranges, 1, standin.Config{StepTime: 2 * time.Millisecond, Announcement: upstream.Announcement{Slots: streams}})
			defer f.close()
			dialer := engine.NewDialer()
			defer dialer.Close()
			c := f.newExecutor(dialer, 8)
			defer c.Close()
			var tokens atomic.Int64
			var streaming sync.WaitGroup
			for range streams {
				streaming.Go(func() {
					for tokens.Load() < int64(b.N) {
						if name == "direct" {
							f.runDirect(b, dialer, ranges, &tokens)
							continue
						}
						g := pipeline.GenerationRequest{RequestID: fleet.NewRequestID(), Model: "ledger", Prompt: []uint64{rand.Uint64()}, MaxTokens: 50}
						_, err := c.Run(context.Background(), g, func(pipeline.Token) error {
							tokens.Add(1)
							return nil
						})
						if err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			streaming.Wait()
			b.ReportMetric(float64(tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// runDirect runs 50 tokens of one request by calling the engine clients directly.
func (f *httpFleet) runDirect(b *testing.B, dialer *engine.Dialer, ranges []upstream.LayerRange, tokens *atomic.Int64) {
	request := fleet.NewRequestID()
	input := []uint64{rand.Uint64()}
	for n := range 50 {
		for i, layers := range ranges {
			u, _ := f.Get(fleet.UpstreamID(fmt.Sprintf("%c0", 'a'+i)))
			s := upstream.Step{Request: request, Epoch: 1, Position: fleet.Position(n), Model: "ledger", Version: "1", Layers: layers, Input: input}
			result, err := dialer.Engine(u).Step(context.Background(), s)
			if err != nil {
				b.Error(err)
				return
			}
			input = result.Output
		}
		tokens.Add(1)
	}
	for i := range ranges {
		u, _ := f.Get(fleet.UpstreamID(fmt.Sprintf("%c0", 'a'+i)))
		_ = dialer.Engine(u).Cancel(context.Background(), request)
	}
}

// BenchmarkToken measures one token over four engines on loopback: through the
// Executor, and by direct calls of the engine clients in the same order.
func BenchmarkToken(b *testing.B) {
	ranges := []upstream.LayerRange{{From: 0, To: 2}, {From: 2, To: 4}, {From: 4, To: 6}, {From: 6, To: 8}}
	b.Run("courier", func(b *testing.B) {
		f := startHTTPFleet(nil, ranges, 1, standin.Config{})
		defer f.close()
		dialer := engine.NewDialer()
		defer dialer.Close()
		c := f.newExecutor(dialer, 8)
		defer c.Close()
		b.ReportAllocs()
		// The model ends some texts early. Then another request follows.
		for done := 0; done < b.N; {
			g := pipeline.GenerationRequest{RequestID: fleet.NewRequestID(), Model: "ledger", Prompt: []uint64{uint64(done)}, MaxTokens: b.N - done}
			_, err := c.Run(context.Background(), g, func(pipeline.Token) error {
				done++
				return nil
			})
			if err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("direct", func(b *testing.B) {
		f := startHTTPFleet(nil, ranges, 1, standin.Config{})
		defer f.close()
		dialer := engine.NewDialer()
		defer dialer.Close()
		clients := make([]upstream.EngineClient, len(ranges))
		for i := range ranges {
			u, _ := f.Get(fleet.UpstreamID(fmt.Sprintf("%c0", 'a'+i)))
			clients[i] = dialer.Engine(u)
		}
		b.ReportAllocs()
		for n := range b.N {
			input := []uint64{1}
			for i, layers := range ranges {
				s := upstream.Step{Request: "r", Epoch: 1, Position: fleet.Position(n), Model: "ledger", Version: "1", Layers: layers, Input: input}
				result, err := clients[i].Step(context.Background(), s)
				if err != nil {
					b.Fatal(err)
				}
				input = result.Output
			}
		}
	})
}
