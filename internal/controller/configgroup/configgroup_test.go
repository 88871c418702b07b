package configgroup_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/controller/configgroup"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/departure"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

// machine is a replica of the config group.
type machine struct {
	*configgroup.Machine
	releases  *store.Store
	announced []string
}

func newMachine() *machine {
	m := &machine{releases: store.New()}
	m.Machine = configgroup.New(m.releases, departure.New(func(e registry.Entry) {
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
		m := newMachine()
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
				for i := first; i <= last; i++ {
					m.depart(t, d, i, state)
				}
				if d.HasArg("quiet") {
					m.announced = nil
				}
			case "restore":
				b, err := m.Snapshot()
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				m = newMachine()
				if err := m.Restore(b); err != nil {
					return err.Error() + "\n"
				}
				if d.HasArg("count") {
					n := len(m.announced)
					m.announced = []string{m.announced[0], fmt.Sprint(n, " departures")}
				}
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

func (m *machine) depart(t *testing.T, d *datadriven.TestData, i int, s registry.State) {
	command, err := configgroup.DepartureCommand(registry.Entry{ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Incarnation: 7, State: s})
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	m.Apply(1, command)
}
