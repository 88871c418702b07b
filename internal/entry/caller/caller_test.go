package caller_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sort"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/entry/caller"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// fake implements the dependencies of the API. admitErr is the error of Enter.
// runErr is the error of calls to services, and of generations after failAt
// tokens.
type fake struct {
	admitErr    error
	runErr      error
	failAt      int
	openTickets atomic.Int32
	// evictAt is the number of tokens after which quiet hours begin and the
	// generation is evicted. It applies only if evicted is set.
	evictAt int
	evicted chan struct{}
}

func (f *fake) Enter(context.Context, admission.Request) (admission.Ticket, error) {
	if f.admitErr != nil {
		return nil, f.admitErr
	}
	f.openTickets.Add(1)
	return f, nil
}

func (f *fake) Done() { f.openTickets.Add(-1) }

func (f *fake) Evicted() <-chan struct{} { return f.evicted }

func (f *fake) tickets() int { return int(f.openTickets.Load()) }

func (f *fake) Run(ctx context.Context, g pipeline.GenerationRequest, emit func(pipeline.Token) error) (pipeline.FinishReason, error) {
	for i := range g.MaxTokens {
		if f.runErr != nil && i == f.failAt {
			return 0, f.runErr
		}
		if f.evicted != nil && i == f.evictAt {
			close(f.evicted)
			<-ctx.Done()
			return 0, ctx.Err()
		}
		if err := emit(pipeline.Token{Index: i, Text: fmt.Sprintf(" t%d", i)}); err != nil {
			return 0, err
		}
	}
	return pipeline.FinishLength, nil
}

func (f *fake) Lookup(_ context.Context, _ fleet.RequestID, p document.Pool, c upstream.Call) (upstream.Response, error) {
	return f.respond("lookup", p, c)
}

func (f *fake) Order(_ context.Context, _ fleet.RequestID, k order.Key, p document.Pool, c upstream.Call) (upstream.Response, error) {
	return f.respond("order "+k.Name, p, c)
}

func (f *fake) respond(kind string, p document.Pool, c upstream.Call) (upstream.Response, error) {
	if f.runErr != nil {
		return upstream.Response{}, f.runErr
	}
	names := make([]string, 0, len(c.Header))
	for name := range c.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	body := fmt.Sprintf("%s at %s: %s %s %q with %v\n", kind, p.ID, c.Method, c.Path, c.Body, names)
	return upstream.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(body)}, nil
}

type nopTrail struct{}

func (nopTrail) Open(string, fleet.AccountID, fleet.TeamID) {}
func (nopTrail) Add(string, report.Entry)                   {}
func (nopTrail) Find(string) (report.Record, bool)          { return report.Record{}, false }

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func config() *document.Config {
	return &document.Config{
		Revision: 1,
		Models: map[fleet.ModelID]document.Model{
			"m":     {ID: "m", Team: "alpha", Layers: 4, Pool: "engines", MaxTokens: 100},
			"other": {ID: "other", Team: "beta", Layers: 4, Pool: "engines", MaxTokens: 100},
		},
		Accounts: map[fleet.AccountID]document.Account{"acc": {ID: "acc", Team: "alpha", Weight: 1}},
		Keys:     map[string]fleet.AccountID{digest("key"): "acc"},
		Pools: map[fleet.PoolID]document.Pool{
			"desk":  {ID: "desk", Team: "alpha", Kind: document.ServicePool, AtMostOncePaths: []string{"/orders"}},
			"rival": {ID: "rival", Team: "beta", Kind: document.ServicePool},
		},
	}
}

func newAPI(f *fake, overrides ...func(*caller.Dependencies)) *caller.API {
	deps := caller.Dependencies{
		Config: config, Gate: f, Executor: f, Lookups: f, Orders: f,
		Trail: nopTrail{}, Clock: systemclock.Clock{}, Log: zap.NewNop(),
	}
	for _, override := range overrides {
		override(&deps)
	}
	return caller.New(deps, caller.WithLimits(entry.Limits{MaxBodyBytes: 2000}))
}

func withExecutor(e pipeline.Executor) func(*caller.Dependencies) {
	return func(d *caller.Dependencies) { d.Executor = e }
}

// volatileValues matches request ids and times, which differ between runs.
var volatileValues = regexp.MustCompile(`[0-9a-f]{32}|"created":\d+`)

