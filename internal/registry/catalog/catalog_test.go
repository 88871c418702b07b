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

// TestScripts guards against delayed heartbeats that restore an upstream that left, was
// replaced at its address or restarted.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := fakeclock.New(fakeclock.Start)
		unknown := make(map[fleet.PoolID]bool)
		c := catalog.New(clock, catalog.WithKnownPools(func(id fleet.PoolID) bool { return !unknown[id] }))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "heartbeat":
				return fmt.Sprintf("changed %t\n%s", c.Put(parseEntry(t, d, clock.Now()), !d.HasArg("relayed")), formatCatalog(c, clock))
			case "release":
				clear(unknown)
				for _, a := range d.CmdArgs {
					if a.Key == "unknown" {
						unknown[fleet.PoolID(a.Vals[0])] = true
					}
				}
				return formatCatalog(c, clock)
			case "leave":
				var id string
				var incarnation int
				d.ScanArgs(t, "id", &id)
				if d.HasArg("born") {
					d.ScanArgs(t, "born", &incarnation)
				}
				_, known := c.Remove(fleet.UpstreamID(id), fleet.Incarnation(incarnation))
				return fmt.Sprintf("known %t\n%s", known, formatCatalog(c, clock))
			case "advance":
				var s string
				d.ScanArgs(t, "time", &s)
				n, err := time.ParseDuration(s)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				clock.Advance(n)
				return formatCatalog(c, clock)
			case "direct":
				return formatEntries(c.Since(0, true).Entries, clock)
			case "since":
				var revision int
				d.ScanArgs(t, "revision", &revision)
				return formatDelta(c.Since(uint64(revision), d.HasArg("direct")), clock)
			case "renew":
				var id string
				var incarnation, sequence int
				d.ScanArgs(t, "id", &id)
				d.ScanArgs(t, "born", &incarnation)
				d.ScanArgs(t, "sequence", &sequence)
				e, _ := c.Get(fleet.UpstreamID(id))
				digest := e.Digest()
				if d.HasArg("otherDigest") {
					digest++
				}
				return fmt.Sprintf("matches %t\n%s", c.Renew(registry.Renewal{
					ID: fleet.UpstreamID(id), Incarnation: fleet.Incarnation(incarnation), Sequence: uint64(sequence),
					Digest: digest, LastHeartbeat: clock.Now(),
				}), formatCatalog(c, clock))
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

func parseEntry(t *testing.T, d *datadriven.TestData, now time.Time) registry.Entry {
	var id, address, state string
	p := "p"
	d.MaybeScanArgs(t, "pool", &p)
	var incarnation, sequence int
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "at", &address)
	d.ScanArgs(t, "state", &state)
	d.ScanArgs(t, "born", &incarnation)
	d.ScanArgs(t, "sequence", &sequence)
	s, err := fleet.ParseEnum[registry.State](state, 4)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return registry.Entry{
		ID: fleet.UpstreamID(id), Address: address, State: s, Incarnation: fleet.Incarnation(incarnation),
		Sequence: uint64(sequence), Pool: fleet.PoolID(p), LastHeartbeat: now,
	}
}

func formatDelta(n catalog.Delta, clock *fakeclock.Clock) string {
	slices.SortFunc(n.Renewals, func(a, b registry.Renewal) int { return strings.Compare(string(a.ID), string(b.ID)) })
	b := formatEntries(n.Entries, clock)
	for _, s := range n.Renewals {
		b += fmt.Sprintf("renewal of %s born %d sequence %d\n", s.ID, s.Incarnation, s.Sequence)
	}
	return b + fmt.Sprintf("revision %d\n", n.Revision)
}

func formatCatalog(c *catalog.Catalog, clock *fakeclock.Clock) string {
	return formatEntries(c.All(time.Hour), clock)
}

func formatEntries(es []registry.Entry, clock *fakeclock.Clock) string {
	slices.SortFunc(es, func(a, b registry.Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	var b strings.Builder
	for _, e := range es {
		fmt.Fprintf(&b, "%s at %s born %d sequence %d %s, heard %s ago\n",
			e.ID, e.Address, e.Incarnation, e.Sequence, e.State, clock.Now().Sub(e.LastHeartbeat))
	}
	return b.String()
}
