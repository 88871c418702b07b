package courier_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/courier"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

func newPrompt(n int) []uint64 {
	prompt := make([]uint64, n)
	for i := range prompt {
		prompt[i] = uint64(i*i + 3)
	}
	return prompt
}

// runAndCheck runs a request. It checks that the caller got the expected text, that
// the engines ran each layer once for each position, and that no sequence is still
// counted.
func (w *simulation) runAndCheck(c *courier.Executor, prompt, maxTokens int) (string, error) {
	var got []string
	g := pipeline.GenerationRequest{RequestID: "r", Model: "m", Prompt: newPrompt(prompt), MaxTokens: maxTokens}
	reason, err := c.Run(context.Background(), g, func(p pipeline.Token) error {
		if p.Index != len(got) {
			return fmt.Errorf("token %d was emitted as number %d", p.Index, len(got))
		}
		got = append(got, p.Text)
		return nil
	})
	c.Close()
	for _, f := range w.frozenSteps {
		f()
	}
	want, wantReason := standin.GenerateTokens("m", w.version, "", w.layers, g.Prompt, maxTokens)
	if err == nil && (strings.Join(got, "") != strings.Join(want, "") || reason != wantReason) {
		return "", fmt.Errorf("caller got %q, expected %q", got, want)
	}
	if len(got) > len(want) || strings.Join(got, "") != strings.Join(want[:len(got)], "") {
		return "", fmt.Errorf("caller got %q, which is not a prefix of %q", got, want)
	}
	runs, readErr := standin.ReadRuns(bytes.NewReader(w.record.Bytes()))
	if readErr != nil {
		return "", readErr
	}
	if checkErr := standin.CheckSteps(runs); checkErr != nil {
		return "", checkErr
	}
	for id := range w.engines {
		if n := w.counts.Counter(id).Load(); n != 0 {
			return "", fmt.Errorf("%d sequences are still counted on %s", n, id)
		}
	}
	return fmt.Sprintf("%d tokens, %s", len(got), reason), err
}

// TestScripts runs the faults of testdata. It guards against missing or repeated
// text, a layer that runs twice in an epoch, and decisions other than those in
// testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "fleet":
				w = newSimulation(6)
				t.Cleanup(w.close)
				for _, line := range strings.Split(d.Input, "\n") {
					var id string
					var from, to, fixed, layer, position, rate int
					if _, err := fmt.Sscan(line, &id, &from, &to, &fixed, &layer, &position, &rate); err != nil {
						d.Fatalf(t, "%q: %v", line, err)
					}
					w.add(id, from, to, newSpeed(fixed, layer, position, rate))
				}
				return ""
			case "run":
				var prompt, most int
				d.ScanArgs(t, "prompt", &prompt)
				d.ScanArgs(t, "max", &most)
				for _, line := range strings.Split(d.Input, "\n") {
					var id, fault string
					var position int
					if _, err := fmt.Sscan(line, &id, &position, &fault); err == nil {
						w.engines[fleet.UpstreamID(id)].faults[fleet.Position(position)] = fault
					}
				}
				outcome, err := w.runAndCheck(w.newExecutor(), prompt, most)
				text := outcome + "\n"
				if err != nil {
					text = fmt.Sprintf("error %s: %v\n", refusal.KindOf(err).Response().Code, err)
				}
				for _, e := range w.entries {
					text += strings.Join([]string{e.Chosen, e.Alternatives, e.Known, e.Reason}, " | ") + "\n"
				}
				return text
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

// newSpeed returns a speed from times in microseconds and a rate in kB/s.
func newSpeed(fixed, layer, position, rate int) pipeline.Speed {
	us := time.Microsecond
	return pipeline.Speed{
		FixedTime: time.Duration(fixed) * us, LayerTime: time.Duration(layer) * us,
		PositionTime: time.Duration(position) * us, BytesPerSecond: float64(rate) * 1000,
	}
}

