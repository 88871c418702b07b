package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxEventBytes is the size limit of one event. A usual event has a few hundred bytes.
// Each stream in progress may buffer this much, and a gateway with 200 MB of memory
// has more than a thousand streams.
const maxEventBytes = 64 << 10

// event is one event of a text/event-stream, including the blank line that ends it.
type event struct {
	raw []byte
	// id is the event ID if hasID is set. IDs may begin at 0.
	id    uint64
	hasID bool
	// comment reports whether the event consists only of comments and blank lines,
	// which servers send to keep an idle connection open.
	comment bool
}

// eventReader splits a stream into events. The bytes of an event are valid until the
// next call of next.
type eventReader struct {
	source *bufio.Reader
	buffer []byte
	// grow is called with the number of bytes by which the buffer grows.
	grow func(bytes int64) error
}

// next returns the next whole event, including blank lines before it. The error is
// io.EOF at the end of a stream, and io.ErrUnexpectedEOF if the stream ends within an
// event. Blank lines at the end of a stream are returned as an event without an ID.
func (s *eventReader) next() (event, error) {
	s.buffer = s.buffer[:0]
	e := event{comment: true}
	lineStart := 0   // offset of the current line in the buffer
	inEvent := false // a line of the event that is not blank has been read
	isEvent := false // a field of the event stream format has been read
	for {
		part, err := s.source.ReadSlice('\n')
		size := cap(s.buffer)
		s.buffer = append(s.buffer, part...)
		if grown := cap(s.buffer) - size; grown > 0 {
			if err := s.grow(int64(grown)); err != nil {
				return event{}, err
			}
		}
		if len(s.buffer) > maxEventBytes {
			return event{}, errors.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue // the line continues
		}
		if err != nil {
			return s.end(err, inEvent || lineStart < len(s.buffer))
		}
		line := bytes.TrimRight(s.buffer[lineStart:], "\r\n")
		lineStart = len(s.buffer)
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			value = bytes.TrimSpace(value)
			if e.id, err = strconv.ParseUint(string(value), 10, 64); err != nil {
				// The value is cut off, whereas the error of strconv quotes all of it.
				return event{}, errors.Errorf("invalid event ID %.64q", value)
			}
			e.hasID = true
		}
		if len(line) > 0 {
			inEvent = true
			e.comment = e.comment && line[0] == ':'
			isEvent = isEvent || isEventField(line)
		} else if inEvent {
			if !e.comment && !isEvent {
				return event{}, errors.Errorf("%.64q is no event", s.buffer)
			}
			e.raw = s.buffer
			return e, nil
		}
	}
}

// isEventField reports whether a line is a field that the event stream format defines
// (HTML Living Standard, section 9.2.6). An error page or the head of another response has
// none.
func isEventField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data", "event", "id", "retry":
		return true
	}
	return false
}

// end returns the rest of the buffer when reading failed with err. partial reports
// whether the buffer holds a part of an event.
func (s *eventReader) end(err error, partial bool) (event, error) {
	switch {
	case !errors.Is(err, io.EOF) || len(s.buffer) == 0:
		return event{}, err
	case partial:
		return event{}, io.ErrUnexpectedEOF
	}
	return event{raw: s.buffer, comment: true}, nil
}

// eventTiming records when the events of a stream were written to the client. Times are
// relative to the arrival of the request; longestGapAt is the end of the longest gap.
type eventTiming struct {
	events                   int
	first, newest            time.Duration
	longestGap, longestGapAt time.Duration
}

// record adds an event that was written at the given time.
func (p *eventTiming) record(at time.Duration) {
	if p.events == 0 {
		p.first = at
	} else if g := at - p.newest; g > p.longestGap {
		p.longestGap, p.longestGapAt = g, at
	}
	p.events++
	p.newest = at
}
