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

// noopMachine is a state machine without state, so that the benchmarks measure only
// the log.
type noopMachine struct{}

func (noopMachine) Apply(quorum.Index, []byte) []byte { return nil }
func (noopMachine) Snapshot() ([]byte, error)         { return nil, nil }
func (noopMachine) Restore([]byte) error              { return nil }
func (noopMachine) Query([]byte) []byte               { return nil }

func newBenchCluster(b *testing.B) (*testCluster, *Client) {
	tc := newTestCluster(b, 3)
	tc.machine = func() quorum.QueryableStateMachine { return noopMachine{} }
	for i := range 3 {
		tc.start(i)
	}
	c, err := NewClient(Instance("client", ""), InitialVoters(tc.peers...))
	tc.is.NoErr(err)
	b.Cleanup(c.Close)
	_, err = c.Propose(context.Background(), quorum.ConfigGroup, make([]byte, 256))
	tc.is.NoErr(err)
	return tc, c
}

// BenchmarkLatency measures sequential proposals to three voters on the loopback
// interface, with real syncs.
func BenchmarkLatency(b *testing.B) {
	tc, c := newBenchCluster(b)
	command := make([]byte, 256)
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for b.Loop() {
		start := time.Now()
		_, err := c.Propose(context.Background(), quorum.ConfigGroup, command)
		tc.is.NoErr(err)
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkProposals measures concurrent proposals from many callers.
func BenchmarkProposals(b *testing.B) {
	for _, callers := range []int{16, 256} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			_, c := newBenchCluster(b)
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

// BenchmarkReads measures sequential reads, each confirmed by a majority.
func BenchmarkReads(b *testing.B) {
	tc, c := newBenchCluster(b)
	for b.Loop() {
		_, err := c.Read(context.Background(), quorum.ConfigGroup, nil)
		tc.is.NoErr(err)
	}
}

// BenchmarkRestart measures the start of a replica whose journal holds 1,000
// entries, on a real disk.
func BenchmarkRestart(b *testing.B) {
	c := memberConfig{
		group: "bench", machine: noopMachine{}, disk: journal.OS{}, dir: b.TempDir(),
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

// BenchmarkElection measures the time from the loss of a leader to the election of
// the next one, in election timeouts, over a network without delay.
func BenchmarkElection(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprint("voters=", voters), func(b *testing.B) {
			h := hdrhistogram.New(1, 1000, 3)
			seed := uint64(0)
			for b.Loop() {
				seed++
				sim := newSimulation(seed, voters)
				ticksToLeader(sim)
				sim.leader().kill(false)
				_ = h.RecordValue(int64(ticksToLeader(sim)))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/electionTicks, "p50-timeouts")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/electionTicks, "p99-timeouts")
		})
	}
}

// ticksToLeader runs the simulation until a leader is elected, and returns the
// number of ticks.
func ticksToLeader(sim *simulation) int {
	for n := 1; ; n++ {
		sim.tickAll()
		sim.deliverAll()
		if sim.leader() != nil {
			return n
		}
	}
}
