package overhead_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/trial/overhead"
)

// BenchmarkOverhead reports the overhead of the daemon compared with direct calls to
// the same stand-ins. The goals at 64 streams are lost% below 10 and add-p99-ms below
// 1. One iteration is one comparison, so -benchtime 1x is enough.
func BenchmarkOverhead(b *testing.B) {
	bin := b.TempDir()
	cmd := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./cmd/...")
	cmd.Dir = filepath.Join("..", "..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	r, err := overhead.Start(bin, b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	for _, w := range []struct {
		name string
		kind overhead.Kind
	}{{"completions", overhead.Completions}, {"lookups", overhead.Lookups}, {"slowLookups", overhead.SlowLookups}} {
		for _, streams := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("%s/streams=%d", w.name, streams), func(b *testing.B) {
				for b.Loop() {
					c, err := r.Compare(b.Context(), w.kind, streams)
					if err != nil {
						b.Fatal(err)
					}
					report(b, w.kind, c)
				}
			})
		}
	}
}

func report(b *testing.B, kind overhead.Kind, c overhead.Comparison) {
	b.ReportMetric(c.Direct.Throughput(), "direct/s")
	b.ReportMetric(c.Daemon.Throughput(), "daemon/s")
	b.ReportMetric(100*c.ThroughputLoss(), "lost%")
	for _, p := range []float64{50, 95, 99} {
		b.ReportMetric(milliseconds(c.AddedLatency(p)), fmt.Sprintf("add-p%v-ms", p))
		if kind == overhead.Completions {
			b.ReportMetric(milliseconds(c.AddedTokenInterval(p)), fmt.Sprintf("token-add-p%v-ms", p))
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
