// Package footprint measures the resource usage of idle daemons, which run as real
// processes, by the number of daemons and upstreams.
package footprint

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/trial/failure"
	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
)

const (
	settleTime    = 5 * time.Second
	measurePeriod = 10 * time.Second
	// clockTicksPerSecond is the resolution of CPU times in /proc on Linux.
	clockTicksPerSecond = 100
)

// counters holds the CPU time of a daemon in seconds and its gossip traffic in bytes,
// both since its start.
type counters struct{ cpu, sent, received float64 }

// resourceUsage sums the usage of the daemons of one role: CPU time in percent of a
// core, resident memory in MB, and sent and received gossip in bytes per second.
type resourceUsage struct{ daemons, cpu, memory, sent, received float64 }

// BenchmarkIdle reports, as means over the voters and over the other daemons, the CPU
// time in percent of a core, the resident memory in MB and the gossip traffic in
// bytes per second.
func BenchmarkIdle(b *testing.B) {
	bin := buildPrograms(b)
	for _, size := range []failure.Size{
		{DataCentres: 3, Daemons: 3, Engines: 6, Services: 3},
		{DataCentres: 3, Daemons: 6, Engines: 6, Services: 3},
		{DataCentres: 3, Daemons: 12, Engines: 6, Services: 3},
		{DataCentres: 3, Daemons: 12, Engines: 40, Services: 3},
		{DataCentres: 3, Daemons: 24, Engines: 40, Services: 3},
	} {
		b.Run(fmt.Sprintf("daemons=%d/upstreams=%d", size.Daemons, size.Engines+size.Services), func(b *testing.B) {
			for range b.N {
				measureIdle(b, bin, size)
			}
		})
	}
}

// buildPrograms compiles the programs into a temporary folder and returns its path.
func buildPrograms(b *testing.B) string {
	b.Helper()
	bin := b.TempDir()
	cmd := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./cmd/...")
	cmd.Dir = filepath.Join("..", "..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

func measureIdle(b *testing.B, bin string, size failure.Size) {
	b.Helper()
	r, err := failure.Start(bin, b.TempDir(), size, 1)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	time.Sleep(settleTime)
	before := make(map[string]counters)
	for _, d := range r.Daemons() {
		before[d.Spec.ID] = readCounters(b, d)
	}
	time.Sleep(measurePeriod)
	usage := map[string]*resourceUsage{"voter": {}, "other": {}}
	for _, d := range r.Daemons() {
		role := "other"
		if d.Spec.Voter != 0 {
			role = "voter"
		}
		usage[role].add(before[d.Spec.ID], readCounters(b, d), residentMemory(b, d))
	}
	for role, c := range usage {
		if c.daemons > 0 {
			b.ReportMetric(c.cpu/c.daemons, role+"-%core")
			b.ReportMetric(c.memory/c.daemons, role+"-MB")
			b.ReportMetric(c.sent/c.daemons, role+"-sentB/s")
			b.ReportMetric(c.received/c.daemons, role+"-receivedB/s")
		}
	}
}

func (c *resourceUsage) add(before, after counters, residentMB float64) {
	c.daemons++
	c.cpu += (after.cpu - before.cpu) / measurePeriod.Seconds() * 100
	c.sent += (after.sent - before.sent) / measurePeriod.Seconds()
	c.received += (after.received - before.received) / measurePeriod.Seconds()
	c.memory += residentMB
}

func readCounters(b *testing.B, d *processes.Daemon) counters {
	b.Helper()
	sent, err := d.Metric("bilberryrock_gossip_sent_bytes_total")
	if err != nil {
		b.Fatal(err)
	}
	received, err := d.Metric("bilberryrock_gossip_received_bytes_total")
	if err != nil {
		b.Fatal(err)
	}
	return counters{cpu: cpuTime(b, d), sent: sent, received: received}
}

// cpuTime returns the user and system CPU time of the process in seconds.
func cpuTime(b *testing.B, d *processes.Daemon) float64 {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID()))
	if err != nil {
		b.Fatal(err)
	}
	// The first field after the program name in parentheses is the third one, the
	// state; user and system time are the 14th and 15th.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		b.Fatal(err)
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	if err != nil {
		b.Fatal(err)
	}
	return (user + system) / clockTicksPerSecond
}

// residentMemory returns the resident memory in MB.
func residentMemory(b *testing.B, d *processes.Daemon) float64 {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.PID()))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
	if err != nil {
		b.Fatal(err)
	}
	return pages * float64(os.Getpagesize()) / 1e6
}
