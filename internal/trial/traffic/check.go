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

// Check returns a line for every violation of these invariants:
//
//   - a complete response has the content that belongs to its request;
//   - a request that was refused as "not run" was not run;
//   - an order ran at most once, and exactly once if it got a successful response;
//   - all complete responses to an order are the same;
//   - each layer ran at most once for each position of an epoch, and only if the layer
//     before it ran;
//   - no upstream got new work after its leave grace.
func Check(calls []Call, runs []standin.Run) []string {
	var violations []string
	violations = append(violations, checkTexts(calls)...)
	violations = append(violations, checkNotRun(calls, runs)...)
	violations = append(violations, checkOrders(calls, runs)...)
	violations = append(violations, checkLayers(runs)...)
	return append(violations, checkLateWork(runs)...)
}

// CheckAborted returns a line for every call that reached a daemon and got no complete
// response. The invariant holds only as long as no process is killed or suspended. A
// refused connection is no violation, because a load balancer would not have chosen
// the daemon.
func CheckAborted(calls []Call) []string {
	var violations []string
	for _, c := range calls {
		refused := strings.Contains(c.Err, syscall.ECONNREFUSED.Error())
		if c.Err != "" && !refused {
			violations = append(violations, fmt.Sprintf("call %d, request %s, to %s was aborted: %s", c.Number, c.RequestID, c.Daemon, c.Err))
		}
		if c.Err == "" && !c.Complete && c.Code == "" {
			violations = append(violations, fmt.Sprintf("call %d, request %s, to %s has an incomplete response", c.Number, c.RequestID, c.Daemon))
		}
	}
	return violations
}

func checkTexts(calls []Call) []string {
	var violations []string
	for _, c := range calls {
		if c.Status != http.StatusOK || !c.Complete {
			continue
		}
		if c.Kind != Completion {
			if want := c.uniquePart(); !strings.Contains(c.Body, want) {
				violations = append(violations, fmt.Sprintf("call %d, request %s: response %q does not contain %s", c.Number, c.RequestID, c.Body, want))
			}
			continue
		}
		prompt := make([]uint64, len(c.Prompt))
		for i := range len(c.Prompt) {
			prompt[i] = uint64(c.Prompt[i])
		}
		want, _ := standin.Generate(Model, Version, "", Layers, prompt, c.Tokens)
		if c.Body != want {
			violations = append(violations, fmt.Sprintf("call %d, request %s: text %q instead of %q", c.Number, c.RequestID, c.Body, want))
		}
	}
	return violations
}

// uniquePart returns text that only the service response to this call contains. It is
// the same for orders with the same key.
func (c Call) uniquePart() string {
	if c.Kind == Lookup {
		return fmt.Sprintf(`"path":%q`, c.Key)
	}
	return fmt.Sprintf(`"digest":"%x"`, sha256.Sum256([]byte(c.Key)))
}

// executions indexes what the stand-ins ran: the ids of requests, the number of runs
// of each path, and the number of runs of each idempotency key.
type executions struct {
	requests map[fleet.RequestID]bool
	pathRuns map[string]int
	keyRuns  map[string]int
}

func indexExecutions(runs []standin.Run) executions {
	r := executions{requests: make(map[fleet.RequestID]bool), pathRuns: make(map[string]int), keyRuns: make(map[string]int)}
	for _, run := range runs {
		if run.Request != "" {
			r.requests[run.Request] = true
		}
		if run.Key != "" {
			r.keyRuns[run.Key]++
		} else if run.Path != "" {
			r.pathRuns[run.Path]++
		}
	}
	return r
}

func checkNotRun(calls []Call, runs []standin.Run) []string {
	r := indexExecutions(runs)
	refusals := make(map[string]int)
	var violations []string
	for _, c := range calls {
		if !c.NotRun {
			continue
		}
		switch c.Kind {
		case Completion:
			if r.requests[fleet.RequestID(c.RequestID)] {
				violations = append(violations, fmt.Sprintf("call %d, request %s: refused as not run (%s), but an engine ran it", c.Number, c.RequestID, c.Code))
			}
		case Lookup:
			if r.pathRuns[c.Key] > 0 {
				violations = append(violations, fmt.Sprintf("call %d, request %s: refused as not run (%s), but a service ran it", c.Number, c.RequestID, c.Code))
			}
		case Order:
			refusals[c.Key]++
		}
	}
	return append(violations, checkRefusedOrders(calls, refusals, r)...)
}

