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

// faulty is a proposer over replicas in process. It loses commands and replies,
// applies commands late or twice, and restarts replicas from snapshots. With
// calm it only applies commands.
type faulty struct {
	t        *testing.T
	random   *rand.Rand
	calm     bool
	replicas []*Machine
	late     [][]byte
	past     [][]byte
}

func newFaulty(t *testing.T, seed int64) *faulty {
	f := &faulty{t: t, random: rand.New(rand.NewSource(seed))}
	for range 3 {
		f.replicas = append(f.replicas, New())
	}
	return f
}

func (f *faulty) Propose(_ context.Context, _ quorum.GroupID, command []byte) ([]byte, error) {
	if f.calm {
		return f.apply(command), nil
	}
	f.settle(3)
	f.past = append(f.past, command)
	switch f.random.Intn(7) {
	case 0:
		f.past = f.past[:len(f.past)-1]
		return nil, refusal.New(refusal.NotReady, "no leader")
	case 1:
		f.apply(command)
		return nil, refusal.New(refusal.OutcomeUnknown, "reply lost")
	case 2:
		f.late = append(f.late, command)
		return nil, refusal.New(refusal.OutcomeUnknown, "leader lost")
	case 3:
		f.apply(command)
	case 4:
		f.apply(f.past[f.random.Intn(len(f.past))])
	}
	return f.apply(command), nil
}

func (f *faulty) Read(_ context.Context, _ quorum.GroupID, query []byte) ([]byte, error) {
	return f.replicas[f.random.Intn(len(f.replicas))].Query(query), nil
}

// settle applies each late command with a chance of one in n.
func (f *faulty) settle(n int) {
	kept := f.late[:0]
	for _, c := range f.late {
		if f.random.Intn(n) > 0 {
			kept = append(kept, c)
			continue
		}
		f.apply(c)
	}
	f.late = kept
}

func (f *faulty) apply(command []byte) []byte {
	var reply []byte
	for _, m := range f.replicas {
		reply = m.Apply(0, command)
	}
	if f.random.Intn(20) == 0 {
		f.restart(f.random.Intn(len(f.replicas)))
	}
	return reply
}

func (f *faulty) restart(i int) {
	data, err := f.replicas[i].Snapshot()
	if err != nil {
		f.t.Fatal(err)
	}
	f.replicas[i] = New()
	if err := f.replicas[i].Restore(data); err != nil {
		f.t.Fatal(err)
	}
}

// movingClock does not wait.
type movingClock struct{ offset time.Duration }

func (c *movingClock) Now() time.Time { return fakeclock.Start.Add(c.offset) }

func (c *movingClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}
