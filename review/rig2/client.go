//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id       string
	sent     time.Time // when the last byte was sent
	status   int       // 0 if the channel ended without one
	body     string
	complete bool
	at       time.Time
	err      error
}

func (a answer) String() string {
	s := fmt.Sprintf("status %d, %d bytes, complete %t", a.status, len(a.body), a.complete)
	if a.err != nil {
		s += ": " + a.err.Error()
	}
	return s
}

// head returns the lines of a request of this deployment, without the last empty line.
func head(method, path, id string, bodyBytes int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: daka510000\r\nX-Token-Counts: 760,154\r\n"+
		"X-Prompt-Prefix: 5c1e07a2:40,e4402b7d:720\r\nX-Deadline-Ms: 20000\r\nApi-Key: %s\r\nContent-Length: %d\r\n",
		method, path, host, id, apiKey, bodyBytes)
}

// readAnswer reads the answer to a request.
func readAnswer(c net.Conn, a answer) answer {
	_ = c.SetReadDeadline(time.Now().Add(25 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err, a.at = err, time.Now()
		return a
	}
	a.status = resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	a.body, a.complete, a.at = string(b), err == nil, time.Now()
	if err != nil && !errors.Is(err, io.EOF) {
		a.err = err
	}
	return a
}

// request sends a request to a gateway over a new channel and reads the answer.
func (r *rig) request(g *machine, method, path string) answer {
	a := answer{id: r.nextID()}
	c, err := net.DialTimeout("tcp", g.front(), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	const body = "a page of the ledger"
	_, err = io.WriteString(c, head(method, path, a.id, len(body))+"\r\n"+body)
	a.sent = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	return readAnswer(c, a)
}

// pieces returns the number of whole events of a stream.
func (a answer) pieces() int { return strings.Count(a.body, "\n\n") }
