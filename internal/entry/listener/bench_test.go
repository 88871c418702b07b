package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// BenchmarkRequest measures an ordinary request on a connection that is kept open, whose
// head and body arrive at once.
func BenchmarkRequest(b *testing.B) {
	l, err := Listen("bench", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := New("bench", l, &http.Server{MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	})}, make(clock), zap.NewNop())
	b.Cleanup(func() { _ = s.http.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := "POST /stream/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nRequest-Id: bench\r\nBudget-Ms: 1000\r\nToken-Counts: 775,100\r\n" +
		"Prompt-Parts: a:1,b:2,c:3\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000)
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil || response.StatusCode != http.StatusNoContent {
			b.Fatal(response, err)
		}
	}
}