// checkRefusedOrders finds orders that ran although every attempt was refused as
// "not run".
func checkRefusedOrders(calls []Call, refused map[string]int, r executions) []string {
	attempts := make(map[string]int)
	for _, c := range calls {
		if c.Kind == Order {
			attempts[c.Key]++
		}
	}
	var violations []string
	for key, count := range refused {
		if count == attempts[key] && r.keyRuns[key] > 0 {
			violations = append(violations, fmt.Sprintf("order %s: all attempts were refused as not run, but it ran", key))
		}
	}
	sort.Strings(violations)
	return violations
}

func checkOrders(calls []Call, runs []standin.Run) []string {
	r := indexExecutions(runs)
	var violations []string
	for key, count := range r.keyRuns {
		if count > 1 {
			violations = append(violations, fmt.Sprintf("order %s ran %d times", key, count))
		}
	}
	bodies := make(map[string]string)
	for _, c := range calls {
		if c.Kind != Order || c.Status != http.StatusOK || !c.Complete {
			continue
		}
		if r.keyRuns[c.Key] == 0 {
			violations = append(violations, fmt.Sprintf("call %d, request %s: order %s got a successful response, but did not run", c.Number, c.RequestID, c.Key))
		}
		if first, seen := bodies[c.Key]; seen && first != c.Body {
			violations = append(violations, fmt.Sprintf("call %d, request %s: order %s got a different response than before", c.Number, c.RequestID, c.Key))
		}
		bodies[c.Key] = c.Body
	}
	sort.Strings(violations)
	return violations
}

// layerRun identifies the run of a layer for one position in one epoch of a request.
type layerRun struct {
	request  fleet.RequestID
	epoch    fleet.Epoch
	position fleet.Position
	layer    fleet.Layer
}

func checkLayers(runs []standin.Run) []string {
	counts := make(map[layerRun]int)
	for _, run := range runs {
		if run.Kind != "step" {
			continue
		}
		for i := range max(run.Count, 1) {
			for l := run.Layers.From; l < run.Layers.To; l++ {
				counts[layerRun{run.Request, run.Epoch, run.Position + fleet.Position(i), l}]++
			}
		}
	}
	var violations []string
	for p, n := range counts {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("request %s: layer %d ran %d times for position %d of epoch %d", p.request, p.layer, n, p.position, p.epoch))
		}
		if p.layer > 0 && !previousLayerRan(counts, p) {
			violations = append(violations, fmt.Sprintf("request %s: layer %d ran for position %d in epoch %d, but the layer before it did not run in this or an earlier epoch", p.request, p.layer, p.position, p.epoch))
		}
	}
	sort.Strings(violations)
	return violations
}

func checkLateWork(runs []standin.Run) []string {
	late := make(map[fleet.UpstreamID]int)
	for _, run := range runs {
		if run.Kind == "late" {
			late[run.Upstream]++
		}
	}
	var violations []string
	for id, n := range late {
		violations = append(violations, fmt.Sprintf("upstream %s got new work %d times after its leave grace", id, n))
	}
	sort.Strings(violations)
	return violations
}

// previousLayerRan reports whether the layer before p ran for the same position, in
// the epoch of p or an earlier one. An earlier epoch is enough because a recovery
// recomputes only the lost stage, from the retained outputs of the stage before it.
func previousLayerRan(counts map[layerRun]int, p layerRun) bool {
	p.layer--
	for ; p.epoch > 0; p.epoch-- {
		if counts[p] > 0 {
			return true
		}
	}
	return false
}

// Summary returns the number of calls by kind and outcome, one line each.
func Summary(calls []Call) string {
	counts := make(map[string]int)
	for _, c := range calls {
		outcome := c.Code
		switch {
		case c.Err != "":
			outcome = "connection error"
		case outcome == "" && c.Complete:
			outcome = "ok"
		case outcome == "":
			outcome = "aborted"
		}
		counts[c.Kind.String()+" "+outcome]++
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
