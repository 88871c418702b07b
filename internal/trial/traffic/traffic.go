// Package traffic sends a mixed load to the daemons and checks the responses
// against what the stand-ins ran.
//
//	t := traffic.New(daemons, seed)
//	t.Send(200, 16)
//	for _, violation := range traffic.Check(t.Calls(), runs) {
//		...
//	}
//
// The seed determines the sequence of calls. Which of them are refused depends on
// timing; the invariants that each response has to meet do not.
package traffic

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
)

// Kind is a kind of call.
type Kind int

//go:generate ../../../bin/stringer -type Kind -linecomment -output kind_string.go

// The kinds of calls.
const (
	Lookup     Kind = iota // lookup
	Completion             // completion
	Order                  // order
)

// Names and numbers in the section that a test submits.
const (
	ServicePool    = "plots"
	AtMostOncePath = "/reprints"
	Model          = "transcriber"
	Version        = "v1"
	Layers         = 8
)

// callTimeout limits one call on the side of the caller. It has to be longer than the
// deadline that a call sets; at present the calls set none.
const callTimeout = 40 * time.Second

// Call is one call and its response.
type Call struct {
	Number int
	Kind   Kind
	Daemon string
	// Key is the idempotency key and body of an order, or the unique path of a
	// lookup.
	Key    string
	Prompt string
	Tokens int

	// RequestID is the request id in the response, or "" without a response.
	RequestID string
	Status    int
	Code      string
	NotRun    bool
	// Complete reports whether the response was received to its end.
	Complete bool
	Body     string
	// Err is the connection error, or "" without one.
	Err     string
	Elapsed time.Duration
}

// Generator generates and sends calls. Its methods are safe for concurrent use.
type Generator struct {
	daemons []*processes.Daemon

	mu        sync.Mutex
	rng       *rand.Rand
	callCount int
	orderKeys []string
	calls     []Call
}

// New returns a Generator that sends calls to the daemons. The seed determines the
// random choices.
func New(daemons []*processes.Daemon, seed uint64) *Generator {
	return &Generator{daemons: daemons, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Send sends count calls, at most parallel at once, and waits until all of them have
// ended.
func (t *Generator) Send(count, parallel int) {
	semaphore := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for range count {
		c, d := t.nextCall()
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			t.record(perform(d, c))
		})
	}
	wg.Wait()
}

// SendFor sends calls for the given time, at most parallel at once, and waits until
// all of them have ended.
func (t *Generator) SendFor(d time.Duration, parallel int) {
	deadline := time.Now().Add(d)
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				c, d := t.nextCall()
				t.record(perform(d, c))
			}
		})
	}
	wg.Wait()
}

// Calls returns all calls that have ended, with a response or an error.
func (t *Generator) Calls() []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Call(nil), t.calls...)
}

func (t *Generator) record(c Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
}

// Percentages of the kinds of calls. The remaining calls are orders.
const (
	lookupPercent     = 40
	completionPercent = 30
	// resendPercent is the percentage of orders that repeat the key of an earlier
	// order.
	resendPercent = 50
)

func (t *Generator) nextCall() (Call, *processes.Daemon) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callCount++
	d := t.pickDaemon()
	c := Call{Number: t.callCount, Daemon: d.Spec.ID}
	draw := t.rng.IntN(100)
	switch {
	case draw < lookupPercent:
		c.Kind = Lookup
		c.Key = fmt.Sprintf("/lookups/%d", c.Number)
	case draw < lookupPercent+completionPercent:
		c.Kind = Completion
		c.Prompt = fmt.Sprintf("Plot %d, row %d:", t.rng.IntN(40), c.Number)
		c.Tokens = 1 + t.rng.IntN(24)
	default:
		c.Kind = Order
		c.Key = t.orderKey()
	}
	return c, d
}

// pickDaemon chooses a daemon like a load balancer that has just checked readiness.
// It may choose a daemon that does not respond, because a load balancer takes an
// instance out of use only after several failed checks.
func (t *Generator) pickDaemon() *processes.Daemon {
	first := t.rng.IntN(len(t.daemons))
	for i := range t.daemons {
		d := t.daemons[(first+i)%len(t.daemons)]
		if !d.ReportsNotReady() {
			return d
		}
	}
	return t.daemons[first]
}

func (t *Generator) orderKey() string {
	if len(t.orderKeys) > 0 && t.rng.IntN(100) < resendPercent {
		return t.orderKeys[t.rng.IntN(len(t.orderKeys))]
	}
	key := fmt.Sprintf("order-%d", t.callCount)
	t.orderKeys = append(t.orderKeys, key)
	return key
}

func perform(d *processes.Daemon, c Call) Call {
	started := time.Now()
	response, err := c.do(d)
	c.Elapsed = time.Since(started)
	if err != nil {
		c.Err = err.Error()
		return c
	}
	c.RequestID = response.Header.Get("X-Request-Id")
	c.Status = response.Status
	c.Body = string(response.Body)
	c.Complete = response.ReadErr == nil
	if response.ReadErr != nil {
		c.Err = response.ReadErr.Error()
	}
	c.readError(response.Body)
	if c.Kind == Completion && c.Status == http.StatusOK {
		text, done := processes.JoinCompletionEvents(response.Body)
		c.Body, c.Complete = text, c.Complete && done
	}
	return c
}

func (c Call) do(d *processes.Daemon) (processes.Response, error) {
	switch c.Kind {
	case Lookup:
		return d.Call(http.MethodGet, "/services/"+ServicePool+c.Key, nil, "", callTimeout)
	case Order:
		header := map[string]string{"Idempotency-Key": c.Key}
		return d.Call(http.MethodPost, "/services/"+ServicePool+AtMostOncePath, header, c.Key, callTimeout)
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, Model, c.Prompt, c.Tokens)
	return d.Call(http.MethodPost, "/v1/completions", nil, body, callTimeout)
}

// readError sets Code and NotRun from the error in a response body, which may be an
// event of a stream.
func (c *Call) readError(body []byte) {
	for line := range bytes.SplitSeq(body, []byte("\n")) {
		line = bytes.TrimPrefix(line, []byte("data: "))
		var event struct {
			Error struct {
				Code   string `json:"code"`
				NotRun bool   `json:"notRun"`
			} `json:"error"`
		}
		if json.Unmarshal(line, &event) == nil && event.Error.Code != "" {
			c.Code, c.NotRun = event.Error.Code, event.Error.NotRun
		}
	}
}
