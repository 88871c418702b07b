package desk

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/order/ledger"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSchedules guards against a second execution of a key on several instances,
// against "not run" errors for orders that ran, against replays that differ, and
// against claims that stay open although nothing was sent. Orders run on three
// instances with random faults of the ledger and the upstream.
func TestSchedules(t *testing.T) {
	for seed := range int64(150) {
		runSchedule(t, seed)
	}
}

func runSchedule(t *testing.T, seed int64) {
	random := rand.New(rand.NewSource(seed))
	clock := &stepClock{}
	f := &faultyProposer{random: random, machine: ledger.New()}
	s := &faultyService{random: random, runs: make(map[string]int), lostResponses: make(map[string]int)}
	var executors []*Executor
	for i := range 3 {
		id := fleet.InstanceID(fmt.Sprint("i", i))
		client := ledger.NewClient(f, instantClock{clock}, id, ledger.WithMaxProposals(3))
		executors = append(executors, New(client, clock, id, zap.NewNop()))
	}
	responses := make(map[string]string)
	for range 60 {
		name := fmt.Sprint(random.Intn(10))
		body := name + []string{"x", "x", "x", "y"}[random.Intn(4)]
		response, err := executors[random.Intn(3)].Run(context.Background(), orderOf(name, body, s))
		clock.quiesce(executors)
		total := s.runs[name+"x"] + s.runs[name+"y"]
		if total > 1 {
			t.Fatalf("seed %d: key %s ran %d times", seed, name, total)
		}
		kind := refusal.KindOf(err)
		if err != nil && kind.Response().NotRun && (s.runs[body] > 0 || total > 0 && kind != refusal.KeyReused) {
			t.Fatalf("seed %d: key %s ran, but the error says that it did not: %v", seed, name, err)
		}
		if err == nil {
			if first, ok := responses[body]; ok && first != string(response.Body) {
				t.Fatalf("seed %d: key %s has responses %q and %q", seed, name, first, response.Body)
			}
			responses[body] = string(response.Body)
		}
		if random.Intn(2) == 0 && clock.step() {
			clock.quiesce(executors)
		}
	}
	f.mu.Lock()
	f.noFaults = true
	f.applyDelayed(1)
	f.mu.Unlock()
	for clock.step() {
		clock.quiesce(executors)
	}
	checkClaims(t, seed, f, s)
}

// checkClaims checks that every open claim belongs to a key with a lost response.
func checkClaims(t *testing.T, seed int64, f *faultyProposer, s *faultyService) {
	client := ledger.NewClient(f, &stepClock{}, "check")
	open, err := client.OpenClaims(context.Background(), "a", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range open {
		if s.lostResponses[o.Key.Name+"x"]+s.lostResponses[o.Key.Name+"y"] == 0 {
			t.Fatalf("seed %d: key %s is claimed although nothing was sent", seed, o.Key.Name)
		}
	}
}

func orderOf(name, body string, s upstream.ServiceClient) Order {
	return Order{
		Key:  order.Key{Account: "a", Name: name},
		Call: upstream.Call{Method: "POST", Path: "/reprints", Body: []byte(body)},
		Pick: func(context.Context) (upstream.ServiceClient, error) { return s, nil },
	}
}

// scriptedFake is an order.Ledger and an upstream with scripted results. It logs
// the calls that it receives.
type scriptedFake struct {
	claimResult, callResult, updateResult string
	clock                                 *stepClock
	calls                                 []string
}

func (s *scriptedFake) Claim(_ context.Context, c order.Claim) (order.Record, error) {
	s.calls = append(s.calls, "claim")
	old := order.Claim{Key: c.Key, Attempt: "other", At: c.At.Add(-2 * time.Minute)}
	recent := order.Claim{Key: c.Key, Attempt: "other", At: c.At}
	records := map[string]order.Record{
		"held":       {State: order.Claimed, Claim: c, HeldByCaller: true},
		"slow":       {State: order.Claimed, Claim: c, HeldByCaller: true},
		"recent":     {State: order.Claimed, Claim: recent},
		"old":        {State: order.Claimed, Claim: old},
		"done":       {State: order.Done, Claim: old, Response: &upstream.Response{Status: 201}},
		"noResponse": {State: order.Done, Claim: old},
		"reused":     {State: order.Done, Claim: old, DigestMismatch: true},
		"released":   {State: order.Free},
	}
	if s.claimResult == "slow" {
		s.clock.offset += MaxSendAge + time.Second
	}
	if r, ok := records[s.claimResult]; ok {
		return r, nil
	}
	return order.Record{}, s.scriptedError(s.claimResult)
}

func (s *scriptedFake) scriptedError(code string) error {
	for _, k := range refusal.Kinds() {
		if k.Response().Code == code {
			return refusal.New(k, "scripted")
		}
	}
	return nil
}

func (s *scriptedFake) Finish(context.Context, order.Key, order.AttemptID, upstream.Response) error {
	return s.update("finish")
}

func (s *scriptedFake) Release(context.Context, order.Key, order.AttemptID) error {
	return s.update("release")
}

func (s *scriptedFake) update(name string) error {
	s.calls = append(s.calls, name)
	err := s.scriptedError(s.updateResult)
	s.updateResult = ""
	return err
}

func (s *scriptedFake) Call(context.Context, upstream.Call) (upstream.Response, error) {
	s.calls = append(s.calls, "send")
	var status int
	if _, err := fmt.Sscan(s.callResult, &status); err == nil {
		return upstream.Response{Status: status}, nil
	}
	return upstream.Response{}, s.scriptedError(s.callResult)
}

// TestKinds guards against wrong error kinds, calls without a claim, releases of
// claims although something was sent, and picked upstreams that are not called.
func TestKinds(t *testing.T) {
	datadriven.RunTest(t, "testdata/kinds.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			s := &scriptedFake{clock: &stepClock{}}
			_, _ = fmt.Sscan(line, &s.claimResult, &s.callResult, &s.updateResult)
			executor := New(s, s.clock, "i", zap.NewNop())
			o := orderOf("k", "x", s)
			o.Pick = func(context.Context) (upstream.ServiceClient, error) {
				s.calls = append(s.calls, "pick")
				return s, nil
			}
			response, err := executor.Run(context.Background(), o)
			for s.clock.quiesce([]*Executor{executor}); s.clock.step(); {
				s.clock.quiesce([]*Executor{executor})
			}
			if err := executor.Close(context.Background()); err != nil {
				t.Fatal(err)
			}
			if err == nil {
				fmt.Fprintf(&out, "%s: response %d, %s\n", line, response.Status, strings.Join(s.calls, " "))
				continue
			}
			kind := refusal.KindOf(err).Response()
			fmt.Fprintf(&out, "%s: %s notRun=%v, %s\n", line, kind.Code, kind.NotRun, strings.Join(s.calls, " "))
		}
		return out.String()
	})
}

