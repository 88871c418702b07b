// Package head checks the heads of HTTP/1.1 responses that upstreams send, while their
// bytes arrive. net/http accepts heads that RFC 9110 and RFC 9112 call invalid, and
// derives another body from them than their sender may have meant.
//
//	s := head.Scanner{Limit: limit}
//	s.Start()
//	for s.Active() {
//		n, err := conn.Read(buffer)
//		...
//		if err := s.Scan(buffer[:n]); err != nil {
//			return err // a *head.Error
//		}
//	}
//
// A Scanner goes on after interim (1xx) responses up to the end of the final head. It
// ignores the bytes after that until the next Start.
package head

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

//go:generate ../../../bin/stringer -type=Fault -linecomment -output=fault_string.go

// Fault is what is wrong with a head.
type Fault int

// The faults of heads.
const (
	// FaultStatus is a malformed status line, a status outside of 100 to 599, or a change
	// of the protocol, which is never requested.
	FaultStatus Fault = iota // status
	// FaultField is a line that is no field: its name is empty or has a byte that names
	// must not have, its value has a control byte, or it continues the line before it.
	FaultField // field
	// FaultFraming is a length or a transfer coding that the response must not have.
	FaultFraming // framing
	// FaultSize is a head above the limit.
	FaultSize // size
)

// Error is returned for an invalid head or trailer.
type Error struct {
	Fault  Fault
	detail string
}

// Error implements error.
func (e *Error) Error() string { return "invalid response head: " + e.detail }

func newError(f Fault, format string, args ...any) *Error {
	return &Error{Fault: f, detail: fmt.Sprintf(format, args...)}
}

// part is the part of a head that the next byte belongs to.
type part int

const (
	statusLine part = iota
	fieldName       // or the empty line that ends the head
	fieldValue
)

const (
	// maxStatus is the highest status code of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// maxTextBytes is how much of a line is kept: the status code and the names that are
	// compared are shorter.
	maxTextBytes = 24
)

// Scanner checks the head of one response after another.
type Scanner struct {
	// Limit is the maximum size of a head in bytes, including interim responses.
	Limit int
	// Grow, if not nil, is called with the memory in bytes that net/http takes for what was
	// scanned. Scan returns its error.
	Grow func(bytes int64) error

	active       bool
	bytes, lines int // since Start
	part         part
	// endsInCR reports whether the latest byte is a carriage return.
	endsInCR bool
	// text is the beginning of the status line or of the name, of textLength bytes.
	text       [maxTextBytes]byte
	textLength int
	// minorVersion and status are those of the latest status line.
	minorVersion, status int
}

// Start makes the next byte the first one of a head.
func (s *Scanner) Start() { *s = Scanner{Limit: s.Limit, Grow: s.Grow, active: true} }

// Active reports whether the end of the head is still to come.
func (s *Scanner) Active() bool { return s.active }

// Size returns the number of bytes and of lines since Start.
func (s *Scanner) Size() (bytes, lines int) { return s.bytes, s.lines }

// Scan checks the next bytes up to the end of the head. Errors for an invalid head are of
// type *Error.
func (s *Scanner) Scan(b []byte) error {
	before := Cost(s.bytes, s.lines)
	for _, c := range b {
		if !s.active {
			break
		}
		if err := s.scanByte(c); err != nil {
			return err
		}
	}
	if grown := Cost(s.bytes, s.lines) - before; s.Grow != nil && grown > 0 {
		return s.Grow(grown)
	}
	return nil
}

func (s *Scanner) scanByte(c byte) error {
	s.bytes++
	if s.bytes > s.Limit {
		return newError(FaultSize, "it exceeds %d bytes", s.Limit)
	}
	if s.endsInCR && c != '\n' {
		return newError(FaultField, "carriage return inside of line %d", s.lines+1)
	}
	s.endsInCR = c == '\r'
	switch {
	case s.endsInCR:
		return nil
	case c == '\n':
		return s.endLine()
	case s.part == statusLine:
		s.appendText(c)
	case s.part == fieldName && c == ':':
		s.part = fieldValue
		return s.checkName()
	case s.part == fieldName:
		if !httpguts.IsTokenRune(rune(c)) {
			return newError(FaultField, "byte %q in the name of the field after %q", c, s.lineText())
		}
		s.appendText(c)
	case c < ' ' && c != '\t' || c == 0x7f:
		return newError(FaultField, "byte %q in the value of the field %q", c, s.lineText())
	}
	return nil
}

func (s *Scanner) endLine() error {
	switch {
	case s.part == statusLine:
		if err := s.parseStatusLine(); err != nil {
			return err
		}
	case s.part == fieldName && s.textLength == 0 && s.status < http.StatusOK:
		s.part = statusLine // an interim response
		return nil
	case s.part == fieldName && s.textLength == 0:
		s.active = false
		return nil
	case s.part == fieldName:
		return newError(FaultField, "line %q has no colon", s.lineText())
	}
	s.lines++
	s.part, s.textLength = fieldName, 0
	return nil
}

// parseStatusLine checks a status line in the form "HTTP/1.1 200 OK".
func (s *Scanner) parseStatusLine() error {
	line := s.lineText()
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	_, minor, isHTTP := http.ParseHTTPVersion(version)
	status, err := strconv.ParseUint(code, 10, 16)
	valid := isHTTP && strings.HasPrefix(version, "HTTP/1.") && err == nil && len(code) == 3 && status >= http.StatusContinue && status <= maxStatus
	if !valid || status == http.StatusSwitchingProtocols {
		return newError(FaultStatus, "status line %q", line)
	}
	s.minorVersion, s.status = minor, int(status)
	return nil
}

// checkName checks that the response may have the field whose name was read.
func (s *Scanner) checkName() error {
	name := s.lineText()
	switch {
	case name == "":
		return newError(FaultField, "line %d has no name", s.lines+1)
	case strings.EqualFold(name, "Transfer-Encoding") && (s.minorVersion == 0 || s.status < http.StatusOK || s.status == http.StatusNoContent):
		return newError(FaultFraming, "transfer coding in a response with HTTP/1.%d and status %d", s.minorVersion, s.status)
	case strings.EqualFold(name, "Content-Length") && s.status < http.StatusOK:
		return newError(FaultFraming, "length in a response with status %d", s.status)
	}
	return nil
}

func (s *Scanner) appendText(c byte) {
	if s.textLength < len(s.text) {
		s.text[s.textLength] = c
	}
	s.textLength++
}

func (s *Scanner) lineText() string { return string(s.text[:min(s.textLength, len(s.text))]) }

// CheckTrailer returns an error if a trailer has a field with an invalid name. net/http has
// checked the values.
func CheckTrailer(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return newError(FaultField, "name %.64q in the trailer", name)
		}
	}
	return nil
}
