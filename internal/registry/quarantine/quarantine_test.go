package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/registry/quarantine"
)

// verdictDelay is the longest time after which a verdict must stand once the records
// allow it.
const verdictDelay = time.Second

// TestScripts guards against parts that crash engines and are not found, and against sound
// parts that are quarantined because their requests are cut off by crashes that other
// requests cause. A script has two gateways, a and b, and requests as lists of parts:
//
//	crash gateway engine... : parts   the engines crash under requests with the parts
//	progress gateway : parts          an engine responds
//	exchange                          the gateways merge their records until nothing changes
//	advance duration
//	find parts                        the quarantined part at each gateway
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		clock := fakeclock.New(fakeclock.Start)
		tables := map[string]*quarantine.Table{}
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "gateways" {
				clock = fakeclock.New(fakeclock.Start)
				tables["a"], tables["b"] = quarantine.New(clock, zap.NewNop()), quarantine.New(clock, zap.NewNop())
				return ""
			}
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				out.WriteString(execute(t, d, clock, tables, line))
			}
			return out.String()
		})
	})
}

func execute(t *testing.T, d *datadriven.TestData, clock *fakeclock.Clock, tables map[string]*quarantine.Table, line string) string {
	command, parts, _ := strings.Cut(line, ":")
	fields := strings.Fields(command)
	prompt := partIDs(strings.Fields(parts)...)
	switch fields[0] {
	case "crash":
		for _, e := range fields[2:] {
			tables[fields[1]].RecordCrash("pool", prompt, quarantine.HashEngine(fleet.UpstreamID(e), 1))
		}
	case "progress":
		tables[fields[1]].RecordProgress("pool", prompt)
	case "exchange":
		exchange(tables["a"], tables["b"])
	case "advance":
		n, err := time.ParseDuration(fields[1])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		clock.Advance(n)
	case "find":
		a, _ := tables["a"].Find("pool", partIDs(fields[1:]...))
		b, _ := tables["b"].Find("pool", partIDs(fields[1:]...))
		return fmt.Sprintf("%s: a %q, b %q\n", strings.Join(fields[1:], " "), a, b)
	default:
		d.Fatalf(t, "unknown command %q", line)
	}
	return ""
}

func partIDs(names ...string) []fleet.PromptPartID {
	var ids []fleet.PromptPartID
	for _, n := range names {
		ids = append(ids, fleet.PromptPartID(n))
	}
	return ids
}

func exchange(a, b *quarantine.Table) {
	for range 3 {
		ra, _ := a.Delta(0)
		b.Merge(ra)
		rb, _ := b.Delta(0)
		a.Merge(rb)
	}
}

// Guards against memory that grows with the prompts that clients send.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	clock := fakeclock.New(fakeclock.Start)
	table := quarantine.New(clock, zap.NewNop())
	bad := partIDs("bad")
	for i := range 40 {
		table.RecordCrash("pool", bad, quarantine.Engine(i))
	}
	for i := range 2000 {
		table.RecordCrash("pool", partIDs(fmt.Sprint(i)), quarantine.Engine(i))
	}
	records, revision := table.Delta(0)
	is.Equal(len(records), 256)
	for _, r := range records {
		is.True(len(r.Crashes) <= 32)
	}
	clock.Advance(verdictDelay)
	_, found := table.Find("pool", bad)
	is.True(found) // records with few crashes make room
	unchanged, _ := table.Delta(revision)
	is.Equal(len(unchanged), 0)
	clock.Advance(time.Hour)
	_, found = table.Find("pool", bad)
	is.True(!found)
	records, _ = table.Delta(0)
	is.Equal(len(records), 0)
}

// Guards against crashes that are never forgotten by a table that only passes records on,
// and against forgotten ones that leave no room for those of today.
func TestCrashesExpire(t *testing.T) {
	is := is.New(t)
	clock := fakeclock.New(fakeclock.Start)
	table := quarantine.New(clock, zap.NewNop())
	bad := partIDs("bad")
	for i := range 31 {
		table.RecordCrash("pool", bad, quarantine.Engine(i))
	}
	clock.Advance(9 * time.Minute)
	table.RecordCrash("pool", bad, 31)
	clock.Advance(2 * time.Minute)
	records, revision := table.Delta(0)
	is.Equal(len(records[0].Crashes), 1)
	table.RecordCrash("pool", bad, 32)
	table.RecordCrash("pool", bad, 33)
	records, _ = table.Delta(revision)
	is.Equal(len(records[0].Crashes), 3)
	clock.Advance(time.Hour)
	records, _ = table.Delta(0)
	is.Equal(len(records), 0)
}

// BenchmarkRequest measures what a sound request costs while the table is full: two
// checks of its parts, and the record of its progress.
func BenchmarkRequest(b *testing.B) {
	table := quarantine.New(fakeclock.New(fakeclock.Start), zap.NewNop())
	for i := range 256 {
		for e := range 32 {
			table.RecordCrash("pool", partIDs(fmt.Sprint("bad", i)), quarantine.Engine(i+e))
		}
	}
	prompts := make([][]fleet.PromptPartID, 3000)
	for i := range prompts {
		prompts[i] = partIDs(fmt.Sprint("first", i%40), fmt.Sprint("second", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p := prompts[i%len(prompts)]
		table.Find("pool", p)
		table.Find("pool", p)
		table.RecordProgress("pool", p)
	}
}