// TestRandomFaults runs random schedules of faults during generations, one per seed:
// crashes, freezes with and without resumption, dropped, late and stale responses,
// restarts, refusals, joins and leaves. It guards against missing, repeated or
// reordered text or layers, and against a request that fails although all layers
// have a holder.
func TestRandomFaults(t *testing.T) {
	faults := []string{"die", "freeze", "thaw", "lose", "stale", "refuse", "stop", "leave", "restart"}
	const schedules = 150
	recovered := 0
	for seed := range uint64(schedules) {
		r := rand.New(rand.NewPCG(seed, 0))
		w := newSimulation(6)
		for i := range 15 {
			// Ranges overlap, so that a replacement may change the stage boundaries.
			from := i % 3 * 2
			to := min(from+2+r.IntN(2), 6)
			e := w.add(fmt.Sprintf("e%02d", i), from, to, newSpeed(100+r.IntN(900), 100+r.IntN(900), 10+r.IntN(90), 100+r.IntN(10000)))
			if i < 12 {
				for range 2 {
					e.faults[fleet.Position(r.IntN(60))] = faults[r.IntN(len(faults))]
				}
				// The prompt ends at position 19. Its step may fail, too.
				if r.IntN(4) == 0 {
					e.faults[19] = faults[r.IntN(len(faults))]
				}
			}
			e.absent = i < 12 && r.IntN(5) == 0
		}
		joining := w.engines["e00"]
		c := w.newExecutor(courier.WithObserver(joinObserver{joining}))
		if _, err := w.runAndCheck(c, 20, 40); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if len(w.entries) > 1 {
			recovered++
		}
		w.close()
	}
	t.Logf("%d of %d schedules had a recovery", recovered, schedules)
	if recovered < schedules/2 {
		t.Fatal("fewer than half of the schedules had a recovery")
	}
}

// joinObserver lets an engine join during the generation.
type joinObserver struct{ engine *simEngine }

func (j joinObserver) Observe(upstream.Upstream, int, int, time.Duration) {
	j.engine.absent = j.engine.dead
}

func (joinObserver) ObserveTransfer(upstream.Upstream, int, time.Duration) {}

// TestRecoveryTime compares the time of a recovery with its lower bound: the sum of
// the detection time and the faster of an import and a recomputation on the best
// replacement. It guards against a recovery that takes more than 1.5 times the bound.
func TestRecoveryTime(t *testing.T) {
	is := is.New(t)
	for _, cause := range []string{"die", "freeze", "leave", "stop"} {
		for _, position := range []int{100, 1000, 4000} {
			for _, rate := range []int{1000, 100000, 1000000} {
				w := newSimulation(6)
				// At 100 MB/s an import takes longer than a recomputation, but the
				// difference in the estimates is small.
				w.rateOverestimate = 1.2
				w.add("a", 0, 2, newSpeed(500, 300, 20, rate))
				w.add("b", 2, 4, newSpeed(500, 300, 20, rate))
				w.add("c", 4, 6, newSpeed(500, 300, 20, rate))
				w.add("y", 2, 4, newSpeed(500, 350, 25, rate))
				w.add("z", 2, 4, newSpeed(900, 350, 15, rate))
				// The fault hits a token in the middle of the generated text.
				w.engines["b"].faults[fleet.Position(position+2)] = cause
				maxTokens := 8
				if cause == "leave" {
					maxTokens = 400 // enough remaining tokens for a migration to pay off
				}
				_, err := w.runAndCheck(w.newExecutor(), position, maxTokens)
				is.NoErr(err)
				took, bound := w.measureRecovery(fleet.Position(position+2), cause)
				ratio := float64(took) / float64(bound)
				t.Logf("cause %-6s position %4d rate %7d kB/s: %9v, bound %9v, ratio %.2f, %s", cause, position, rate, took, bound, ratio, w.entries[len(w.entries)-1].Chosen)
				is.True(ratio <= 1.5)
				w.close()
			}
		}
	}
}

