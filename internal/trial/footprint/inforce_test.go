package footprint

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberryrock/bilberryrock/internal/trial/failure"
)

// BenchmarkInForce reports the time from the response to a submission until the
// revision is active on all of 12 daemons in three data centres. The time includes
// the status queries to all of them.
func BenchmarkInForce(b *testing.B) {
	size := failure.Size{DataCentres: 3, Daemons: 12, Engines: 6, Services: 3}
	r, err := failure.Start(buildPrograms(b), b.TempDir(), size, 1)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for b.Loop() {
		if err := r.Execute("submit d"); err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		if err := r.AwaitActiveRevision(time.Minute); err != nil {
			b.Fatal(err)
		}
		if err := histogram.RecordValue(time.Since(accepted).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	for name, quantile := range map[string]float64{"p50-ms": 50, "p99-ms": 99} {
		b.ReportMetric(float64(histogram.ValueAtQuantile(quantile))/1000, name)
	}
}