// TestRequests guards against requests that are decoded incorrectly and against
// error responses with a wrong value of notRun.
func TestRequests(t *testing.T) {
	datadriven.RunTest(t, "testdata/requests.txt", func(t *testing.T, d *datadriven.TestData) string {
		f := &fake{}
		for _, arg := range d.CmdArgs {
			setFault(t, f, arg.Key, arg.Vals)
		}
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(rawRequest(d.Input))))
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		newAPI(f).Handler().ServeHTTP(w, request)
		if f.tickets() != 0 {
			t.Errorf("%s: %d tickets were not released", d.Pos, f.tickets())
		}
		retryLine := ""
		if retryAfter := w.Header().Get("Retry-After"); retryAfter != "" {
			retryLine = "Retry-After: " + retryAfter + "\n"
		}
		return volatileValues.ReplaceAllString(fmt.Sprintf("%d\n%s%s", w.Code, retryLine, w.Body), "X")
	})
}

func setFault(t *testing.T, f *fake, name string, values []string) {
	t.Helper()
	switch name {
	case "overloaded":
		f.admitErr = refusal.New(refusal.Overloaded, "the queue is full").WithRetryAfter(1500 * time.Millisecond)
	case "failAt":
		if _, err := fmt.Sscan(values[0], &f.failAt); err != nil {
			t.Fatal(err)
		}
		f.runErr = refusal.New(refusal.UpstreamFailed, "stage lost")
	case "evictAt":
		if _, err := fmt.Sscan(values[0], &f.evictAt); err != nil {
			t.Fatal(err)
		}
		f.evicted = make(chan struct{})
	case "noUpstream":
		f.runErr = refusal.New(refusal.NoUpstream, "no upstream")
	case "internal":
		f.runErr = fmt.Errorf("secret detail of the fleet")
	default:
		t.Fatalf("unknown fault %q", name)
	}
}

// rawRequest converts the short form of the test data to an HTTP request. The
// short form is "METHOD PATH", header lines, the separator "--" and the body.
func rawRequest(input string) string {
	head, body, _ := strings.Cut(input, "\n--\n")
	lines := strings.Split(head, "\n")
	lines[0] += " HTTP/1.1"
	if !strings.Contains(head, "Authorization:") {
		lines = append(lines, "Authorization: Bearer key")
	}
	lines = append(lines, "Host: test", fmt.Sprintf("Content-Length: %d", len(body)), "", body)
	return strings.Join(lines, "\r\n")
}

// TestClientLibrary guards against responses that a common client library cannot
// decode.
func TestClientLibrary(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(newAPI(&fake{}).Handler())
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey("key"), option.WithMaxRetries(0))

	completion, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:     "m",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		MaxTokens: openai.Int(3),
	})
	is.NoErr(err)
	is.Equal(completion.Choices[0].Text, " t0 t1 t2")
	is.Equal(string(completion.Choices[0].FinishReason), "length")
	is.Equal(completion.Usage.CompletionTokens, int64(3))

	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:     "m",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxTokens: openai.Int(4),
	})
	text := ""
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text += c.Delta.Content
		}
	}
	is.NoErr(stream.Err())
	is.Equal(text, " t0 t1 t2 t3")

	models, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(len(models.Data), 1) // models of other teams are not listed
}

// TestBrokenStreamInClientLibrary guards against a truncated stream that a client
// library takes for complete.
func TestBrokenStreamInClientLibrary(t *testing.T) {
	is := is.New(t)
	f := &fake{runErr: refusal.New(refusal.UpstreamFailed, "stage lost"), failAt: 2}
	server := httptest.NewServer(newAPI(f).Handler())
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey("key"), option.WithMaxRetries(0))
	stream := client.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
		Model:     "m",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		MaxTokens: openai.Int(4),
	})
	for stream.Next() {
	}
	is.True(stream.Err() != nil) // the library reports the error event
}

// FuzzBody guards against request bodies that cause a panic or a response with
// status 500.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x"}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Add([]byte(`{"prompt":` + strings.Repeat("[", 100)))
	handler := newAPI(&fake{}).Handler()
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body)))
			r.Header.Set("Authorization", "Bearer key")
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code == http.StatusInternalServerError {
				raw, _ := io.ReadAll(w.Body)
				t.Errorf("%s: %s", path, raw)
			}
		}
	})
}
