package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against a second claim of a key, keys that are dropped early,
// exceeded limits and incomplete replays of responses.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFaultyProposer(t, 1)
		f.noFaults = true
		clock := &manualClock{}
		ctx := context.Background()
		limits := Limits{Retention: time.Hour, MaxRecords: 8, MaxBytes: 1600, MaxResponseBytes: 200}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			account, key, attempt, instance, digest, body, operator := "a", "k", "", "i1", "x", "", ""
			advanceBy, age, ran := "0s", "0s", false
			for name, target := range map[string]*string{"account": &account, "key": &key, "attempt": &attempt, "instance": &instance, "digest": &digest, "body": &body, "operator": &operator, "by": &advanceBy, "age": &age} {
				d.MaybeScanArgs(t, name, target)
			}
			d.MaybeScanArgs(t, "ran", &ran)
			k := order.Key{Account: fleet.AccountID(account), Name: key}
			id := order.AttemptID(attempt)
			skewed := &manualClock{offset: clock.offset}
			if strings.HasPrefix(instance, "fast") {
				skewed.offset += 48 * time.Hour
			}
			client := NewClient(f, skewed, fleet.InstanceID(instance), WithLimits(limits))
			response := upstream.Response{Status: 200, Header: http.Header{"Order": {"7"}}, Body: []byte(body)}
			switch d.Cmd {
			case "claim":
				claimAge, _ := time.ParseDuration(age)
				r, err := client.Claim(ctx, order.Claim{Key: k, Attempt: id, Digest: [32]byte{digest[0]}, Instance: fleet.InstanceID(instance), At: skewed.Now().Add(-claimAge)})
				if err != nil {
					return fmt.Sprintf("%s: %v\n", refusal.KindOf(err).Response().Code, err)
				}
				out := fmt.Sprintf("%v by=%s held=%v digestMismatch=%v", r.State, r.Claim.Attempt, r.HeldByCaller, r.DigestMismatch)
				if r.Response != nil {
					out += fmt.Sprintf(" response=%d %v %s", r.Response.Status, r.Response.Header, r.Response.Body)
				}
				return out + "\n"
			case "finish":
				return formatResult(client.Finish(ctx, k, id, response))
			case "release":
				return formatResult(client.Release(ctx, k, id))
			case "settle":
				return formatResult(client.Settle(ctx, Settlement{Key: k, Attempt: id, Operator: operator, Ran: ran}, response))
			case "open":
				list, err := client.OpenClaims(ctx, k.Account, 9)
				return fmt.Sprintf("%d %v\n", len(list), err)
			case "usage":
				u, err := client.Usage(ctx, k.Account)
				return fmt.Sprintf("records=%d open=%d bytes=%d oldest=%s %v\n", u.Records, u.OpenClaims, u.Bytes, u.OldestOpen.Format(time.TimeOnly), err)
			case "settlements":
				list, err := client.Settlements(ctx, k.Account, 9)
				out := fmt.Sprintf("%v\n", err)
				for _, s := range list {
					out += fmt.Sprintf("%s by %s ran=%v lateResponse=%v\n", s.Attempt, s.Operator, s.Ran, s.LateResponse)
				}
				return out
			case "advance":
				step, err := time.ParseDuration(advanceBy)
				clock.offset += step
				return formatResult(err)
			case "restart":
				f.restart(0)
				f.restart(1)
				f.restart(2)
				return "ok\n"
			}
			return "unknown command"
		})
	})
}

func formatResult(err error) string {
	if err != nil {
		return fmt.Sprintf("%s: %v\n", refusal.KindOf(err).Response().Code, err)
	}
	return "ok\n"
}

// TestSchedules guards against two executions of a key, and against claims that
// take effect after they were released or reported as not made. Three clients use
// three replicas with random faults.
func TestSchedules(t *testing.T) {
	for seed := range int64(100) {
		runSchedule(t, seed)
	}
}

