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

// fake plays the parts behind the API. fail is the error of the next admission,
// breakAt the number of tokens after which a generation fails.
type fake struct {
	refuse  error
	fail    error
	breakAt int
	held    atomic.Int32
	// moveAt is the number of tokens after which quiet hours begin, if moved is
	// set.
	moveAt int
	moved  chan struct{}
}

func (f *fake) Enter(context.Context, admission.Request) (admission.Ticket, error) {
	if f.refuse != nil {
		return nil, f.refuse
	}
	f.held.Add(1)
	return f, nil
}

func (f *fake) Done() { f.held.Add(-1) }

func (f *fake) Evicted() <-chan struct{} { return f.moved }

func (f *fake) tickets() int { return int(f.held.Load()) }

func (f *fake) Run(ctx context.Context, g pipeline.Generation, emit func(pipeline.Piece) error) (pipeline.FinishReason, error) {
	for i := range g.MaxTokens {
		if f.fail != nil && i == f.breakAt {
			return 0, f.fail
		}
		if f.moved != nil && i == f.moveAt {
			close(f.moved)
			<-ctx.Done()
			return 0, ctx.Err()
		}
		if err := emit(pipeline.Piece{Index: i, Text: fmt.Sprintf(" t%d", i)}); err != nil {
			return 0, err
		}
	}
	return pipeline.LengthReached, nil
}

func (f *fake) Lookup(_ context.Context, _ fleet.RequestID, p document.Pool, c upstream.Call) (upstream.Response, error) {
	return f.answer("lookup", p, c)
}

func (f *fake) Order(_ context.Context, _ fleet.RequestID, k order.Key, p document.Pool, c upstream.Call) (upstream.Response, error) {
	return f.answer("order "+k.Name, p, c)
}

func (f *fake) answer(kind string, p document.Pool, c upstream.Call) (upstream.Response, error) {
	if f.fail != nil {
		return upstream.Response{}, f.fail
	}
	names := make([]string, 0, len(c.Header))
	for name := range c.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	body := fmt.Sprintf("%s at %s: %s %s %q with %v\n", kind, p.ID, c.Method, c.Path, c.Body, names)
	return upstream.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(body)}, nil
}

type noTrail struct{}

func (noTrail) Open(string, fleet.AccountID, fleet.TeamID) {}
func (noTrail) Add(string, report.Entry)                   {}
func (noTrail) Find(string) (report.Record, bool)          { return report.Record{}, false }

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

func newAPI(f *fake, change ...func(*caller.Parts)) *caller.API {
	parts := caller.Parts{
		Config: config, Gate: f, Courier: f, Lookups: f, Orders: f,
		Trail: noTrail{}, Clock: systemclock.Clock{}, Log: zap.NewNop(),
	}
	for _, c := range change {
		c(&parts)
	}
	return caller.New(parts, caller.WithLimits(entry.Limits{MaxBody: 2000}))
}

func withCourier(c pipeline.Courier) func(*caller.Parts) {
	return func(p *caller.Parts) { p.Courier = c }
}

var changing = regexp.MustCompile(`[0-9a-f]{32}|"created":\d+`)

// TestRequests guards against a request that is read wrongly and against an
// error whose answer does not tell the truth about "not run".
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
			t.Errorf("%s: %d tickets were not given back", d.Pos, f.tickets())
		}
		retry := ""
		if after := w.Header().Get("Retry-After"); after != "" {
			retry = "Retry-After: " + after + "\n"
		}
		return changing.ReplaceAllString(fmt.Sprintf("%d\n%s%s", w.Code, retry, w.Body), "X")
	})
}

func setFault(t *testing.T, f *fake, name string, values []string) {
	t.Helper()
	switch name {
	case "overloaded":
		f.refuse = refusal.New(refusal.Overloaded, "the queue is full").After(1500 * time.Millisecond)
	case "failAt":
		if _, err := fmt.Sscan(values[0], &f.breakAt); err != nil {
			t.Fatal(err)
		}
		f.fail = refusal.New(refusal.UpstreamFailed, "stage lost")
	case "moveAt":
		if _, err := fmt.Sscan(values[0], &f.moveAt); err != nil {
			t.Fatal(err)
		}
		f.moved = make(chan struct{})
	case "noUpstream":
		f.fail = refusal.New(refusal.NoUpstream, "no upstream")
	case "internal":
		f.fail = fmt.Errorf("secret detail of the fleet")
	default:
		t.Fatalf("unknown fault %q", name)
	}
}

// rawRequest completes the short form of the test data: "METHOD PATH", header
// lines, an empty line as "--", and the body.
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

// TestClientLibrary guards against answers that a usual client library can't
// read.
func TestClientLibrary(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(newAPI(&fake{}).Handler())
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey("key"), option.WithMaxRetries(0))

	whole, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:     "m",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		MaxTokens: openai.Int(3),
	})
	is.NoErr(err)
	is.Equal(whole.Choices[0].Text, " t0 t1 t2")
	is.Equal(string(whole.Choices[0].FinishReason), "length")
	is.Equal(whole.Usage.CompletionTokens, int64(3))

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
	is.Equal(len(models.Data), 1) // models of another team are not shown
}

// TestBrokenStreamInClientLibrary guards against a cut-off answer that looks
// whole to a client library.
func TestBrokenStreamInClientLibrary(t *testing.T) {
	is := is.New(t)
	f := &fake{fail: refusal.New(refusal.UpstreamFailed, "stage lost"), breakAt: 2}
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

// FuzzBody guards against a body that makes the API panic or answer with
// "internal".
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
