package trail

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/matryer/is"
)

// TestTeams guards against showing a team the record of another.
func TestTeams(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Open("1", "shop", "felt")
	l.Add("1", report.Entry{Chosen: "upstream a"})
	l.Open("1", "stall", "wool") // an existing record keeps its account and team
	l.Open("2", "", "")
	r, ok := l.FindForTeam("felt", "1")
	is.True(ok)
	is.Equal(r.Account, fleet.AccountID("shop"))
	is.Equal(len(r.Entries), 1)
	for _, team := range []fleet.TeamID{"wool", ""} {
		_, ok = l.FindForTeam(team, "1")
		is.True(!ok)
		_, ok = l.FindForTeam(team, "2")
		is.True(!ok)
	}
	r.Entries[0].Chosen = "changed"
	r, _ = l.Find("1")
	is.Equal(r.Entries[0].Chosen, "upstream a") // Find returns a copy
}

// TestBounds guards against memory that grows with the number of requests, with
// the length of one request or with the length of a text.
func TestBounds(t *testing.T) {
	is := is.New(t)
	l := New(WithMaxBytes(1 << 20))
	for i := range 20000 {
		id := fmt.Sprint(i)
		l.Open(id, "a", "t")
		l.Add(id, report.Entry{Component: "routing", Chosen: strings.Repeat("x", i%2000)})
	}
	newest, ok := l.Find("19999")
	is.True(ok)
	is.Equal(len(newest.Entries[0].Chosen), MaxTextBytes+len("..."))
	_, ok = l.Find("0")
	is.True(!ok)
	kept := 0
	for i := range l.shards {
		s := &l.shards[i]
		kept += s.size
		sum := 0
		for _, r := range s.records {
			sum += r.bytes
		}
		is.Equal(sum, s.bytes)
		is.Equal(s.size, len(s.records))
		is.True(s.bytes <= s.limit)
	}
	is.True(kept > 500) // the bound is used

	long := New()
	long.Open("long", "a", "t")
	for i := range 1000 {
		long.Add("long", report.Entry{Chosen: fmt.Sprint(i)})
	}
	kept = long.shardOf("long").bytes
	sum := recordOverheadBytes + 2*len("long") + len("a") + len("t")
	for _, e := range long.shardOf("long").records["long"].Entries {
		sum += sizeOf(e)
	}
	is.Equal(kept, sum)
	r, _ := long.Find("long")
	is.Equal(len(r.Entries), MaxEntries+1)
	is.Equal(r.Entries[headEntries-1].Chosen, "15")
	is.Equal(r.Entries[headEntries].Chosen, "936 entries before this one were dropped")
	is.Equal(r.Entries[headEntries+1].Chosen, "952")
	is.Equal(r.Entries[MaxEntries].Chosen, "999")
	long.Add("unknown", report.Entry{})
	_, ok = long.Find("unknown")
	is.True(!ok)
}

// TestConcurrent guards against lost entries and races between requests.
func TestConcurrent(t *testing.T) {
	l := New()
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			for i := range 200 {
				id := fmt.Sprint(w, "-", i)
				l.Open(id, "a", "t")
				l.Add(id, report.Entry{Chosen: "x"})
				l.Add("0-0", report.Entry{Chosen: "y"})
				if r, ok := l.Find(id); !ok || len(r.Entries) == 0 {
					t.Errorf("record %s has no entry", id)
				}
			}
		})
	}
	group.Wait()
}

// BenchmarkRecord measures the cost of a request with six decisions.
func BenchmarkRecord(b *testing.B) {
	l := New()
	e := report.Entry{Component: "routing", Known: "load 120 ms old", Alternatives: "w3 0.41, w17 0.47", Chosen: "w3", Reason: "lowest score"}
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprintf("%032x", i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		id := ids[n&(len(ids)-1)]
		n++
		l.Open(id, "parish-office", "grayling")
		for range 6 {
			l.Add(id, e)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	kept := 0
	for i := range l.shards {
		kept += l.shards[i].size
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(kept), "B/record")
	runtime.KeepAlive(ids)
}
