package listener

import (
	"bytes"

	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
)

const (
	// maxHeadLines is the maximum number of lines of a head. The largest head that the
	// deployments allow, 16,384 bytes in lines of three bytes, has 5,461.
	maxHeadLines = 8192
	// maxEmptyLines is the maximum number of empty lines before a request. net/http
	// accepts at most four, after a POST request.
	maxEmptyLines = 8
	// headMargin is how many bytes a head may exceed its limit by until the connection
	// is closed. Within it the handler refuses the request with its own response.
	headMargin = 4 << 10
	// minLineBytes is the length of the shortest header line.
	minLineBytes = 3
	// parseBufferBytes is the size of the buffer in which net/http may hold bytes of the
	// next request.
	parseBufferBytes = 4 << 10
)

// headCounter counts the lines and bytes of the head of a request as they are read. It
// does not check their syntax.
type headCounter struct {
	bytes, lines, emptyLines int
	lineBytes                int // in the current line so far
	endsInCR                 bool
	done                     bool
}

// add counts b and returns the number of bytes that follow the end of the head. Empty
// lines before the first line don't end a head.
func (h *headCounter) add(b []byte) (rest int) {
	h.done = false
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.bytes += len(b)
			h.lineBytes += len(b)
			h.endsInCR = b[len(b)-1] == '\r'
			return 0
		}
		n := h.lineBytes + i
		if i > 0 && b[i-1] == '\r' || i == 0 && h.endsInCR {
			n--
		}
		h.bytes += i + 1
		h.lineBytes, h.endsInCR = 0, false
		b = b[i+1:]
		switch {
		case n > 0:
			h.lines++
		case h.lines > 0:
			h.done = true
			return len(b)
		default:
			h.emptyLines++
		}
	}
	return 0
}

// cost returns the memory of the head in bytes.
func (h *headCounter) cost() int64 { return head.Cost(h.bytes, h.lines) }

// carriedCost returns the most memory that bytes cost which net/http has read ahead and
// which may be the beginning of a head.
func carriedCost(bytes int) int64 {
	return head.Cost(bytes, bytes/minLineBytes)
}
