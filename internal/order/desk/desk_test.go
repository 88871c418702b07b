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

// TestSchedules guards against a second execution of a key over several
// instances, false "not run" answers, differing replays, and claims that stay
// although nothing was sent.
func TestSchedules(t *testing.T) {
	for seed := range int64(150) {
		schedule(t, seed)
	}
}

func schedule(t *testing.T, seed int64) {
	random := rand.New(rand.NewSource(seed))
	clock := &stepClock{}
	f := &faulty{random: random, machine: ledger.New()}
	s := &service{random: random, runs: make(map[string]int), lost: make(map[string]int)}
	var desks []*Desk
	for i := range 3 {
		id := fleet.InstanceID(fmt.Sprint("i", i))
		client := ledger.NewClient(f, instantClock{clock}, id, ledger.WithAttempts(3))
		desks = append(desks, New(client, clock, id, zap.NewNop()))
	}
	answers := make(map[string]string)
	for range 60 {
		name := fmt.Sprint(random.Intn(10))
		body := name + []string{"x", "x", "x", "y"}[random.Intn(4)]
		a, err := desks[random.Intn(3)].Run(context.Background(), orderOf(name, body, s))
		clock.quiesce(desks)
		total := s.runs[name+"x"] + s.runs[name+"y"]
		if total > 1 {
			t.Fatalf("seed %d: key %s ran %d times", seed, name, total)
		}
		kind := refusal.KindOf(err)
		if err != nil && kind.Answer().NotRun && (s.runs[body] > 0 || total > 0 && kind != refusal.KeyReused) {
			t.Fatalf("seed %d: key %s ran, the error says it did not: %v", seed, name, err)
		}
		if err == nil {
			if first, ok := answers[body]; ok && first != string(a.Body) {
				t.Fatalf("seed %d: key %s has answers %q and %q", seed, name, first, a.Body)
			}
			answers[body] = string(a.Body)
		}
		if random.Intn(2) == 0 && clock.step() {
			clock.quiesce(desks)
		}
	}
	f.mu.Lock()
	f.calm = true
	f.settle(1)
	f.mu.Unlock()
	for clock.step() {
		clock.quiesce(desks)
	}
	checkClaims(t, seed, f, s)
}