// measureRecovery returns the time from the fault of engine b at a position until its
// replacement has run all positions, without the steps of other stages, and the lower
// bound of that time.
func (w *simulation) measureRecovery(position fleet.Position, cause string) (took, bound time.Duration) {
	var startedAt, detectedAt time.Time
	var detection time.Duration
	for _, e := range w.events {
		switch {
		case cause == "leave" && e.id == "c" && e.endPosition == position+1:
			startedAt = e.endedAt // the migration begins with the next token
		case cause == "leave" && e.id == "a" && e.endPosition == position+2:
			took += e.startedAt.Sub(startedAt)
			startedAt = e.endedAt
		case e.id == "b" && e.endPosition == position+1 && e.failed:
			startedAt, detectedAt = e.startedAt, e.endedAt
			detection = detectedAt.Sub(startedAt)
		case (e.id == "y" || e.id == "z") && bound == 0:
			took += e.endedAt.Sub(startedAt)
			bound = detection + w.minReplacementTime(position, cause)
		}
	}
	return took, bound
}

// minReplacementTime returns the time that the fastest replacement of engine b takes
// by import or recomputation.
func (w *simulation) minReplacementTime(position fleet.Position, cause string) time.Duration {
	best := time.Duration(1 << 62)
	for _, id := range []fleet.UpstreamID{"y", "z"} {
		s := w.engines[id].speed
		single := s.FixedTime + 2*s.LayerTime
		best = min(best, single+2*time.Duration(position)*s.PositionTime)
		if cause == "leave" || cause == "stop" {
			size := float64(2 * int(position) * kvEntryBytes)
			best = min(best, single+2*s.FixedTime+2*time.Duration(size/s.BytesPerSecond*float64(time.Second)))
		}
	}
	return best
}

// TestNotRun guards against an error that says "not run" after a layer ran.
func TestNotRun(t *testing.T) {
	is := is.New(t)
	w := newSimulation(4)
	defer w.close()
	w.add("a", 0, 2, newSpeed(1, 1, 1, 1))
	b := w.add("b", 2, 4, newSpeed(1, 1, 1, 1))
	b.dead = true
	_, err := w.runAndCheck(w.newExecutor(), 5, 5)
	is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
	w.engines["a"].dead = true
	_, err = w.runAndCheck(w.newExecutor(), 5, 5)
	is.Equal(refusal.KindOf(err), refusal.NoUpstream)

	// An engine that remains overloaded did not run a layer.
	busy := newSimulation(4)
	defer busy.close()
	busy.add("a", 0, 4, newSpeed(1, 1, 1, 1)).overloaded = true
	_, err = busy.runAndCheck(busy.newExecutor(), 5, 5)
	is.Equal(refusal.KindOf(err), refusal.Overloaded)
}

// TestVersionChange guards against a text from mixed versions: before the first token
// another version restarts from the prompt, after it the generation ends with an
// error.
func TestVersionChange(t *testing.T) {
	for position, version := range map[fleet.Position]string{4: "2", 6: "1"} {
		is := is.New(t)
		w := newSimulation(4)
		for i, id := range []string{"a", "b", "y", "z"} {
			e := w.add(id, i%2*2, i%2*2+2, newSpeed(1, 1, 1, 1))
			e.Version = fmt.Sprint(1 + i/2)
			e.start()
		}
		w.engines["b"].faults[position] = "die"
		w.version = version
		_, err := w.runAndCheck(w.newExecutor(), 5, 20)
		if version == "2" {
			is.NoErr(err)
		} else {
			is.Equal(refusal.KindOf(err), refusal.StreamBroken)
		}
		w.close()
	}
}

// TestCancel guards against a request that continues after its caller has canceled
// it, and against memory that is not freed on the engines.
func TestCancel(t *testing.T) {
	is := is.New(t)
	w := newSimulation(4)
	defer w.close()
	w.add("a", 0, 4, newSpeed(1, 1, 1, 1))
	ctx, cancel := context.WithCancel(context.Background())
	c := w.newExecutor()
	g := pipeline.GenerationRequest{RequestID: "r", Model: "m", Prompt: newPrompt(5), MaxTokens: 30}
	count := 0
	_, err := c.Run(ctx, g, func(pipeline.Token) error {
		count++
		if count == 3 {
			cancel()
		}
		return nil
	})
	c.Close()
	is.Equal(refusal.KindOf(err), refusal.Deadline)
	is.Equal(count, 3)
	is.Equal(w.engines["a"].standin.ActiveRequests(), 0)
}
