package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["leave"] = leavingClients }

const (
	leaveOrders = 40
	// leaveShare is the share of the clients that leave, one of five.
	leaveShare = 5
	leaveAfter = 75 * time.Millisecond // half of the objective of 150 ms
	leaveWork  = 200 * time.Millisecond
)

// leavingClients sends orders. One client of five leaves early: it ends its direction of
// the channel, and reads what still comes until the channel ends. No client may get a
// success without the proof of a worker.
func leavingClients(f *fleet, r *record, trouble bool) ([]string, error) {
	for i := range 3 {
		_, err := f.startWorker(i, "desk-"+strconv.Itoa(i+1), "desk", func(w *worker, c net.Conn, q *http.Request, _ []byte) bool {
			time.Sleep(leaveWork)
			reply(c, http.StatusOK, w.seal(q), "order accepted")
			return true
		})
		if err != nil {
			return nil, err
		}
	}
	if _, err := f.control("PUT", "/config", configuration(7, route("order", "/order/", "non_idempotent", "desk", 1500)), 10*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	var mu sync.Mutex
	var broken []string
	proven := 0
	var wg sync.WaitGroup
	for i := range leaveOrders {
		leaves := trouble && i%leaveShare == 0
		wg.Go(func() {
			p, body, err := f.order(r, i, leaves)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				r.note("client: order-%d: no answer: %v", i, err)
			case p.StatusCode/100 == 2 && p.Header.Get("X-Response-Seal") == "":
				r.note("client: order-%d: status %d without a proof, body %q", i, p.StatusCode, body)
				broken = append(broken, fmt.Sprintf("order-%d got status %d without X-Response-Seal, body %q", i, p.StatusCode, body))
			default:
				r.note("client: order-%d: status %d, seal %q, body %q", i, p.StatusCode, p.Header.Get("X-Response-Seal"), body)
				proven++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	if proven < leaveOrders/2 {
		return nil, fmt.Errorf("only %d of %d orders were answered with a proof", proven, leaveOrders)
	}
	return broken, nil
}

// order sends one order on a new channel and returns what the client reads.
func (f *fleet) order(r *record, i int, leaves bool) (*http.Response, []byte, error) {
	c, err := net.Dial("tcp", f.gateways[0].address(frontPort))
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	r.note("client: order-%d: sent", i)
	body := fmt.Sprintf(`{"sheet":%d}`, i)
	if _, err := fmt.Fprintf(c, "POST /order/%d HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: order-%d\r\nX-Deadline-Ms: 1500\r\n"+
		"Api-Key: key-parish\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", i, i, len(body), body); err != nil {
		return nil, nil, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		r.note("client: order-%d: leaves, and ends its direction of the channel", i)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return nil, nil, err
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return nil, nil, err
	}
	p, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, nil, err
	}
	content, err := io.ReadAll(p.Body)
	return p, content, err
}
