package quota_test

import (
	"bufio"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// TestPlan guards against plans that admit more than the room, that starve a level, that
// serve a less urgent level more often than a more urgent one, or an account more than
// another one whose demand is not met. Each line of the input is "account level offered",
// where the account "-" stands for none. The counts are those of half a second.
func TestPlan(t *testing.T) {
	datadriven.Walk(t, "testdata/plan", func(t *testing.T, file string) {
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			var r quota.Room
			demand := quota.Demand{Pairs: make(map[quota.Pair]quota.Count)}
			d.MaybeScanArgs(t, "capacity", &r.Capacity)
			d.MaybeScanArgs(t, "active", &r.Active)
			d.MaybeScanArgs(t, "finished", &demand.Finished)
			in := bufio.NewScanner(strings.NewReader(d.Input))
			for in.Scan() {
				var p quota.Pair
				var c quota.Count
				if _, err := fmt.Sscan(in.Text(), &p.Account, &p.Level, &c.Offered); err != nil {
					d.Fatalf(t, "%q: %v", in.Text(), err)
				}
				p.Account = fleet.AccountID(strings.Trim(string(p.Account), "-"))
				demand.Pairs[p] = c
			}
			p := quota.NewPlan(r, demand)
			checkPlan(t, p)
			var b strings.Builder
			fmt.Fprintf(&b, "offered %.1f/s, allowed %.1f/s\n", p.Offered, p.Allowed)
			for _, l := range p.Levels {
				fmt.Fprintf(&b, "level %d: offered %.1f/s, admitted %.1f/s, fraction %.3f\n", l.Level, l.Offered, l.Admitted, l.Fraction())
			}
			for _, k := range sortedPairs(demand) {
				fmt.Fprintf(&b, "%s at level %d: %.3f\n", strings.TrimSpace("account "+string(k.Account)), k.Level, p.Fraction(k))
			}
			var unlisted quota.Level
			if d.HasArg("unlisted") {
				for _, a := range d.CmdArgs {
					for _, v := range a.Vals {
						if a.Key == "unlisted" {
							if _, err := fmt.Sscan(v, &unlisted); err != nil {
								d.Fatalf(t, "%q: %v", v, err)
							}
							fmt.Fprintf(&b, "unlisted account at level %d: %.3f\n", unlisted, p.Fraction(quota.Pair{Account: "unlisted", Level: unlisted}))
						}
					}
				}
			}
			return b.String()
		})
	})
}

// checkPlan checks what holds for every plan.
func checkPlan(t *testing.T, p quota.Plan) {
	admitted, fraction := 0.0, 1.0
	const tolerance = 1e-9
	for _, l := range p.Levels {
		admitted += l.Admitted
		if l.Fraction() > fraction+tolerance || l.Fraction() < 0 {
			t.Errorf("level %d has the fraction %g, a more urgent one %g", l.Level, l.Fraction(), fraction)
		}
		fraction = l.Fraction()
	}
	if admitted > p.Allowed+tolerance {
		t.Errorf("%g streams per second are admitted, %g are allowed", admitted, p.Allowed)
	}
	if want := min(p.Offered, p.Allowed); admitted < want-tolerance {
		t.Errorf("%g streams per second are admitted, %g are possible", admitted, want)
	}
}

func sortedPairs(d quota.Demand) []quota.Pair {
	var ks []quota.Pair
	for k := range d.Pairs {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b quota.Pair) int {
		if a.Level != b.Level {
			return int(a.Level - b.Level)
		}
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return ks
}

// Guards against reports that grow with the number of accounts, and against streams that
// are lost from the sums when accounts are added up.
func TestLimit(t *testing.T) {
	is := is.New(t)
	d := quota.Demand{Finished: 7, Pairs: make(map[quota.Pair]quota.Count)}
	for i := range 2000 {
		p := quota.Pair{Account: fleet.AccountID(fmt.Sprint(i)), Level: quota.Level(i % 3)}
		d.Pairs[p] = quota.Count{Offered: i, Admitted: i / 2}
	}
	d.Pairs[quota.Pair{Level: 1}] = quota.Count{Offered: 5, Admitted: 4}
	l := d.Limit()
	is.Equal(len(l.Pairs), quota.MaxPairs)
	is.Equal(l.Finished, 7)
	is.Equal(l.Pairs[quota.Pair{Account: "1999", Level: 1}].Offered, 1999)
	total := func(d quota.Demand) (c quota.Count) {
		for _, n := range d.Pairs {
			c.Offered, c.Admitted = c.Offered+n.Offered, c.Admitted+n.Admitted
		}
		return c
	}
	is.Equal(total(l), total(d))
	p := quota.NewPlan(quota.Room{Capacity: 1000}, l)
	is.Equal(p.Fraction(quota.Pair{Account: "3"}), p.Fraction(quota.Pair{})) // one of those that were added up
}

func TestModes(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name                  string
		equal, differentiated bool
	}{{"auto", false, true}, {"always", true, true}, {"never", false, false}} {
		m, err := quota.ParseMode(c.name)
		is.NoErr(err)
		is.Equal(m.Applies(false), c.equal)
		is.Equal(m.Applies(true), c.differentiated)
	}
	_, err := quota.ParseMode("Auto")
	is.True(err != nil)
}

func BenchmarkNewPlan(b *testing.B) {
	for _, pairs := range []int{72, quota.MaxPairs} {
		d := quota.Demand{Finished: 100, Pairs: make(map[quota.Pair]quota.Count)}
		for i := range pairs {
			d.Pairs[quota.Pair{Account: fleet.AccountID(fmt.Sprint(i / 3)), Level: quota.Level(i % 3)}] = quota.Count{Offered: i + 1}
		}
		b.Run(fmt.Sprint(pairs), func(b *testing.B) {
			for b.Loop() {
				quota.NewPlan(quota.Room{Capacity: 500, Active: 300}, d)
			}
		})
	}
}
