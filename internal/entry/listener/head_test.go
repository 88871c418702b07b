package listener

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// FuzzHead guards against a counter that misses the end of a head, which would charge a
// body as header lines or miss the next head, and against a count that depends on how the
// bytes are split into reads.
func FuzzHead(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nrest", "GET / HTTP/1.1\nHost: h\n\nrest", "GET / HTTP/1.1\r\nHost: h\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA:\r\n b\r\n\tc\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n\r\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n \r\n\r\n", "\r", "\n", "GET / HTTP/1.1\r\nHost: h\r\nA: \r\r\n\r\n",
	} {
		for _, split := range []int{1, 2, 3, 100} {
			f.Add([]byte(s), split)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		if split <= 0 {
			return
		}
		var whole, parts headCounter
		end := len(data) - whole.add(data)
		for from := 0; from < len(data) && !parts.done; from += split {
			part := data[from:min(from+split, len(data))]
			rest := parts.add(part)
			if parts.done && from+len(part)-rest != end {
				t.Errorf("the head ends at %d, or at %d if it is split", end, from+len(part)-rest)
			}
		}
		if whole.bytes != parts.bytes || whole.lines != parts.lines || whole.emptyLines != parts.emptyLines || whole.done != parts.done {
			t.Errorf("counts %+v, but %+v if the head is split", whole, parts)
		}
		r := bufio.NewReader(bytes.NewReader(data))
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		rest, err := io.ReadAll(r)
		if err != nil || !whole.done || len(data)-len(rest) != end {
			t.Errorf("net/http ends the head at %d, the counter at %d (%t): %v", len(data)-len(rest), end, whole.done, err)
		}
	})
}

// TestHeadCost guards against a charge below the memory that net/http needs for a head.
func TestHeadCost(t *testing.T) {
	for name, head := range map[string]string{
		"different names": distinctLines(16384),
		"one name":        strings.Repeat("a:\r\n", 4096),
		"shortest lines":  strings.Repeat("a:\n", 5461),
		"long name":       strings.Repeat("n", 16000) + ":\r\n",
		"long value":      "N: " + strings.Repeat("v", 16000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := []byte("GET / HTTP/1.1\r\nHost: h\r\n" + head + "\r\n")
			var h headCounter
			h.add(head)
			is.True(h.done)
			var before, after runtime.MemStats
			const runs = 100
			runtime.ReadMemStats(&before)
			for range runs {
				_, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
				is.NoErr(err)
			}
			runtime.ReadMemStats(&after)
			allocated := int64(after.TotalAlloc-before.TotalAlloc) / runs
			t.Logf("charge %d, allocated %d bytes", h.cost(), allocated)
			is.True(h.cost()+connectionCost >= allocated)
		})
	}
}

// distinctLines returns header lines of six bytes with different names.
func distinctLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len()+6 <= size; i++ {
		b.WriteString(string([]byte{byte('a' + i/676%26), byte('a' + i/26%26), byte('a' + i%26)}) + ":\r\n")
	}
	return b.String()
}
