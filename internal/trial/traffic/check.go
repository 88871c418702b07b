package traffic

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"syscall"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

// Check returns a line for every broken invariant:
//
//   - a whole answer has the text of its own request;
//   - what was refused as "not run" was not run;
//   - an order ran at most once, and exactly once if it was answered;
//   - each layer ran once for each position of an epoch, in order;
//   - no upstream got new work after it had left for its grace time.
func Check(calls []Call, runs []standin.Run) []string {
	var faults []string
	faults = append(faults, checkTexts(calls)...)
	faults = append(faults, checkNotRun(calls, runs)...)
	faults = append(faults, checkOrders(calls, runs)...)
	faults = append(faults, checkLayers(runs)...)
	return append(faults, checkLeavers(runs)...)
}

// CheckCutOff returns a line for every call that reached a daemon and was not
// answered to its end. It holds only while no process ends without notice. A
// refused connection is no fault: a balancer would not have chosen the daemon.
func CheckCutOff(calls []Call) []string {
	var faults []string
	for _, c := range calls {
		refused := strings.Contains(c.Err, syscall.ECONNREFUSED.Error())
		if c.Err != "" && !refused {
			faults = append(faults, fmt.Sprintf("call %d, request %s, to %s was cut off: %s", c.Number, c.Request, c.Daemon, c.Err))
		}
		if c.Err == "" && !c.Whole && c.Code == "" {
			faults = append(faults, fmt.Sprintf("call %d, request %s, to %s has no end", c.Number, c.Request, c.Daemon))
		}
	}
	return faults
}

func checkTexts(calls []Call) []string {
	var faults []string
	for _, c := range calls {
		if c.Status != http.StatusOK || !c.Whole {
			continue
		}
		if c.Kind != Completion {
			if want := c.mark(); !strings.Contains(c.Body, want) {
				faults = append(faults, fmt.Sprintf("call %d, request %s: the answer %q has no %s", c.Number, c.Request, c.Body, want))
			}
			continue
		}
		prompt := make([]uint64, len(c.Prompt))
		for i := range len(c.Prompt) {
			prompt[i] = uint64(c.Prompt[i])
		}
		want, _ := standin.Generate(Model, Version, "", Layers, prompt, c.Tokens)
		if c.Body != want {
			faults = append(faults, fmt.Sprintf("call %d, request %s: text %q instead of %q", c.Number, c.Request, c.Body, want))
		}
	}
	return faults
}

// mark returns a part of the answer of a service that no other call has.
func (c Call) mark() string {
	if c.Kind == Lookup {
		return fmt.Sprintf(`"path":%q`, c.Key)
	}
	return fmt.Sprintf(`"digest":"%x"`, sha256.Sum256([]byte(c.Key)))
}

// ran tells what the stand-ins ran, by request, path and key.
type ran struct {
	requests map[fleet.RequestID]bool
	paths    map[string]int
	keys     map[string]int
}

func newRan(runs []standin.Run) ran {
	r := ran{requests: make(map[fleet.RequestID]bool), paths: make(map[string]int), keys: make(map[string]int)}
	for _, run := range runs {
		if run.Request != "" {
			r.requests[run.Request] = true
		}
		if run.Key != "" {
			r.keys[run.Key]++
		} else if run.Path != "" {
			r.paths[run.Path]++
		}
	}
	return r
}

func checkNotRun(calls []Call, runs []standin.Run) []string {
	r := newRan(runs)
	refusedLast := make(map[string]int)
	var faults []string
	for _, c := range calls {
		if !c.NotRun {
			continue
		}
		switch c.Kind {
		case Completion:
			if r.requests[fleet.RequestID(c.Request)] {
				faults = append(faults, fmt.Sprintf("call %d, request %s: refused as not run (%s), but an engine ran it", c.Number, c.Request, c.Code))
			}
		case Lookup:
			if r.paths[c.Key] > 0 {
				faults = append(faults, fmt.Sprintf("call %d, request %s: refused as not run (%s), but a service ran it", c.Number, c.Request, c.Code))
			}
		case Order:
			refusedLast[c.Key]++
		}
	}
	return append(faults, checkRefusedOrders(calls, refusedLast, r)...)
}