func runSchedule(t *testing.T, seed int64) {
	f := newFaultyProposer(t, seed)
	clock := &manualClock{}
	ctx := context.Background()
	runs := make(map[order.Key]int)
	mustNotHold := make(map[order.AttemptID]bool) // attempts that must not hold a claim at the end
	for n := range 80 {
		instance := fleet.InstanceID(fmt.Sprint("i", f.random.Intn(3)))
		c := NewClient(f, clock, instance, WithMaxProposals(3))
		k := order.Key{Account: "a", Name: fmt.Sprint(f.random.Intn(12))}
		id := order.AttemptID(fmt.Sprint("attempt-", n))
		clock.offset += time.Second
		r, err := c.Claim(ctx, order.Claim{Key: k, Attempt: id, Instance: instance, At: clock.Now()})
		switch {
		case refusal.KindOf(err) == refusal.NotReady:
			mustNotHold[id] = true
		case err != nil:
			mustNotHold[id] = c.Release(ctx, k, id) == nil
		case r.HeldByCaller && f.random.Intn(3) == 0: // nothing was sent
			mustNotHold[id] = c.Release(ctx, k, id) == nil
		case r.HeldByCaller:
			runs[k]++
			_ = c.Finish(ctx, k, id, upstream.Response{Status: 200})
		}
		if runs[k] > 1 {
			t.Fatalf("seed %d: key %s ran %d times", seed, k.Name, runs[k])
		}
	}
	f.applyDelayed(1)
	first, _ := f.replicas[0].Snapshot()
	for _, m := range f.replicas[1:] {
		if data, _ := m.Snapshot(); string(data) != string(first) {
			t.Fatalf("seed %d: replicas differ:\n%s\n%s", seed, first, data)
		}
	}
	if New().Restore(first[:len(first)-1]) == nil {
		t.Fatalf("seed %d: a truncated snapshot was restored", seed)
	}
	for k, r := range f.replicas[0].records {
		if mustNotHold[r.Attempt] {
			t.Fatalf("seed %d: attempt %s must not hold key %s", seed, r.Attempt, k.Name)
		}
	}
}

// firstCommandDropper drops the first command and applies the others.
type firstCommandDropper struct {
	*faultyProposer
	dropped bool
}

func (d *firstCommandDropper) Propose(ctx context.Context, g quorum.GroupID, c []byte) ([]byte, error) {
	if !d.dropped {
		d.dropped = true
		return nil, refusal.New(refusal.OutcomeUnknown, "leader lost")
	}
	return d.faultyProposer.Propose(ctx, g, c)
}

// TestFullAfterLostClaim guards against an error that says that the claim was not
// made while an earlier, lost command of that claim may still be applied. This can
// occur when a repeated command is rejected because a limit is reached.
func TestFullAfterLostClaim(t *testing.T) {
	f := newFaultyProposer(t, 1)
	f.noFaults = true
	claim := order.Claim{Key: order.Key{Account: "a", Name: "k"}, Attempt: "1"}
	for _, p := range []quorum.Proposer{f, &firstCommandDropper{faultyProposer: f}} {
		c := NewClient(p, &manualClock{}, "i", WithLimits(Limits{}))
		_, err := c.Claim(context.Background(), claim)
		want := refusal.LedgerUnreachable
		if p == f {
			want = refusal.Overloaded
		}
		if refusal.KindOf(err) != want {
			t.Errorf("claim after a lost command: %v", err)
		}
	}
}

// FuzzApply guards against commands, queries and snapshots that make a voter panic.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"version":1,"kind":"claim","key":{"account":"a","name":"k"},"attempt":"1","limits":{"maxRecords":9,"maxBytes":-1,"maxAnswer":-9}}`))
	f.Add([]byte(`{"version":1,"kind":"settle","attempt":"1","at":"9999-12-31T23:59:59Z","ran":true}`))
	f.Add([]byte(`{"version":1,"kind":"open","limit":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		for range 2 {
			m.Apply(0, data)
			m.Query(data)
		}
		s, err := m.Snapshot()
		if err != nil || New().Restore(s) != nil {
			t.Fatalf("snapshot does not restore: %v", err)
		}
		_ = m.Restore(data)
	})
}

// BenchmarkClaim measures a claim and its finish in one state machine.
func BenchmarkClaim(b *testing.B) {
	m := New()
	limits := Limits{Retention: time.Hour, MaxRecords: 1 << 30, MaxBytes: 1 << 40, MaxResponseBytes: 1 << 16}
	response, _ := json.Marshal(upstream.Response{Status: 200, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, 200)})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		b.StopTimer()
		c := command{Version: version, Kind: claimKind, Key: order.Key{Account: fleet.AccountID(fmt.Sprint(n % 1000)), Name: fmt.Sprint(n)}, Attempt: order.AttemptID(fleet.NewRequestID()), Request: fleet.NewRequestID(), Instance: "i", Digest: make([]byte, 32), At: fakeclock.Start, Limits: limits}
		claim, _ := json.Marshal(c)
		c.Kind, c.Response, c.Digest = finishKind, response, nil
		finish, _ := json.Marshal(c)
		n++
		b.StartTimer()
		m.Apply(0, claim)
		m.Apply(0, finish)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(m.records)), "B/record")
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "orders/s")
	runtime.KeepAlive(m)
}

// BenchmarkSnapshot measures snapshot and restore of 100,000 records with responses
// of 200 bytes.
func BenchmarkSnapshot(b *testing.B) {
	m := New()
	for n := range 100_000 {
		k := order.Key{Account: fleet.AccountID(fmt.Sprint(n % 1000)), Name: fmt.Sprint(n)}
		m.records[k] = &record{State: order.Done, Attempt: order.AttemptID(fmt.Sprintf("%032x", n)), Digest: make([]byte, 32), Request: "request", Response: make([]byte, 330)}
	}
	for b.Loop() {
		data, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		if err := New().Restore(data); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}
