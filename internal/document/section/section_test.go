package section

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestScripts guards against keys that are not checked, faults without subsection
// and key, and faults that contain data of another team.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		texts := make(map[fleet.TeamID]string)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var team string
			d.MaybeScanArgs(t, "team", &team)
			switch d.Cmd {
			case "parse":
				if _, err := Parse("alone", d.Input); err != nil {
					return err.Error() + "\n"
				}
				return "ok\n"
			case "submit":
				return submit(texts, fleet.TeamID(team), d.Input)
			case "table":
				return Table()
			case "difference":
				old, next, _ := strings.Cut(d.Input, "====\n")
				return Diff(old, next)
			case "start":
				return start(d.Input)
			}
			return "unknown command"
		})
	})
}

// submit replaces the section of a team when the document passes all checks with
// it.
func submit(texts map[fleet.TeamID]string, team fleet.TeamID, text string) string {
	if _, err := Parse(team, text); err != nil {
		return err.Error() + "\n"
	}
	list := []*Parsed{}
	doc := document.Document{Revision: 1}
	for _, other := range sortedKeys(texts) {
		if other != team {
			p, _ := Parse(other, texts[other])
			list = append(list, p)
			doc.Sections = append(doc.Sections, document.Section{Team: other, Text: texts[other]})
		}
	}
	p, _ := Parse(team, text)
	if err := CrossCheck(append(list, p), team); err != nil {
		return err.Error() + "\n"
	}
	texts[team] = text
	doc.Sections = append(doc.Sections, document.Section{Team: team, Text: text})
	c, err := Check(doc)
	if err != nil {
		return "check: " + err.Error() + "\n"
	}
	return fmt.Sprintf("ok: %d models, %d accounts, %d keys, %d data centres, %d pools, %d windows\n",
		len(c.Models), len(c.Accounts), len(c.Keys), len(c.DataCentres), len(c.Pools), len(c.Windows))
}

// start parses a window and prints, for each time after the ==== line, the start
// of its current or next occurrence.
func start(input string) string {
	text, times, _ := strings.Cut(input, "====\n")
	p, err := Parse("t", text)
	if err != nil {
		return err.Error() + "\n"
	}
	windows, err := p.Windows()
	if err != nil {
		return err.Error() + "\n"
	}
	var out strings.Builder
	for _, l := range splitLines(times) {
		at, _ := time.Parse(time.RFC3339, l)
		fmt.Fprintf(&out, "%s: %s\n", l, OccurrenceStart(windows[0], at).Format(time.RFC3339))
	}
	return out.String()
}

// TestDefaultsAreAccepted guards against a default that its own key rejects.
func TestDefaultsAreAccepted(t *testing.T) {
	is := is.New(t)
	p, err := Parse("t", "[pool \"p\"]\nkind = engine\n[model \"m\"]\nversion = 1\nlayers = 4\npool = p\n")
	is.NoErr(err)
	is.Equal(p.models[0].MinHolders, 2)
	is.Equal(p.models[0].MaxTokens, 1024)
	is.Equal(p.pools[0].Timeout, 30*time.Second)
	for _, k := range Keys() {
		is.True(k.Unit != "" && k.Constraint != "")
		is.True(!k.Required || k.Default == "")
	}
}

// TestSizeBounds guards against a section or document that is too large for a
// message.
func TestSizeBounds(t *testing.T) {
	is := is.New(t)
	_, err := Parse("t", strings.Repeat("#\n", MaxTextBytes))
	is.True(err != nil)
	for text, limit := range map[string]int{"#\n": MaxLines, "[a]\n": MaxSubsections} {
		_, err = Parse("t", strings.Repeat(text, limit+1))
		is.True(strings.HasPrefix(err.Error(), "section has more than"))
	}
	_, err = Parse("t", "# \xff\n")
	is.Equal(err.Error(), "section is not valid UTF-8")
	var list []*Parsed
	for i := range MaxDocumentBytes/MaxTextBytes + 1 {
		list = append(list, &Parsed{Team: fleet.TeamID(fmt.Sprint(i)), textBytes: MaxTextBytes})
	}
	is.True(CrossCheck(list, "0") != nil)
}

// FuzzParse guards against input that causes a panic, and against input that
// passes Parse and CrossCheck and then fails in Check for another reason than an
// unknown time zone.
func FuzzParse(f *testing.F) {
	f.Add("[pool \"p\"]\nkind = engine\n[model \"m\"]\nversion = 1\nlayers = 4\npool = p\n")
	f.Add("[window \"w\"]\ndataCentre = d\nfrom = 22:00\nto = 06:00\ntimeZone = Europe/London\nmaxInFlight = 1\n[dataCentre \"d\"]\nregion = r\n")
	f.Add("[account \"a.b\"]\nkeySha256 = `x`\n\"\"\"y\"\"\" = %(z)s\n")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Parse("t", text)
		again, err2 := Parse("t", text)
		if (err == nil) != (err2 == nil) || err != nil && err.Error() != err2.Error() {
			t.Fatalf("parsing the same text twice gave %v and %v", err, err2)
		}
		if err != nil || CrossCheck([]*Parsed{p}, "t") != nil {
			return
		}
		if names := again.ChangedWindows(p); len(names) > 0 {
			t.Fatalf("sections with the same text differ in windows %v", names)
		}
		if _, err := p.Windows(); err != nil {
			return
		}
		if _, err := Check(document.Document{Sections: []document.Section{{Team: "t", Text: text}}}); err != nil {
			t.Fatal(err)
		}
	})
}

// accounts returns a section with count accounts that set all keys.
func accounts(team string, count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "[account \"%s-%d\"]\nkeySha256 = %064x\nweight = 3\npriority = 2\nrequestRate = 12.5\nburst = 40\nmaxInFlight = 8\n", team, i, i+1000000*len(team))
	}
	return b.String()
}

// BenchmarkCheck measures Check of a document with 42,000 accounts in 6 sections.
func BenchmarkCheck(b *testing.B) {
	var d document.Document
	for i := range 6 {
		team := strings.Repeat("t", i+1)
		d.Sections = append(d.Sections, document.Section{Team: fleet.TeamID(team), Text: accounts(team, 7000)})
	}
	b.ReportAllocs()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var c *document.Config
	for b.Loop() {
		var err error
		if c, err = Check(d); err != nil || len(c.Accounts) != 42000 {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(c.Accounts)), "B/account")
	runtime.KeepAlive(c)
	runtime.KeepAlive(d)
}

// BenchmarkDifference measures a diff with an LCS table near maxLCSCells.
func BenchmarkDifference(b *testing.B) {
	x, y := accounts("x", 140), accounts("y", 140)
	for b.Loop() {
		Diff(x, y)
	}
}
