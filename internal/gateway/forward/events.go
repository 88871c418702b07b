package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream, which has a few hundred bytes. Each
// stream in progress may hold as much, and a gateway with 200 MB of memory has more
// than a thousand.
const maxEventBytes = 64 << 10

// event is one event of a text/event-stream, with the blank line that ends it.
type event struct {
	raw []byte
	// id is the number of the event. It is 0 for events without one.
	id uint64
	// comment tells that there are only comments and blank lines, which servers send
	// so that an idle connection is kept.
	comment bool
}

// events reads a stream event by event. The bytes of an event are valid until the
// next call.
type events struct {
	reader *bufio.Reader
	buffer []byte
}

// next returns the next whole event with the blank lines before it. The error is
// io.EOF at the end of a stream, and io.ErrUnexpectedEOF when the stream ends within
// an event. Blank lines at the end of a stream come as an event without a number.
func (s *events) next() (event, error) {
	s.buffer = s.buffer[:0]
	e := event{comment: true}
	start := 0     // of the current line in the buffer
	begun := false // a line of the event that is not blank was read
	for {
		part, err := s.reader.ReadSlice('\n')
		s.buffer = append(s.buffer, part...)
		if len(s.buffer) > maxEventBytes {
			return event{}, errors.Errorf("an event has more than %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue // the line goes on
		}
		if err != nil {
			return s.end(err, begun || start < len(s.buffer))
		}
		line := bytes.TrimRight(s.buffer[start:], "\r\n")
		start = len(s.buffer)
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			value = bytes.TrimSpace(value)
			if e.id, err = strconv.ParseUint(string(value), 10, 64); err != nil {
				// The error of strconv quotes the whole value.
				return event{}, errors.Errorf("the number of an event is %.64q", value)
			}
		}
		if len(line) > 0 {
			begun = true
			e.comment = e.comment && line[0] == ':'
		} else if begun {
			e.raw = s.buffer
			return e, nil
		}
	}
}

// end returns what is left when the stream ends with an error.
func (s *events) end(err error, within bool) (event, error) {
	switch {
	case !errors.Is(err, io.EOF) || len(s.buffer) == 0:
		return event{}, err
	case within:
		return event{}, io.ErrUnexpectedEOF
	}
	return event{raw: s.buffer, comment: true}, nil
}

// pace tells how the events of a stream reached the client. Times count from the
// arrival of the request.
type pace struct {
	events                   int
	first, newest            time.Duration
	longestGap, longestGapAt time.Duration
}

// note records an event at a time.
func (p *pace) note(at time.Duration) {
	if p.events == 0 {
		p.first = at
	} else if g := at - p.newest; g > p.longestGap {
		p.longestGap, p.longestGapAt = g, at
	}
	p.events++
	p.newest = at
}
