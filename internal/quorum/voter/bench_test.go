package voter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
)

// nothing is a state machine without state, so that the benchmarks measure the
// log alone.
type nothing struct{}

func (nothing) Apply(quorum.Index, []byte) []byte { return nil }
func (nothing) Snapshot() ([]byte, error)         { return nil, nil }
func (nothing) Restore([]byte) error              { return nil }
func (nothing) Query([]byte) []byte               { return nil }

func benchSite(b *testing.B) (*site, *Client) {
	s := newSite(b, 3)
	s.machine = func() quorum.Reader { return nothing{} }
	for i := range 3 {
		s.start(i)
	}
	c, err := NewClient(Instance("client", ""), Initial(s.peers...))
	s.is.NoErr(err)
	b.Cleanup(c.Close)
	_, err = c.Propose(context.Background(), quorum.ConfigGroup, make([]byte, 256))
	s.is.NoErr(err)
	return s, c
}

// BenchmarkLatency measures one proposal at a time over three voters on loopback
// with real syncs.
func BenchmarkLatency(b *testing.B) {
	s, c := benchSite(b)
	command := make([]byte, 256)
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for b.Loop() {
		start := time.Now()
		_, err := c.Propose(context.Background(), quorum.ConfigGroup, command)
		s.is.NoErr(err)
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkProposals measures proposals from many callers at once.
func BenchmarkProposals(b *testing.B) {
	for _, callers := range []int{16, 256} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			_, c := benchSite(b)
			command := make([]byte, 256)
			b.SetParallelism(max(1, callers/10))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_, err := c.Propose(context.Background(), quorum.ConfigGroup, command)
					if err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

// BenchmarkReads measures reads that a majority confirms, one at a time.
func BenchmarkReads(b *testing.B) {
	s, c := benchSite(b)
	for b.Loop() {
		_, err := c.Read(context.Background(), quorum.ConfigGroup, nil)
		s.is.NoErr(err)
	}
}

// BenchmarkRestart measures the start of a replica whose journal holds 1,000
// entries, on a real disk.
func BenchmarkRestart(b *testing.B) {
	c := memberConfig{
		group: "bench", machine: nothing{}, disk: journal.OS{}, dir: b.TempDir(),
		options: replica.Options{ID: 1}, initial: []replica.Voter{{ID: 1}}, snapshotEntries: 10000, send: func(replica.Message) {},
	}
	m, err := openMember(c)
	if err != nil {
		b.Fatal(err)
	}
	for m.replica.Leader() != 1 {
		m.tick(1, 100)
		m.flush()
	}
	applied := 0
	for range 1000 {
		m.propose(make([]byte, 256), func([]byte, error) { applied++ })
		m.flush()
	}
	if applied != 1000 {
		b.Fatal("applied", applied)
	}
	_ = m.stop()
	for b.Loop() {
		m, err := openMember(c)
		if err != nil {
			b.Fatal(err)
		}
		m.flush()
		_ = m.stop()
	}
}

// BenchmarkElection measures the ticks from the loss of a leader to the next one,
// in election timeouts, over a network that delivers at once.
func BenchmarkElection(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprint("voters=", voters), func(b *testing.B) {
			h := hdrhistogram.New(1, 1000, 3)
			seed := uint64(0)
			for b.Loop() {
				seed++
				w := newWorld(seed, voters)
				ticksToLeader(w)
				w.leader().kill(false)
				_ = h.RecordValue(int64(ticksToLeader(w)))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/electionTicks, "p50-timeouts")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/electionTicks, "p99-timeouts")
		})
	}
}

func ticksToLeader(w *world) int {
	for n := 1; ; n++ {
		w.passTime()
		w.deliverAll()
		if w.leader() != nil {
			return n
		}
	}
}
