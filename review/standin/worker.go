package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a worker: a plain one, or a model worker that holds all layers.
type worker struct {
	fleet       *fleet
	id, address string
	service     string
	engine      bool
	layers      int
	slots       int
	born        int64
	listener    net.Listener
	// serve answers one request. It returns false if the channel shall be closed.
	serve func(w *worker, c net.Conn, r *http.Request, body []byte) bool

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	stopped chan struct{}
	orders  int
	from    int
	to      int
}

func (f *fleet) startWorker(i int, id, service string, serve func(w *worker, c net.Conn, r *http.Request, body []byte) bool) (*worker, error) {
	w := &worker{
		fleet: f, id: id, address: f.workerAddress(i), service: service, slots: 6, born: time.Now().UnixMilli(),
		serve: serve, conns: make(map[net.Conn]struct{}), stopped: make(chan struct{}),
	}
	return w, w.open()
}

func (f *fleet) startEngine(i int, id, service string, layers int, serve func(w *worker, c net.Conn, r *http.Request, body []byte) bool) (*worker, error) {
	w := &worker{
		fleet: f, id: id, address: f.workerAddress(i), service: service, engine: true, layers: layers, slots: 192, born: time.Now().UnixMilli(),
		serve: serve, conns: make(map[net.Conn]struct{}), stopped: make(chan struct{}),
	}
	return w, w.open()
}

func (w *worker) open() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = struct{}{}
			w.mu.Unlock()
			go w.channel(c)
		}
	}()
	go w.beat()
	return nil
}

func (w *worker) channel(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if e := r.Header.Get("X-Expect-Instance"); e != "" && e != w.id {
			reply(c, 421, "X-Instance-Id: "+w.id+"\r\nX-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n", "")
			continue
		}
		if w.engine && r.URL.Path == "/report" {
			w.mu.Lock()
			s := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"layers":{"from":%d,"to":%d,"version":1},"busy":false,"sequence":%d,"queued":0,"active":0,"kv-used":0,"kv-total":8000000,"handles":0,"pace":1,"stalled":[],"born":%d}`, w.from, w.to, w.orders, w.born)
			w.mu.Unlock()
			reply(c, 200, "Content-Type: application/json\r\n", s)
			continue
		}
		if w.engine && r.URL.Path == "/order" {
			w.mu.Lock()
			w.orders++
			w.from, w.to = 0, w.layers
			w.mu.Unlock()
			reply(c, 202, "Content-Type: application/json\r\n", "{}")
			continue
		}
		w.fleet.record.note("worker %s runs %s: %s %s, %d bytes", w.id, r.Header.Get("X-Request-Id"), r.Method, r.RequestURI, len(body))
		if !w.serve(w, c, r, body) {
			return
		}
	}
}

// reply writes a response with a length.
func reply(c net.Conn, status int, header, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// seal returns the headers of an answer of this worker.
func (w *worker) seal(r *http.Request) string {
	return "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Response-Seal: seal." + w.id + "." + r.Header.Get("X-Request-Id") + "\r\n"
}

func (w *worker) beat() {
	for sequence := 1; ; sequence++ {
		w.mu.Lock()
		b := map[string]any{
			"service": w.service, "address": w.address, "zone": "mid-a", "version": "v1", "slots": w.slots, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": w.born,
		}
		if w.engine {
			b["stage"], b["route-type"] = "both", "a100s"
			b["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
			b["layers"] = map[string]any{"from": w.from, "to": w.to, "version": 1}
		}
		w.mu.Unlock()
		_, _ = w.fleet.control("PUT", "/instances/"+w.id, b, time.Second)
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the worker: its port is closed and its channels are reset.
func (w *worker) crash() {
	close(w.stopped)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		reset(c)
	}
}

// reset closes a channel with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
