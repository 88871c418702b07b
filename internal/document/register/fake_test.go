package register

import (
	"context"
	"math/rand"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// faultyProposer is a proposer for three replicas in the test process. It loses
// commands and replies, applies commands late or twice, and restarts replicas from
// snapshots.
type faultyProposer struct {
	t        *testing.T
	random   *rand.Rand
	replicas []*Register
	delayed  [][]byte
}

func newFaultyProposer(t *testing.T, seed int64) *faultyProposer {
	f := &faultyProposer{t: t, random: rand.New(rand.NewSource(seed))}
	for range 3 {
		f.replicas = append(f.replicas, New())
	}
	return f
}

func (f *faultyProposer) Propose(_ context.Context, _ quorum.GroupID, command []byte) ([]byte, error) {
	f.applyDelayed(3)
	switch f.random.Intn(6) {
	case 0:
		return nil, refusal.New(refusal.NotReady, "no leader")
	case 1:
		f.apply(command)
		return nil, refusal.New(refusal.OutcomeUnknown, "reply lost")
	case 2:
		f.delayed = append(f.delayed, command)
		return nil, refusal.New(refusal.OutcomeUnknown, "leader lost")
	case 3:
		f.apply(command)
	}
	return f.apply(command), nil
}

func (f *faultyProposer) Read(_ context.Context, _ quorum.GroupID, query []byte) ([]byte, error) {
	return f.replicas[f.random.Intn(len(f.replicas))].Query(query), nil
}

// applyDelayed applies each delayed command with a probability of 1/n.
func (f *faultyProposer) applyDelayed(n int) {
	kept := f.delayed[:0]
	for _, c := range f.delayed {
		if f.random.Intn(n) > 0 {
			kept = append(kept, c)
			continue
		}
		f.apply(c)
	}
	f.delayed = kept
}

func (f *faultyProposer) apply(command []byte) []byte {
	var reply []byte
	for _, r := range f.replicas {
		reply = r.Apply(0, command)
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
