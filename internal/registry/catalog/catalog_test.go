package catalog_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
)

// TestScripts guards against delayed heartbeats that bring back an upstream that
// left, that was replaced at its address or that started again.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := fakeclock.New(fakeclock.Start)
		c := catalog.New(clock)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "heartbeat":
				return fmt.Sprintf("changed %t\n%s", c.Put(entry(t, d, clock.Now()), !d.HasArg("relayed")), show(c, clock))
			case "leave":
				var id string
				var born int
				d.ScanArgs(t, "id", &id)
				if d.HasArg("born") {
					d.ScanArgs(t, "born", &born)
				}
				return fmt.Sprintf("known %t\n%s", c.Remove(fleet.UpstreamID(id), fleet.Incarnation(born)), show(c, clock))
			case "pass":
				var s string
				d.ScanArgs(t, "time", &s)
				n, err := time.ParseDuration(s)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				clock.Advance(n)
				return show(c, clock)
			case "own":
				return list(c.Since(0, true).Entries, clock)
			case "since":
				var stamp int
				d.ScanArgs(t, "stamp", &stamp)
				return news(c.Since(uint64(stamp), d.HasArg("own")), clock)
			case "sign":
				var id string
				var born, sequence int
				d.ScanArgs(t, "id", &id)
				d.ScanArgs(t, "born", &born)
				d.ScanArgs(t, "sequence", &sequence)
				e, _ := c.Get(fleet.UpstreamID(id))
				digest := e.Digest()
				if d.HasArg("other") {
					digest++
				}
				return fmt.Sprintf("fits %t\n%s", c.Renew(registry.Sign{
					ID: fleet.UpstreamID(id), Born: fleet.Incarnation(born), Sequence: uint64(sequence),
					Digest: digest, Heard: clock.Now(),
				}), show(c, clock))
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

func entry(t *testing.T, d *datadriven.TestData, now time.Time) registry.Entry {
	var id, address, state string
	var born, sequence int
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "at", &address)
	d.ScanArgs(t, "state", &state)
	d.ScanArgs(t, "born", &born)
	d.ScanArgs(t, "sequence", &sequence)
	s, err := fleet.ParseName[registry.State](state, 4)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return registry.Entry{
		ID: fleet.UpstreamID(id), Address: address, State: s, Born: fleet.Incarnation(born),
		Sequence: uint64(sequence), Pool: "p", Heard: now,
	}
}

func news(n catalog.News, clock *fakeclock.Clock) string {
	slices.SortFunc(n.Signs, func(a, b registry.Sign) int { return strings.Compare(string(a.ID), string(b.ID)) })
	b := list(n.Entries, clock)
	for _, s := range n.Signs {
		b += fmt.Sprintf("sign of %s born %d sequence %d\n", s.ID, s.Born, s.Sequence)
	}
	return b + fmt.Sprintf("stamp %d\n", n.Stamp)
}

func show(c *catalog.Catalog, clock *fakeclock.Clock) string { return list(c.All(time.Hour), clock) }

func list(es []registry.Entry, clock *fakeclock.Clock) string {
	slices.SortFunc(es, func(a, b registry.Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	var b strings.Builder
	for _, e := range es {
		fmt.Fprintf(&b, "%s at %s born %d sequence %d %s, heard %s ago\n",
			e.ID, e.Address, e.Born, e.Sequence, e.State, clock.Now().Sub(e.Heard))
	}
	return b.String()
}
