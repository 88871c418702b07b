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

// blockingExecutor is a pipeline.Executor that emits one token and then blocks
// until the request is cancelled.
type blockingExecutor struct {
	fake
	started chan struct{}
	done    chan struct{}
}

func newBlockingExecutor() *blockingExecutor {
	return &blockingExecutor{started: make(chan struct{}, 1<<16), done: make(chan struct{}, 1<<16)}
}

func (e *blockingExecutor) Run(ctx context.Context, _ pipeline.GenerationRequest, emit func(pipeline.Token) error) (pipeline.FinishReason, error) {
	err := emit(pipeline.Token{Text: " t"})
	e.started <- struct{}{}
	if err == nil {
		<-ctx.Done()
		err = ctx.Err()
	}
	e.done <- struct{}{}
	return 0, err
}

func streamBody(maxTokens string) io.Reader {
	return strings.NewReader(`{"model":"m","prompt":"x","max_tokens":` + maxTokens + `,"stream":true}`)
}

func streamRequest(ctx context.Context, url, maxTokens string) *http.Request {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", streamBody(maxTokens))
	r.Header.Set("Authorization", "Bearer key")
	return r
}

// discardWriter is an http.ResponseWriter that discards its input.
type discardWriter struct{ header http.Header }

func (r discardWriter) Header() http.Header         { return r.header }
func (r discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (r discardWriter) WriteHeader(int)             {}
func (r discardWriter) Flush()                      {}

// BenchmarkToken reports the cost of one token of a stream, without the network.
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
				handler.ServeHTTP(discardWriter{make(http.Header)}, r)
			}
		})
	}
}

// BenchmarkLookup reports the cost of one call to a service, without the network.
func BenchmarkLookup(b *testing.B) {
	handler := newAPI(&fake{}).Handler()
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/services/desk/row", nil)
		r.Header.Set("Authorization", "Bearer key")
		handler.ServeHTTP(discardWriter{make(http.Header)}, r)
	}
}

// BenchmarkOpenStreams reports the memory and goroutines per open stream. Memory
// covers server and client; of the goroutines, the two of the client are
// subtracted.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		e := newBlockingExecutor()
		server := httptest.NewServer(newAPI(&e.fake, withExecutor(e)).Handler())
		before, goroutines := memoryInUse(), runtime.NumGoroutine()
		ctx, cancel := context.WithCancel(b.Context())
		client := &http.Client{Transport: &http.Transport{}}
		for range streams {
			response, err := client.Do(streamRequest(ctx, server.URL, "2"))
			if err != nil {
				b.Fatal(err)
			}
			defer response.Body.Close()
			<-e.started
		}
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/streams-2, "goroutines/stream")
		cancel()
		for range streams {
			<-e.done
		}
		server.Close()
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// TestCancelledRequests guards against goroutines or tickets that leak when a
// caller disconnects in the middle of a stream.
func TestCancelledRequests(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const workers = 20
	requestsPerWorker := cancelledRequests / workers
	e := newBlockingExecutor()
	server := httptest.NewServer(newAPI(&e.fake, withExecutor(e)).Handler())
	transport := &http.Transport{}
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range requestsPerWorker {
				ctx, cancel := context.WithCancel(t.Context())
				response, err := transport.RoundTrip(streamRequest(ctx, server.URL, "2"))
				if err != nil {
					t.Error(err)
					cancel()
					return
				}
				_, _ = bufio.NewReader(response.Body).ReadString('\n')
				cancel()
				response.Body.Close()
			}
		})
	}
	wg.Wait()
	for range workers * requestsPerWorker {
		<-e.done
	}
	transport.CloseIdleConnections()
	server.Close()
	if e.tickets() != 0 {
		t.Errorf("%d tickets were not released", e.tickets())
	}
}
