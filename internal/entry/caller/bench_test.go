package caller_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"github.com/bilberryrock/bilberryrock/internal/pipeline"
)

// held is a courier that sends one token and then waits for the end of the
// request.
type held struct {
	fake
	begun chan struct{}
	ended chan struct{}
}

func newHeld() *held {
	return &held{begun: make(chan struct{}, 1<<16), ended: make(chan struct{}, 1<<16)}
}

func (h *held) Run(ctx context.Context, _ pipeline.Generation, emit func(pipeline.Piece) error) (pipeline.FinishReason, error) {
	err := emit(pipeline.Piece{Text: " t"})
	h.begun <- struct{}{}
	if err == nil {
		<-ctx.Done()
		err = ctx.Err()
	}
	h.ended <- struct{}{}
	return 0, err
}

func streamBody(tokens string) io.Reader {
	return strings.NewReader(`{"model":"m","prompt":"x","max_tokens":` + tokens + `,"stream":true}`)
}

func streamRequest(ctx context.Context, url, tokens string) *http.Request {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", streamBody(tokens))
	r.Header.Set("Authorization", "Bearer key")
	return r
}

// recorder is a ResponseWriter that drops what it gets.
type recorder struct{ header http.Header }

func (r recorder) Header() http.Header         { return r.header }
func (r recorder) Write(b []byte) (int, error) { return len(b), nil }
func (r recorder) WriteHeader(int)             {}
func (r recorder) Flush()                      {}

// BenchmarkToken reports the cost of one token of a stream without its socket.
func BenchmarkToken(b *testing.B) {
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		b.Run(path[len("/v1/"):], func(b *testing.B) {
			const tokens = 100
			handler := newAPI(&fake{}).Handler()
			body := `{"model":"m","prompt":"x","messages":[{"role":"user","content":"x"}],"max_tokens":100,"stream":true}`
			b.ReportAllocs()
			for i := 0; i < b.N; i += tokens {
				r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer key")
				handler.ServeHTTP(recorder{make(http.Header)}, r)
			}
		})
	}
}

// BenchmarkLookup reports the cost of one call to a service without its sockets.
func BenchmarkLookup(b *testing.B) {
	handler := newAPI(&fake{}).Handler()
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/services/desk/row", nil)
		r.Header.Set("Authorization", "Bearer key")
		handler.ServeHTTP(recorder{make(http.Header)}, r)
	}
}

// BenchmarkOpenStreams reports memory and goroutines of one open stream, server
// side and client side together less the client's own two goroutines.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		h := newHeld()
		server := httptest.NewServer(newAPI(&h.fake, withCourier(h)).Handler())
		before, goroutines := memory(), runtime.NumGoroutine()
		ctx, cancel := context.WithCancel(b.Context())
		client := &http.Client{Transport: &http.Transport{}}
		for range streams {
			answer, err := client.Do(streamRequest(ctx, server.URL, "2"))
			if err != nil {
				b.Fatal(err)
			}
			defer answer.Body.Close()
			<-h.begun
		}
		b.ReportMetric(float64(memory()-before)/streams, "B/stream")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/streams-2, "goroutines/stream")
		cancel()
		for range streams {
			<-h.ended
		}
		server.Close()
	}
}

// memory returns the heap and stacks in use after a collection.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// TestCancelledRequests guards against a goroutine or a ticket that stays behind
// when a caller goes away in the middle of a stream.
func TestCancelledRequests(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const workers = 20
	each := cancelledRequests / workers
	h := newHeld()
	server := httptest.NewServer(newAPI(&h.fake, withCourier(h)).Handler())
	transport := &http.Transport{}
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for range each {
				ctx, cancel := context.WithCancel(t.Context())
				answer, err := transport.RoundTrip(streamRequest(ctx, server.URL, "2"))
				if err != nil {
					t.Error(err)
					cancel()
					return
				}
				_, _ = bufio.NewReader(answer.Body).ReadString('\n')
				cancel()
				answer.Body.Close()
			}
		})
	}
	wait.Wait()
	for range workers * each {
		<-h.ended
	}
	transport.CloseIdleConnections()
	server.Close()
	if h.tickets() != 0 {
		t.Errorf("%d tickets were not given back", h.tickets())
	}
}