// checkClaims checks that every open claim has a reason.
func checkClaims(t *testing.T, seed int64, f *faulty, s *service) {
	client := ledger.NewClient(f, &stepClock{}, "check")
	open, err := client.OpenClaims(context.Background(), "a", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range open {
		if s.lost[o.Key.Name+"x"]+s.lost[o.Key.Name+"y"] == 0 {
			t.Fatalf("seed %d: key %s is claimed and nothing was sent", seed, o.Key.Name)
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

// scripted is a ledger and service whose behaviour a script sets.
type scripted struct {
	claim, call, finish string
	clock               *stepClock
	log                 []string
}

func (s *scripted) Claim(_ context.Context, c order.Claim) (order.Record, error) {
	s.log = append(s.log, "claim")
	old := order.Claim{Key: c.Key, Attempt: "other", At: c.At.Add(-2 * time.Minute)}
	recent := order.Claim{Key: c.Key, Attempt: "other", At: c.At}
	records := map[string]order.Record{
		"mine":     {State: order.Claimed, Claim: c, Mine: true},
		"slow":     {State: order.Claimed, Claim: c, Mine: true},
		"recent":   {State: order.Claimed, Claim: recent},
		"old":      {State: order.Claimed, Claim: old},
		"done":     {State: order.Done, Claim: old, Answer: &upstream.Response{Status: 201}},
		"unkept":   {State: order.Done, Claim: old},
		"reused":   {State: order.Done, Claim: old, Reused: true},
		"released": {State: order.Free},
	}
	if s.claim == "slow" {
		s.clock.offset += SendWithin + time.Second
	}
	if r, ok := records[s.claim]; ok {
		return r, nil
	}
	return order.Record{}, s.err(s.claim)
}

func (s *scripted) err(code string) error {
	for _, k := range refusal.Kinds() {
		if k.Answer().Code == code {
			return refusal.New(k, "scripted")
		}
	}
	return nil
}

func (s *scripted) Finish(context.Context, order.Key, order.AttemptID, upstream.Response) error {
	return s.change("finish")
}

func (s *scripted) Release(context.Context, order.Key, order.AttemptID) error {
	return s.change("release")
}

func (s *scripted) change(name string) error {
	s.log = append(s.log, name)
	err := s.err(s.finish)
	s.finish = ""
	return err
}

func (s *scripted) Call(context.Context, upstream.Call) (upstream.Response, error) {
	s.log = append(s.log, "send")
	var status int
	if _, err := fmt.Sscan(s.call, &status); err == nil {
		return upstream.Response{Status: status}, nil
	}
	return upstream.Response{}, s.err(s.call)
}

// TestKinds guards against a wrong error kind, a call without a claim, a claim
// that is released although something was sent, and a picked upstream that is not
// called.
func TestKinds(t *testing.T) {
	datadriven.RunTest(t, "testdata/kinds.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			s := &scripted{clock: &stepClock{}}
			_, _ = fmt.Sscan(line, &s.claim, &s.call, &s.finish)
			desk := New(s, s.clock, "i", zap.NewNop())
			o := orderOf("k", "x", s)
			o.Pick = func(context.Context) (upstream.ServiceClient, error) {
				s.log = append(s.log, "pick")
				return s, nil
			}
			a, err := desk.Run(context.Background(), o)
			for s.clock.quiesce([]*Desk{desk}); s.clock.step(); {
				s.clock.quiesce([]*Desk{desk})
			}
			if err := desk.Close(context.Background()); err != nil {
				t.Fatal(err)
			}
			if err == nil {
				fmt.Fprintf(&out, "%s: answer %d, %s\n", line, a.Status, strings.Join(s.log, " "))
				continue
			}
			kind := refusal.KindOf(err).Answer()
			fmt.Fprintf(&out, "%s: %s notRun=%v, %s\n", line, kind.Code, kind.NotRun, strings.Join(s.log, " "))
		}
		return out.String()
	})
}

// waiting is a service that answers once it is told to.
type waiting struct {
	entered chan struct{}
	answer  chan struct{}
	mu      sync.Mutex
	calls   int
}

func (w *waiting) Call(ctx context.Context, _ upstream.Call) (upstream.Response, error) {
	w.mu.Lock()
	w.calls++
	w.mu.Unlock()
	close(w.entered)
	select {
	case <-ctx.Done():
		return upstream.Response{}, refusal.New(refusal.UpstreamFailed, "interrupted")
	case <-w.answer:
	}
	return upstream.Response{Status: 200, Body: []byte("once")}, nil
}

// TestSharing guards against a second call by concurrent requests, a call that
// ends with its caller, and a Close that interrupts an order.
func TestSharing(t *testing.T) {
	is := is.New(t)
	clock := &stepClock{}
	f := &faulty{calm: true, random: rand.New(rand.NewSource(1)), machine: ledger.New()}
	d := New(ledger.NewClient(f, clock, "i"), clock, "i", zap.NewNop())
	w := &waiting{entered: make(chan struct{}), answer: make(chan struct{})}
	gone, leave := context.WithCancel(context.Background())
	var flights []*flight
	for range 10 {
		f, err := d.join(orderOf("k", "x", w))
		is.NoErr(err)
		flights = append(flights, f)
	}
	<-w.entered
	leave()
	_, err := d.Run(gone, orderOf("k", "x", w))
	is.Equal(refusal.KindOf(err), refusal.Deadline)

	closed := make(chan error)
	go func() { closed <- d.Close(context.Background()) }()
	for !isClosed(d) {
		runtime.Gosched()
	}
	_, err = d.Run(context.Background(), orderOf("new", "x", w))
	is.Equal(refusal.KindOf(err), refusal.LedgerUnreachable) // "stopping" would say that no attempt has run
	select {
	case <-closed:
		t.Fatal("Close did not wait for the order")
	default:
	}
	close(w.answer)
	is.NoErr(<-closed)
	for _, f := range flights {
		<-f.done
		is.NoErr(f.err)
		is.Equal(string(f.answer.Body), "once")
	}
	is.Equal(w.calls, 1)
	r, err := ledger.NewClient(f, clock, "j").Claim(context.Background(), order.Claim{Key: order.Key{Account: "a", Name: "k"}, Digest: digestOf(orderOf("k", "x", w).Call)})
	is.NoErr(err)
	is.Equal(string(r.Answer.Body), "once")
}

func isClosed(d *Desk) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// TestCloseGivesUp guards against a Close that never returns when the ledger
// can't be reached.
func TestCloseGivesUp(t *testing.T) {
	is := is.New(t)
	s := &scripted{claim: "ledgerUnreachable", finish: "ledgerUnreachable", clock: &stepClock{}}
	d := New(s, s.clock, "i", zap.NewNop())
	_, err := d.Run(context.Background(), orderOf("k", "x", s))
	is.Equal(refusal.KindOf(err), refusal.LedgerUnreachable)
	s.clock.quiesce([]*Desk{d})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(d.Close(ctx), context.Canceled)
	d.group.Wait()
}
