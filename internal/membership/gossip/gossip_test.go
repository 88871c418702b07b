package gossip_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
)

// TestScripts guards against wrong statuses after single faults. The commands of the
// scripts are the cases of runScript.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				w = newSimulation(t, 1, intArg(t, d, "centres"), intArg(t, d, "each"))
				w.bootAll()
				return ""
			}
			return w.runScript(t, d)
		})
	})
}

func (w *simulation) runScript(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "run":
		w.run(durationArg(t, d, "for"))
	case "crash":
		w.hosts[intArg(t, d, "host")].up = false
	case "boot":
		w.boot(w.hosts[intArg(t, d, "host")])
	case "freeze":
		w.hosts[intArg(t, d, "host")].frozen = true
	case "thaw":
		w.thaw(w.hosts[intArg(t, d, "host")])
	case "leave":
		h := w.hosts[intArg(t, d, "host")]
		w.apply(h, h.core.Leave(w.now))
		h.up = false
	case "revision":
		h := w.hosts[intArg(t, d, "host")]
		w.apply(h, h.core.SetRevision(fleet.Revision(intArg(t, d, "to")), w.now))
	case "usage":
		w.hosts[intArg(t, d, "host")].core.SetUsage([]byte(d.Input))
	case "cut":
		w.dropBetween(d)
	case "status":
		return w.statuses(w.hosts[intArg(t, d, "at")])
	case "centres":
		return w.centreList(w.hosts[intArg(t, d, "at")])
	case "suspicions":
		return fmt.Sprintf("suspicions %d deaths %d\n", len(w.suspected), w.falseDeaths)
	default:
		return "unknown command\n"
	}
	return ""
}

// dropBetween drops messages between the hosts listed in a and the hosts listed
// in b, in both directions unless oneWay is given. Without lists nothing is cut.
func (w *simulation) dropBetween(d *datadriven.TestData) {
	side := func(key string) map[string]bool {
		set := make(map[string]bool)
		for _, a := range d.CmdArgs {
			for _, v := range a.Vals {
				set[v] = set[v] || a.Key == key
			}
		}
		return set
	}
	a, b := side("a"), side("b")
	w.drop = func(from, to *host) bool {
		f, t := fmt.Sprint(from.index), fmt.Sprint(to.index)
		return (a[f] && b[t]) || (b[f] && a[t] && !d.HasArg("oneWay"))
	}
}

// statuses lists the members known to h, with their revisions and the time since
// each became active. That time is sent in whole seconds and rounded down, so it
// gets up to 1 s too short on each hop.
func (w *simulation) statuses(h *host) string {
	var b strings.Builder
	for _, m := range h.core.Members(w.now) {
		fmt.Fprintf(&b, "%s %s %v", m.ID, m.DataCentre, m.Status)
		if m.Revision > 0 {
			fmt.Fprintf(&b, " revision %d since %v", m.Revision, w.now.Sub(m.Since).Round(time.Second))
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// centreList lists the data centres known to h. A heartbeat is recent if it is less
// than 5 s old.
func (w *simulation) centreList(h *host) string {
	var b strings.Builder
	usages := h.core.DataCentreUsages()
	for _, c := range h.core.DataCentres(w.now) {
		fmt.Fprintf(&b, "%s alive %d revisions %d to %d heartbeat recent %v usage %q\n", c.ID, c.Alive, c.LowestRevision, c.HighestRevision, c.HeartbeatAge < 5*time.Second, usages[c.ID])
	}
	return b.String()
}

func intArg(t *testing.T, d *datadriven.TestData, key string) int {
	var n int
	d.ScanArgs(t, key, &n)
	return n
}

func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	v, err := time.ParseDuration(text)
	is.New(t).NoErr(err)
	return v
}

// TestJoin guards against instances that never learn of each other, also if the
// seeds are in other data centres and the fleet is so large that only summaries are
// exchanged between data centres.
func TestJoin(t *testing.T) {
	for _, size := range [][2]int{{3, 1}, {1, 5}, {3, 5}, {6, 6}, {6, 10}} {
		for seed := range uint64(4) {
			w := newSimulation(t, seed, size[0], size[1])
			w.bootAll()
			w.runUntil(time.Minute, func() bool { return w.convergedInCentres(size[1]) })
		}
	}
}

// TestJoinLate guards against a data centre that splits into groups that do not know
// each other. This can happen when its instances join through seeds in other data
// centres of a fleet so large that member records are not exchanged between them.
func TestJoinLate(t *testing.T) {
	for seed := range uint64(4) {
		w := newSimulation(t, seed, 6, 7)
		last := w.hosts[5].centre
		for _, h := range w.hosts {
			if h.centre != last {
				w.boot(h)
			}
		}
		w.run(30 * time.Second)
		for _, h := range w.hosts {
			if h.centre == last {
				w.boot(h)
			}
		}
		w.runUntil(time.Minute, func() bool { return w.convergedInCentres(7) })
	}
}

func (w *simulation) convergedInCentres(perCentre int) bool {
	for _, h := range w.hosts {
		alive := 0
		for _, m := range h.core.Members(w.now) {
			if m.DataCentre == h.centre && m.Status == membership.Alive {
				alive++
			}
		}
		if alive != perCentre {
			return false
		}
	}
	return true
}
