package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["first"] = firstEvent }

const (
	firstEngines = 6 // one of them crashes, a share of 0.17
	firstStreams = 12
	firstEvents  = 20
	// firstPause is the time between two events. A pause may last 200 ms.
	firstPause = 150 * time.Millisecond
)

// firstEvent sends streams to model workers that number their events from 0 on. One
// worker crashes after the first event of a stream. No client may get a piece twice, or
// miss one.
func firstEvent(f *fleet, r *record, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var doomed string // worker that crashes
	crash := func(w *worker) bool {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || doomed != "" {
			return false
		}
		doomed = w.id
		return true
	}
	serve := func(w *worker, c net.Conn, q *http.Request, _ []byte) bool {
		first := 0
		if s := q.Header.Get("Last-Event-Id"); s != "" {
			n, err := strconv.Atoi(s)
			if err != nil {
				reply(c, http.StatusBadRequest, w.seal(q), "")
				return true
			}
			first = n + 1
		}
		r.note("worker %s: %s begins with event %d, Last-Event-Id %q", w.id, q.Header.Get("X-Request-Id"), first, q.Header.Get("Last-Event-Id"))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", w.seal(q))
		for i := first; i < firstEvents; i++ {
			e := fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return false
			}
			time.Sleep(firstPause)
			if i == 0 && q.Header.Get("X-Request-Id") == "stream-4" && crash(w) {
				r.note("worker %s crashes", w.id)
				w.crash()
				return false
			}
		}
		_, _ = fmt.Fprintf(c, "0\r\n\r\n")
		return true
	}
	for i := range firstEngines {
		_, err := f.startEngine(i, "engine-"+strconv.Itoa(i+1), "pool", 20, serve)
		if err != nil {
			return nil, err
		}
	}
	if _, err := f.control("PUT", "/config", configuration(7, streamRoute("transcribe", "/transcribe/")), 10*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second) // the layers are placed
	var broken []string
	complete := 0
	var wg sync.WaitGroup
	for i := range firstStreams {
		wg.Go(func() {
			pieces, whole, err := f.stream(i)
			fault := checkPieces(pieces, whole)
			r.note("client: stream-%d: pieces %s, complete %t, error %v: %s", i, strings.Join(pieces, " "), whole, err, fault)
			mu.Lock()
			defer mu.Unlock()
			if fault != "" {
				broken = append(broken, fmt.Sprintf("stream-%d: %s", i, fault))
			} else if whole {
				complete++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	if complete < firstStreams/2 {
		return nil, fmt.Errorf("only %d of %d streams were complete", complete, firstStreams)
	}
	return broken, nil
}

// checkPieces returns how the pieces break the order of a stream, or nothing.
func checkPieces(pieces []string, whole bool) string {
	for i, p := range pieces {
		if want := "piece-" + strconv.Itoa(i); p != want {
			return fmt.Sprintf("%s comes where %s is due", p, want)
		}
	}
	if whole && len(pieces) < firstEvents {
		return fmt.Sprintf("the stream ends as complete after %d of %d pieces", len(pieces), firstEvents)
	}
	return ""
}

// stream reads one stream. It returns the pieces and whether the stream ended as complete.
func (f *fleet) stream(i int) (pieces []string, whole bool, err error) {
	c, err := net.Dial("tcp", f.gateways[0].address(frontPort))
	if err != nil {
		return nil, false, err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST /transcribe/%d HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: stream-%d\r\nX-Deadline-Ms: 20000\r\n"+
		"Api-Key: key-parish\r\nX-Model: m\r\nX-Token-Counts: 800,40\r\nX-Prompt-Prefix: aa:40,c%d:760\r\nContent-Length: 4\r\n\r\npage", i, i, i); err != nil {
		return nil, false, err
	}
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return nil, false, err
	}
	p, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, false, err
	}
	if p.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("status %d", p.StatusCode)
	}
	lines := bufio.NewScanner(p.Body)
	for lines.Scan() {
		if s, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			pieces = append(pieces, s)
		}
	}
	return pieces, lines.Err() == nil, lines.Err()
}