// checkRefusedOrders finds orders whose every attempt was refused as "not run"
// and that ran all the same.
func checkRefusedOrders(calls []Call, refused map[string]int, r ran) []string {
	attempts := make(map[string]int)
	for _, c := range calls {
		if c.Kind == Order {
			attempts[c.Key]++
		}
	}
	var faults []string
	for key, count := range refused {
		if count == attempts[key] && r.keys[key] > 0 {
			faults = append(faults, fmt.Sprintf("order %s: every attempt was refused as not run, but it ran", key))
		}
	}
	sort.Strings(faults)
	return faults
}

func checkOrders(calls []Call, runs []standin.Run) []string {
	r := newRan(runs)
	var faults []string
	for key, count := range r.keys {
		if count > 1 {
			faults = append(faults, fmt.Sprintf("order %s ran %d times", key, count))
		}
	}
	bodies := make(map[string]string)
	for _, c := range calls {
		if c.Kind != Order || c.Status != http.StatusOK || !c.Whole {
			continue
		}
		if r.keys[c.Key] == 0 {
			faults = append(faults, fmt.Sprintf("call %d, request %s: order %s was answered, but did not run", c.Number, c.Request, c.Key))
		}
		if first, known := bodies[c.Key]; known && first != c.Body {
			faults = append(faults, fmt.Sprintf("call %d, request %s: order %s got another answer than before", c.Number, c.Request, c.Key))
		}
		bodies[c.Key] = c.Body
	}
	sort.Strings(faults)
	return faults
}

// place is one layer at one position of one epoch of a request.
type place struct {
	request  fleet.RequestID
	epoch    fleet.Epoch
	position fleet.Position
	layer    fleet.Layer
}

func checkLayers(runs []standin.Run) []string {
	counts := make(map[place]int)
	for _, run := range runs {
		if run.What != "step" {
			continue
		}
		for i := range max(run.Count, 1) {
			for l := run.Layers.From; l < run.Layers.To; l++ {
				counts[place{run.Request, run.Epoch, run.Position + fleet.Position(i), l}]++
			}
		}
	}
	var faults []string
	for p, n := range counts {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("request %s: layer %d ran %d times for position %d of epoch %d", p.request, p.layer, n, p.position, p.epoch))
		}
		if p.layer > 0 && !ranBefore(counts, p) {
			faults = append(faults, fmt.Sprintf("request %s: layer %d ran for position %d up to epoch %d without the layer before it", p.request, p.layer, p.position, p.epoch))
		}
	}
	sort.Strings(faults)
	return faults
}

func checkLeavers(runs []standin.Run) []string {
	late := make(map[fleet.UpstreamID]int)
	for _, run := range runs {
		if run.What == "late" {
			late[run.Upstream]++
		}
	}
	var faults []string
	for id, n := range late {
		faults = append(faults, fmt.Sprintf("upstream %s got new work %d times after it had left", id, n))
	}
	sort.Strings(faults)
	return faults
}

// ranBefore tells whether the layer before p ran for the same position, in the
// epoch of p or an earlier one: a recovery computes only the lost stage again,
// from the kept outputs of the stage before it.
func ranBefore(counts map[place]int, p place) bool {
	p.layer--
	for ; p.epoch > 0; p.epoch-- {
		if counts[p] > 0 {
			return true
		}
	}
	return false
}

// Summary counts the calls by kind and answer.
func Summary(calls []Call) string {
	counts := make(map[string]int)
	for _, c := range calls {
		answer := c.Code
		switch {
		case c.Err != "":
			answer = "connection error"
		case answer == "" && c.Whole:
			answer = "ok"
		case answer == "":
			answer = "cut off"
		}
		counts[c.Kind.String()+" "+answer]++
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%6d %s\n", counts[name], name)
	}
	return text
}
