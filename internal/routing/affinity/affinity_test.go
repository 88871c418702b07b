package affinity_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/routing/affinity"
)

var prompt = []uint64{11, 12, 13, 14}

// share returns the share of the prompt that t shows for s.
func share(t *affinity.Table, s *affinity.Source, now time.Duration) float64 {
	var found [affinity.MaxHolders]affinity.Holder
	for _, h := range found[:t.Find(prompt, int64(now), &found)] {
		if h.Source == s {
			return h.Share
		}
	}
	return 0
}

// Guards against a table that stays certain after events were lost, that takes
// late events for new ones, or that keeps what an engine dropped.
func TestEvents(t *testing.T) {
	is := is.New(t)
	var table affinity.Table
	s := affinity.NewSource("u")
	now := time.Second
	apply := func(sequence uint64, e affinity.Event) {
		now += time.Millisecond
		e.Sequence = sequence
		table.Apply(s, e, int64(now))
	}
	is.Equal(share(&table, s, now), 0.0)
	apply(1, affinity.Event{Stored: prompt})
	is.True(share(&table, s, now) > 0.99)
	apply(5, affinity.Event{Stored: []uint64{99}}) // 2 to 4 are lost
	is.True(share(&table, s, now) < 0.51)
	apply(3, affinity.Event{Removed: prompt}) // late
	is.True(share(&table, s, now) > 0.49)
	apply(6, affinity.Event{Stored: prompt})
	is.True(share(&table, s, now) > 0.99)
	apply(7, affinity.Event{Removed: []uint64{14}})
	is.True(share(&table, s, now) > 0.49 && share(&table, s, now) < 0.51) // half of the prompt is left
	apply(8, affinity.Event{Cleared: true})
	is.Equal(share(&table, s, now), 0.0)
	table.Note(s, prompt, int64(now))
	is.True(share(&table, s, now) > 0.99)
	is.True(share(&table, s, now+2*time.Minute) < 0.51) // not confirmed for long
	s.Release()
	is.Equal(share(&table, s, now), 0.0)
}

// Guards against prompts that share a prefix and not its hashes, or the reverse.
func TestChain(t *testing.T) {
	is := is.New(t)
	a := affinity.Chain(nil, []uint64{1, 2, 3, 4, 5, 6, 7}, 2)
	b := affinity.Chain(nil, []uint64{1, 2, 3, 4, 9, 6}, 2)
	is.Equal(len(a), 3) // the last token is not a whole block
	is.Equal(a[:2], b[:2])
	is.True(a[2] != b[2])
}

// Guards against a table that grows with the prompts that it has seen.
func TestBoundedAndNewestKept(t *testing.T) {
	is := is.New(t)
	var table affinity.Table
	s := affinity.NewSource("u")
	for i := range uint64(500000) {
		table.Note(s, []uint64{1000 + i*2654435761}, int64(i))
	}
	table.Note(s, prompt, 500000)
	is.True(share(&table, s, 500000) > 0.99)
}