// blockingService is an upstream that responds once proceed is closed.
type blockingService struct {
	entered chan struct{}
	proceed chan struct{}
	mu      sync.Mutex
	calls   int
}

func (s *blockingService) Call(ctx context.Context, _ upstream.Call) (upstream.Response, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	close(s.entered)
	select {
	case <-ctx.Done():
		return upstream.Response{}, refusal.New(refusal.UpstreamFailed, "interrupted")
	case <-s.proceed:
	}
	return upstream.Response{Status: 200, Body: []byte("once")}, nil
}

// TestSharing guards against a second call by concurrent requests with the same
// key, against a call that is canceled with its caller, and against a Close that
// interrupts an order.
func TestSharing(t *testing.T) {
	is := is.New(t)
	clock := &stepClock{}
	f := &faultyProposer{noFaults: true, random: rand.New(rand.NewSource(1)), machine: ledger.New()}
	e := New(ledger.NewClient(f, clock, "i"), clock, "i", zap.NewNop())
	s := &blockingService{entered: make(chan struct{}), proceed: make(chan struct{})}
	canceled, cancel := context.WithCancel(context.Background())
	var joined []*inFlightOrder
	for range 10 {
		f, err := e.joinOrStart(orderOf("k", "x", s))
		is.NoErr(err)
		joined = append(joined, f)
	}
	<-s.entered
	cancel()
	_, err := e.Run(canceled, orderOf("k", "x", s))
	is.Equal(refusal.KindOf(err), refusal.Deadline)

	closed := make(chan error)
	go func() { closed <- e.Close(context.Background()) }()
	for !isClosed(e) {
		runtime.Gosched()
	}
	_, err = e.Run(context.Background(), orderOf("new", "x", s))
	is.Equal(refusal.KindOf(err), refusal.LedgerUnreachable) // refusal.Stopping would say that no attempt has run
	select {
	case <-closed:
		t.Fatal("Close did not wait for the order")
	default:
	}
	close(s.proceed)
	is.NoErr(<-closed)
	for _, f := range joined {
		<-f.done
		is.NoErr(f.err)
		is.Equal(string(f.response.Body), "once")
	}
	is.Equal(s.calls, 1)
	r, err := ledger.NewClient(f, clock, "j").Claim(context.Background(), order.Claim{Key: order.Key{Account: "a", Name: "k"}, Digest: digestOf(orderOf("k", "x", s).Call)})
	is.NoErr(err)
	is.Equal(string(r.Response.Body), "once")
}

func isClosed(e *Executor) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// TestCloseGivesUp guards against a Close that does not return when its context
// ends while the ledger is unreachable.
func TestCloseGivesUp(t *testing.T) {
	is := is.New(t)
	s := &scriptedFake{claimResult: "ledgerUnreachable", updateResult: "ledgerUnreachable", clock: &stepClock{}}
	e := New(s, s.clock, "i", zap.NewNop())
	_, err := e.Run(context.Background(), orderOf("k", "x", s))
	is.Equal(refusal.KindOf(err), refusal.LedgerUnreachable)
	s.clock.quiesce([]*Executor{e})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(e.Close(ctx), context.Canceled)
	e.wg.Wait()
}
