package buffer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
)

const mib = 1 << 20

// TestBudget guards against charges that exceed the budget together, against small responses
// that are aborted for the sake of large ones, and against memory that is never released.
// The input of "script" has a command in each line:
//
//	budget memory=N     a new budget for a machine with N MiB
//	open NAME           a new charge
//	add NAME N          add N MiB
//	handOver NAME       replace the function that aborts the response
//	release NAME
//
// The output has the responses that are aborted, the error and the sum of the charges.
func TestBudget(t *testing.T) {
	datadriven.RunTest(t, "testdata/budget.txt", func(t *testing.T, d *datadriven.TestData) string {
		var s *script
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			if f[0] == "budget" {
				n := 0
				if _, err := fmt.Sscanf(f[1], "memory=%d", &n); err != nil {
					d.Fatalf(t, "%q: %v", line, err)
				}
				s = &script{budget: buffer.NewBudget(int64(n) * mib), charges: make(map[string]*buffer.Charge)}
				continue
			}
			s.execute(t, strings.TrimSpace(line), f)
		}
		return s.out.String()
	})
}

type script struct {
	budget  *buffer.Budget
	charges map[string]*buffer.Charge
	aborted []string
	out     strings.Builder
}

func (s *script) execute(t *testing.T, line string, f []string) {
	name := f[1]
	abort := func(how string) func() { return func() { s.aborted = append(s.aborted, name+how) } }
	var err error
	switch f[0] {
	case "open":
		s.charges[name] = s.budget.Open(abort(""))
	case "add":
		n := 0
		if _, err := fmt.Sscan(f[2], &n); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		err = s.charges[name].Add(int64(n) * mib)
	case "handOver":
		err = s.charges[name].OnAbort(abort(" after hand-over"))
	case "release":
		s.charges[name].Release()
	default:
		t.Fatalf("unknown command %q", line)
	}
	fmt.Fprintf(&s.out, "%s: %d MiB", line, s.charged(t)/mib)
	slices.Sort(s.aborted)
	for _, a := range s.aborted {
		fmt.Fprintf(&s.out, ", aborts %s", a)
	}
	s.aborted = nil
	if err != nil {
		fmt.Fprintf(&s.out, ", error: %v", err)
	}
	s.out.WriteByte('\n')
}

// charged returns the sum of all charges in bytes.
func (s *script) charged(t *testing.T) int64 {
	r := prometheus.NewRegistry()
	r.MustRegister(s.budget)
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range families {
		if m.GetName() == "bilberryrock_upstream_buffered_bytes" {
			return int64(m.GetMetric()[0].GetGauge().GetValue())
		}
	}
	t.Fatal("no metric of the charges")
	return 0
}
