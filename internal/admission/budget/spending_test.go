package budget

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// origin is the time 0 of the scripts.
var origin = time.Date(2026, time.January, 5, 9, 0, 0, 0, time.UTC)

// TestSpending guards against a started stream that is continued before a more urgent
// one or instead of one that can still be continued in time, and against new requests
// that spend the reserved part or what waiting streams need. Commands:
//
//	refill left=N allowed=N sharers=N [starting] elapsed=D
//	wait        lines of "name level lastEvent deadline"
//	leave name=N
//	new, started level=N lastEvent=D deadline=D, waiting, any: at=D, one withdrawal each
//
// They print the streams that were granted a retry, whether the withdrawal succeeded,
// and both balances.
func TestSpending(t *testing.T) {
	datadriven.Walk(t, "testdata/spending", func(t *testing.T, file string) {
		s := &script{names: make(map[*Turn]string)}
		s.random = func() float64 { return 0 } // whole retries only
		s.all.threshold = 1
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

type script struct {
	spending
	names map[*Turn]string
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	now := origin.Add(duration(t, d, "at"))
	switch d.Cmd {
	case "refill":
		var left, allowed, sharers float64
		scanFloat(t, d, "left", &left)
		scanFloat(t, d, "allowed", &allowed)
		scanFloat(t, d, "sharers", &sharers)
		s.refill(left, allowed, sharers, d.HasArg("starting"), duration(t, d, "elapsed"))
		return s.result(nil, true)
	case "wait":
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			var k Stream
			if _, err := fmt.Sscan(f[1], &k.Level); err != nil {
				d.Fatalf(t, "%v", err)
			}
			k.LastEvent, k.Deadline = origin.Add(parse(t, d, f[2])), origin.Add(parse(t, d, f[3]))
			w := &Turn{stream: k}
			s.names[w] = f[0]
			s.waiting = append(s.waiting, w)
		}
		return ""
	case "leave":
		for w, name := range s.names {
			if name == argument(d, "name") && !s.remove(w) {
				return "did not wait"
			}
		}
		return ""
	case "any":
		return s.result(nil, s.withdraw())
	case "new":
		return s.result(s.withdrawNew(now))
	case "waiting":
		granted, _ := s.grant(now, func(Stream) bool { return true })
		return s.result(granted, true)
	case "started":
		k := Stream{LastEvent: origin.Add(duration(t, d, "lastEvent")), Deadline: origin.Add(duration(t, d, "deadline"))}
		d.ScanArgs(t, "level", &k.Level)
		return s.result(s.withdrawStarted(k, now))
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return ""
}

func (s *script) result(granted []*Turn, ok bool) string {
	var b strings.Builder
	for _, w := range granted {
		fmt.Fprintf(&b, "%s ", s.names[w])
	}
	if ok {
		b.WriteString("ok")
	} else {
		b.WriteString("denied")
	}
	fmt.Fprintf(&b, ", left %.2f, for new requests %.2f", s.all.balance, s.fresh.balance)
	return b.String()
}

func argument(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) == 1 {
			return a.Vals[0]
		}
	}
	return ""
}

func scanFloat(t *testing.T, d *datadriven.TestData, key string, to *float64) {
	if _, err := fmt.Sscan(argument(d, key), to); err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
}

// duration returns the argument key, or 0 if there is none.
func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	if v := argument(d, key); v != "" {
		return parse(t, d, v)
	}
	return 0
}

func parse(t *testing.T, d *datadriven.TestData, v string) time.Duration {
	n, err := time.ParseDuration(v)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return n
}
