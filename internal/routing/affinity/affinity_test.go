package affinity_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/routing/affinity"
)

var prompt = []uint64{11, 12, 13, 14}

// share returns the share of the prompt that t reports for s.
func share(t *affinity.Table, s *affinity.Cache, now time.Duration) float64 {
	var found [affinity.MaxHolders]affinity.Holder
	for _, h := range found[:t.Find(prompt, int64(now), &found)] {
		if h.Cache == s {
			return h.Share
		}
	}
	return 0
}

// Guards against full confidence after lost events, against late events that are
// applied, and against entries that remain after the engine evicted them.
func TestEvents(t *testing.T) {
	is := is.New(t)
	var table affinity.Table
	s := affinity.NewCache("u")
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
	is.True(share(&table, s, now) > 0.49 && share(&table, s, now) < 0.51) // half of the prompt matches
	apply(8, affinity.Event{Cleared: true})
	is.Equal(share(&table, s, now), 0.0)
	table.RecordUse(s, prompt, int64(now))
	is.True(share(&table, s, now) > 0.99)
	is.True(share(&table, s, now+2*time.Minute) < 0.51) // one half-life without confirmation
	s.Invalidate()
	is.Equal(share(&table, s, now), 0.0)
}

// Guards against different hashes for a common prefix, and against equal hashes for
// different prefixes.
func TestChain(t *testing.T) {
	is := is.New(t)
	a := affinity.Chain(nil, []uint64{1, 2, 3, 4, 5, 6, 7}, 2)
	b := affinity.Chain(nil, []uint64{1, 2, 3, 4, 9, 6}, 2)
	is.Equal(len(a), 3) // the last token does not fill a block
	is.Equal(a[:2], b[:2])
	is.True(a[2] != b[2])
}

// Guards against a table that grows with the number of prompts seen, or that does
// not replace old entries.
func TestBoundedAndNewestKept(t *testing.T) {
	is := is.New(t)
	var table affinity.Table
	s := affinity.NewCache("u")
	for i := range uint64(500000) {
		table.RecordUse(s, []uint64{1000 + i*2654435761}, int64(i))
	}
	table.RecordUse(s, prompt, 500000)
	is.True(share(&table, s, 500000) > 0.99)
}
