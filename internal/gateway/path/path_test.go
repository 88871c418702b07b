package path_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// model has 8 layers of 1000 MB and needs 1 MB of memory per token.
var model = &release.Engine{
	Layers: 8, LayerMB: 1000, TokenBytes: 1e6, StepMS: 1, PrefillPerSecond: 100000, ActivationBytes: 20000,
	LinkMbps: 8000, MeanPromptTokens: 600, MeanAnswerTokens: 200,
	Cards: map[string]release.Card{
		"fast": {MemoryMB: 12000, StepFactor: 1, PrefillFactor: 1},
		"slow": {MemoryMB: 8000, StepFactor: 10, PrefillFactor: 10},
	},
}

// TestScripts guards against paths with missing, repeated or reordered layers, against
// needless transfers between data centres, against engines that all gateways choose at
// once, and against requests to engines that failed. Under admission control it also
// guards against crossings while a data centre holds all layers, against new streams on
// full engines, against paths of fast cards with a slow one, against choices that do not
// allow for those of the other gateways, and against a capacity that counts engines that
// cannot be used. A script
// lists engines as "id dataCentre card fromLayer toLayer" and stats as "id activeRequests
// state", where state is ok, failed or full, with the size of the requests as an optional
// fourth value.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		clock := fakeclock.New(fakeclock.Start)
		p := path.New(clock, "dc1", 3600*time.Millisecond, func() float64 { return 0 })
		var entries []registry.Entry
		gateways := 0
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "engines":
				gateways = 4
				d.MaybeScanArgs(t, "gateways", &gateways)
				entries = parseEntries(t, d, clock.Now())
				p.Refresh(model, entries, gateways)
				return ""
			case "lost":
				for i := range entries {
					if entries[i].Address == address(t, d) {
						entries[i].LastHeartbeat = clock.Now().Add(-time.Hour)
					}
				}
				p.Refresh(model, entries, gateways)
				return ""
			case "heartbeats":
				for i := range entries {
					entries[i].LastHeartbeat = clock.Now()
				}
				p.Refresh(model, entries, gateways)
				return ""
			case "admission":
				p.SetAdmission(d.HasArg("on"))
				return ""
			case "room":
				r := p.Room()
				return fmt.Sprintf("capacity %.2f, active %.2f\n", r.Capacity, r.Active)
			case "size":
				var prompt, answer int
				d.ScanArgs(t, "prompt", &prompt)
				d.ScanArgs(t, "answer", &answer)
				return fmt.Sprintf("%.3f\n", p.Size(prompt, answer))
			case "report":
				var b strings.Builder
				for _, u := range p.Stats() {
					fmt.Fprintf(&b, "%s %d active, size %.2f\n", u.ID, u.Active, u.Size)
				}
				return b.String()
			case "choose":
				return choose(t, p, d)
			case "possible":
				return fmt.Sprintf("%t\n", p.Possible(constraints(t, d)))
			case "stats":
				p.SetFleetStats(parseStats(t, d))
				return ""
			case "rates":
				p.SetRates(number(t, d.CmdArgs[0].Key), number(t, d.CmdArgs[1].Key))
				return ""
			case "fail":
				p.MarkFailed(address(t, d))
				return ""
			case "unreachable":
				p.MarkUnreachable(address(t, d))
				return ""
			case "live":
				var ids []fleet.UpstreamID
				for _, a := range d.CmdArgs {
					ids = append(ids, fleet.UpstreamID(a.Key))
				}
				return fmt.Sprintln(p.Live(ids))
			case "progress":
				p.NoteProgress([]path.Hop{{ID: fleet.UpstreamID(address(t, d))}})
				return ""
			case "full":
				p.MarkFull(address(t, d))
				return ""
			case "slowdown":
				var x float64
				if _, err := fmt.Sscan(d.CmdArgs[1].Vals[0], &x); err != nil {
					d.Fatalf(t, "%v", err)
				}
				p.SetSlowdown(fleet.UpstreamID(address(t, d)), x)
				return ""
			case "advance":
				n, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				clock.Advance(n)
				return ""
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

func number(t *testing.T, s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func address(t *testing.T, d *datadriven.TestData) string { return scanned(t, d, "at") }

func scanned(t *testing.T, d *datadriven.TestData, key string) string {
	var s string
	d.ScanArgs(t, key, &s)
	return s
}

func constraints(t *testing.T, d *datadriven.TestData) path.Constraints {
	l := path.Constraints{Continues: d.HasArg("continues"), FirstExcluded: d.HasArg("firstExcluded")}
	if d.HasArg("size") {
		if _, err := fmt.Sscan(scanned(t, d, "size"), &l.Size); err != nil {
			d.Fatalf(t, "%v", err)
		}
	}
	var excluded []string // id/incarnation
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "avoid":
			l.Avoid = append(l.Avoid, fleet.UpstreamID(a.Vals[0]))
		case "first":
			l.First = append(l.First, fleet.UpstreamID(a.Vals[0]))
		case "exclude":
			excluded = append(excluded, a.Vals[0])
		}
	}
	if len(excluded) > 0 {
		l.Exclude = func(id fleet.UpstreamID, n fleet.Incarnation) bool {
			return slices.Contains(excluded, fmt.Sprintf("%s/%d", id, n))
		}
	}
	return l
}

func choose(t *testing.T, p *path.Planner, d *datadriven.TestData) string {
	hops, err := p.Choose(constraints(t, d))
	if refusal.KindOf(err) == refusal.Overloaded {
		return "overloaded: " + err.Error() + "\n"
	}
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	next := fleet.Layer(0)
	for _, h := range hops {
		if h.Layers.From != next {
			fmt.Fprintf(&b, "layers %d to %d are missing or repeated\n", next, h.Layers.From)
		}
		next = h.Layers.To
		fmt.Fprintf(&b, "%s=%d-%d ", h.Address, h.Layers.From, h.Layers.To)
	}
	if int(next) != model.Layers {
		fmt.Fprintf(&b, "the path ends at layer %d", next)
	}
	if d.HasArg("done") {
		p.Done(hops, true)
	}
	return strings.TrimSpace(b.String()) + "\n"
}

func parseEntries(t *testing.T, d *datadriven.TestData, now time.Time) []registry.Entry {
	var es []registry.Entry
	slots := 0
	d.MaybeScanArgs(t, "slots", &slots)
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		var e registry.Entry
		var id, dc string
		var from, to int
		if _, err := fmt.Sscan(line, &id, &dc, &e.Card, &from, &to); err != nil {
			d.Fatalf(t, "%q: %v", line, err)
		}
		e.ID, e.Address, e.DataCentre, e.Incarnation, e.LastHeartbeat = fleet.UpstreamID(id), id, fleet.DataCentreID(dc), 1, now
		e.Slots = slots
		e.Layers = upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(to)}
		es = append(es, e)
	}
	return es
}

func parseStats(t *testing.T, d *datadriven.TestData) []usage.UpstreamStats {
	var us []usage.UpstreamStats
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		var u usage.UpstreamStats
		var id, state string
		if _, err := fmt.Sscan(line, &id, &u.Active, &state); err != nil {
			d.Fatalf(t, "%q: %v", line, err)
		}
		if fields := strings.Fields(line); len(fields) > 3 {
			if _, err := fmt.Sscan(fields[3], &u.Size); err != nil {
				d.Fatalf(t, "%q: %v", line, err)
			}
		}
		u.ID, u.Failed, u.OutOfMemory = fleet.UpstreamID(id), state == "failed", state == "full"
		us = append(us, u)
	}
	return us
}
