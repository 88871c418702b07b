package ledger

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// faultyProposer is a quorum.Proposer over in-process replicas. It drops commands
// and replies, applies commands late or twice, and restarts replicas from
// snapshots. With noFaults it applies every command exactly once, but still
// restarts replicas.
type faultyProposer struct {
	t        *testing.T
	random   *rand.Rand
	noFaults bool
	replicas []*Machine
	delayed  [][]byte
	history  [][]byte
}

func newFaultyProposer(t *testing.T, seed int64) *faultyProposer {
	f := &faultyProposer{t: t, random: rand.New(rand.NewSource(seed))}
	for range 3 {
		f.replicas = append(f.replicas, New())
	}
	return f
}

func (f *faultyProposer) Propose(_ context.Context, _ quorum.GroupID, command []byte) ([]byte, error) {
	if f.noFaults {
		return f.apply(command), nil
	}
	f.applyDelayed(3)
	f.history = append(f.history, command)
	switch f.random.Intn(7) {
	case 0:
		f.history = f.history[:len(f.history)-1]
		return nil, refusal.New(refusal.NotReady, "no leader")
	case 1:
		f.apply(command)
		return nil, refusal.New(refusal.OutcomeUnknown, "reply lost")
	case 2:
		f.delayed = append(f.delayed, command)
		return nil, refusal.New(refusal.OutcomeUnknown, "leader lost")
	case 3:
		f.apply(command)
	case 4:
		f.apply(f.history[f.random.Intn(len(f.history))])
	}
	return f.apply(command), nil
}

func (f *faultyProposer) Read(_ context.Context, _ quorum.GroupID, query []byte) ([]byte, error) {
	return f.replicas[f.random.Intn(len(f.replicas))].Query(query), nil
}

// applyDelayed applies each delayed command with a probability of 1/n.
func (f *faultyProposer) applyDelayed(n int) {
	stillDelayed := f.delayed[:0]
	for _, c := range f.delayed {
		if f.random.Intn(n) > 0 {
			stillDelayed = append(stillDelayed, c)
			continue
		}
		f.apply(c)
	}
	f.delayed = stillDelayed
}

func (f *faultyProposer) apply(command []byte) []byte {
	var reply []byte
	for _, m := range f.replicas {
		reply = m.Apply(0, command)
	}
	if f.random.Intn(20) == 0 {
		f.restart(f.random.Intn(len(f.replicas)))
	}
	return reply
}

func (f *faultyProposer) restart(i int) {
	data, err := f.replicas[i].Snapshot()
	if err != nil {
		f.t.Fatal(err)
	}
	f.replicas[i] = New()
	if err := f.replicas[i].Restore(data); err != nil {
		f.t.Fatal(err)
	}
}

// manualClock is a clock that tests set through offset. Its timers fire at once.
type manualClock struct{ offset time.Duration }

func (c *manualClock) Now() time.Time { return fakeclock.Start.Add(c.offset) }

func (c *manualClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}
