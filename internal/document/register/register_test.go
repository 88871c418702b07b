package register

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestScripts guards against lost or repeated changes, histories with entries of
// another team, and windows that are accepted too late.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		r := New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var team, change, at string
			base, limit := 0, 10
			d.MaybeScanArgs(t, "team", &team)
			d.MaybeScanArgs(t, "change", &change)
			d.MaybeScanArgs(t, "base", &base)
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "limit", &limit)
			switch d.Cmd {
			case "submit":
				s := document.Submission{Change: fleet.ChangeID(change), Team: fleet.TeamID(team), Operator: "op", Base: fleet.Revision(base), Text: d.Input, At: fakeclock.Start}
				if at != "" {
					s.At, _ = time.Parse(time.RFC3339, at)
				}
				o := r.Submit(s)
				return fmt.Sprintf("%v revision=%d repeated=%v %s\n", o.Verdict, o.Revision, o.Repeated, o.Reason)
			case "history":
				var out strings.Builder
				for _, a := range r.History(fleet.TeamID(team), limit) {
					fmt.Fprintf(&out, "%s %s base=%d %v %d\n%s", a.Team, a.Change, a.Base, a.Outcome.Verdict, a.Outcome.Revision, a.Difference)
				}
				return out.String()
			case "since":
				doc, full := r.ChangesSince(fleet.Revision(base))
				out := fmt.Sprintf("revision=%d full=%v", doc.Revision, full)
				for _, s := range doc.Sections {
					out += fmt.Sprintf(" %s@%d", s.Team, s.Revision)
				}
				return out + "\n"
			case "restart":
				data, err := r.Snapshot()
				if err != nil {
					return err.Error()
				}
				r = New()
				if err := r.Restore(data); err != nil {
					return err.Error()
				}
				return "ok\n"
			}
			return "unknown command"
		})
	})
}

// TestSchedules guards against diverging histories, revisions that decrease,
// change ids with two outcomes and false reports that a change was not applied,
// under lost, late and repeated commands and restarted replicas.
func TestSchedules(t *testing.T) {
	for seed := range int64(60) {
		runSchedule(t, seed)
	}
}

func runSchedule(t *testing.T, seed int64) {
	f := newFaultyProposer(t, seed)
	client := NewClient(f, quorum.ConfigGroup, instantClock{})
	client.maxProposals = 3
	ctx := context.Background()
	outcomes := make(map[string]document.Outcome)
	sent := make(map[string]document.Submission)
	mayBeApplied := make(map[fleet.ChangeID]bool) // false when every reply said that it was not applied
	highest := fleet.Revision(0)
	for n := range 60 {
		team := fleet.TeamID([]string{"felt", "wool"}[f.random.Intn(2)])
		s := document.Submission{Change: fleet.ChangeID(fmt.Sprint(n)), Team: team, Operator: "op", Text: "# " + fmt.Sprint(n)}
		if n > 0 && f.random.Intn(3) == 0 {
			s = sent[fmt.Sprint(f.random.Intn(n))] // an operator resends a change
		} else {
			s.Base = revisionOf(f.replicas[0].sections[team])
		}
		id := string(s.Change)
		sent[id] = s
		o, err := client.Submit(ctx, s)
		mayBeApplied[s.Change] = mayBeApplied[s.Change] || err == nil
		if err != nil || o.Verdict == document.Unknown {
			continue
		}
		o.Repeated = false
		if first, ok := outcomes[id]; ok && first != o {
			t.Fatalf("seed %d: change %s has outcomes %+v and %+v", seed, id, first, o)
		}
		outcomes[id] = o
		d, err := client.Document(ctx)
		if err != nil || d.Revision < highest {
			t.Fatalf("seed %d: revision went from %d to %d: %v", seed, highest, d.Revision, err)
		}
		highest = d.Revision
	}
	f.applyDelayed(1)
	checkReplicas(t, seed, f, sent, outcomes)
	for _, x := range f.replicas[0].teams {
		for id := range x.Changes {
			if !mayBeApplied[id] {
				t.Fatalf("seed %d: change %s was applied and reported as not applied", seed, id)
			}
		}
	}
}

// checkReplicas compares the replicas and replays the accepted submissions.
func checkReplicas(t *testing.T, seed int64, f *faultyProposer, sent map[string]document.Submission, outcomes map[string]document.Outcome) {
	first, _ := f.replicas[0].Snapshot()
	for _, r := range f.replicas[1:] {
		if data, _ := r.Snapshot(); string(data) != string(first) {
			t.Fatalf("seed %d: replicas differ:\n%s\n%s", seed, first, data)
		}
	}
	byRevision := make(map[fleet.Revision]document.AuditEntry)
	for _, team := range []fleet.TeamID{"felt", "wool"} {
		for _, a := range f.replicas[0].History(team, MaxPageEntries) {
			if a.Outcome.Verdict != document.Accepted {
				continue
			}
			if _, twice := byRevision[a.Outcome.Revision]; twice {
				t.Fatalf("seed %d: revision %d was made twice", seed, a.Outcome.Revision)
			}
			byRevision[a.Outcome.Revision] = a
		}
	}
	current := make(map[fleet.TeamID]fleet.Revision)
	for n := range len(byRevision) {
		a, ok := byRevision[fleet.Revision(n+1)]
		if !ok || a.Base != current[a.Team] {
			t.Fatalf("seed %d: revision %d is missing or has base %d instead of %d", seed, n+1, a.Base, current[a.Team])
		}
		current[a.Team] = a.Outcome.Revision
	}
	for id, o := range outcomes {
		if a := byRevision[o.Revision]; o.Verdict == document.Accepted && string(a.Change) != id {
			t.Fatalf("seed %d: accepted change %s is not in the history", seed, id)
		}
	}
	for _, s := range f.replicas[0].Document().Sections {
		if a := byRevision[s.Revision]; sent[string(a.Change)].Text != s.Text {
			t.Fatalf("seed %d: section of %s is not the text that was accepted", seed, s.Team)
		}
	}
}

