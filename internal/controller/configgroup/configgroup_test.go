package configgroup_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/controller/configgroup"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/departure"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

// machine is a replica of the config group.
type machine struct {
	*configgroup.Machine
	clock     *fakeclock.Clock
	releases  *store.Store
	announced []string
}

func newMachine(clock *fakeclock.Clock) *machine {
	m := &machine{clock: clock, releases: store.New()}
	m.Machine = configgroup.New(m.releases, departure.New(m.clock, func(e registry.Entry) {
		m.announced = append(m.announced, fmt.Sprintf("%s born %d %s", e.ID, e.Incarnation, e.State))
	}))
	return m
}

// describe returns the current release and the departures announced since the last call.
func (m *machine) describe(t *testing.T, d *datadriven.TestData) string {
	v, err := store.DecodeVersion(m.Query(nil))
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	lines := append([]string{fmt.Sprintf("release %d", v)}, m.announced...)
	m.announced = nil
	return strings.Join(lines, "\n") + "\n"
}

// TestScripts runs the scripts in testdata. The head of each file states which failure it
// guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		m := newMachine(fakeclock.New(fakeclock.Start))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "release":
				var version int
				d.ScanArgs(t, "version", &version)
				command, err := store.Command(release.Version(version), []byte("content"))
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				m.Apply(1, command)
			case "departures":
				first, last, state := 1, 1, registry.Gone
				d.MaybeScanArgs(t, "from", &first)
				d.MaybeScanArgs(t, "to", &last)
				if d.HasArg("leaving") {
					state = registry.Leaving
				}
				incarnation := fleet.Incarnation(7)
				if d.HasArg("withoutIncarnation") {
					incarnation = 0
				}
				for i := first; i <= last; i++ {
					m.depart(t, d, registry.Entry{ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Incarnation: incarnation, State: state})
				}
				if d.HasArg("quiet") {
					m.announced = nil
				}
			case "restore":
				b, err := m.Snapshot()
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				m = newMachine(m.clock)
				if err := m.Restore(b); err != nil {
					return err.Error() + "\n"
				}
				if d.HasArg("count") {
					n := len(m.announced)
					m.announced = []string{m.announced[0], fmt.Sprint(n, " departures")}
				}
			case "advance":
				var seconds int
				d.ScanArgs(t, "seconds", &seconds)
				m.clock.Advance(time.Duration(seconds) * time.Second)
			case "restoreBytes":
				if err := m.Restore([]byte(strings.ReplaceAll(d.Input, "0", "\x00"))); err != nil {
					return err.Error() + "\n"
				}
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			return m.describe(t, d)
		})
	})
}

func (m *machine) depart(t *testing.T, d *datadriven.TestData, e registry.Entry) {
	e.LastHeartbeat = m.clock.Now()
	command, err := configgroup.DepartureCommand(e)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	m.Apply(1, command)
}