// TestRetention guards against unbounded history and against a busy team that
// evicts the entries of another.
func TestRetention(t *testing.T) {
	is := is.New(t)
	r := New()
	quietSubmission := document.Submission{Change: "only", Team: "quiet", Text: "# x", At: fakeclock.Start}
	is.Equal(r.Submit(quietSubmission).Verdict, document.Accepted)
	for n := range MaxAuditEntries + 10 {
		r.Submit(document.Submission{Change: fleet.ChangeID(fmt.Sprint(n)), Team: "busy", Base: 9, Text: "#", At: fakeclock.Start})
	}
	is.True(r.auditEntries <= MaxAuditEntries)
	is.True(r.auditBytes <= MaxAuditBytes)
	is.True(r.changeIDs <= MaxChangeIDs)
	is.Equal(len(r.History("quiet", 5)), 1)
	is.True(r.Submit(quietSubmission).Repeated)
	data, err := r.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(data))
	is.Equal([]int{restored.auditEntries, restored.auditBytes, restored.changeIDs}, []int{r.auditEntries, r.auditBytes, r.changeIDs})
}

// TestBadText guards against a text that the JSON encoding alters and that is
// accepted in its altered form, and against a section that is too large.
func TestBadText(t *testing.T) {
	is := is.New(t)
	f := newFaultyProposer(t, 1)
	client := NewClient(f, quorum.ConfigGroup, instantClock{})
	o, err := client.Submit(context.Background(), document.Submission{Change: "c", Team: "t", Text: "# \xff"})
	for err != nil || o.Verdict == document.Unknown {
		o, err = client.Submit(context.Background(), document.Submission{Change: "c", Team: "t", Text: "# \xff"})
	}
	is.Equal(o.Verdict, document.Refused)
	is.True(utf8.ValidString(truncate("x" + strings.Repeat("\u00e9", maxReasonBytes))))
	o, err = client.Submit(context.Background(), document.Submission{Change: "d", Team: "t", Text: strings.Repeat("#", 4<<20)})
	is.NoErr(err)
	is.Equal(o.Verdict, document.Refused)
}

// FuzzApply guards against a command, query or snapshot that causes a panic, and
// against a state whose snapshot can't be restored.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"version":1,"submission":{"change":"c","team":"t","text":"#","at":"2026-01-01T00:00:00Z"}}`))
	f.Add([]byte(`{"version":1,"kind":"history","team":"t","limit":-1}`))
	f.Add([]byte(`{"version":1,"teams":{"t":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New()
		for range 2 {
			r.Apply(0, data)
			r.Query(data)
		}
		s, err := r.Snapshot()
		if err != nil || New().Restore(s) != nil {
			t.Fatalf("snapshot does not restore: %v", err)
		}
		_ = r.Restore(data)
	})
}

// instantClock is a clock whose timers fire at once.
type instantClock struct{}

func (instantClock) Now() time.Time { return fakeclock.Start }

func (instantClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- fakeclock.Start
	return ch
}

// BenchmarkSubmit measures one accepted submission of a small section with
// 12,000 entries of history, without and with 42,000 accounts of other teams.
func BenchmarkSubmit(b *testing.B) {
	for _, count := range []int{0, 42000} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			r := New()
			var text strings.Builder
			for i := range count / 6 {
				fmt.Fprintf(&text, "[account \"a%d\"]\nkeySha256 = %064x\nweight = 3\n", i, i)
			}
			for team := range 6 {
				own := strings.ReplaceAll(text.String(), `"a`, fmt.Sprintf(`"t%d`, team))
				own = strings.ReplaceAll(own, "= 00", fmt.Sprintf("= %02d", team+1))
				if o := r.Submit(document.Submission{Change: "first", Team: fleet.TeamID(fmt.Sprint(team)), Text: own, At: fakeclock.Start}); o.Verdict != document.Accepted {
					b.Fatal(o.Reason)
				}
			}
			for n := range 12000 {
				r.recordAudit(r.historyOf("small"), document.Submission{Change: fleet.ChangeID(fmt.Sprint("old", n))}, document.Outcome{}, "")
				r.recordChange(r.historyOf("small"), fleet.ChangeID(fmt.Sprint("old", n)), changeRecord{})
			}
			n, base := 0, fleet.Revision(0)
			b.ReportAllocs()
			for b.Loop() {
				n++
				s := document.Submission{Change: fleet.ChangeID(fmt.Sprint(n)), Team: "small", Base: base, Text: fmt.Sprint("# ", n), At: fakeclock.Start}
				c := prepareCommand(s)
				o := r.submit(c)
				if o.Verdict != document.Accepted {
					b.Fatal(o.Reason)
				}
				base = o.Revision
			}
		})
	}
}
