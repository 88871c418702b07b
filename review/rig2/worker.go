//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a worker: an engine that can hold the whole model, or a plain
// worker.
type worker struct {
	rig           *rig
	id, service   string
	engine        bool
	zone, address string
	server        *http.Server
	born          int64
	pause         time.Duration // between two events of a stream, or before a plain answer
	events        int           // of a stream
	stop          chan struct{}
	stopped       chan struct{}

	mu        sync.Mutex
	from, to  int
	loadedAt  time.Time
	orders    int
	fence     uint64
	leaving   bool
	sequence  int
	next      int // controller of the next heartbeat
	active    int
	arrivals  []arrival
	lastBeat  time.Time
	completed map[string]bool // requests whose answer was written to its end
}

// arrival is a request that reached the worker, and was not sent back with 421.
type arrival struct {
	id string
	at time.Time
}

func (r *rig) addWorker(id, service string, engine bool, zone int) (*worker, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d.200:0", r.base, zone))
	if err != nil {
		return nil, err
	}
	w := &worker{
		rig: r, id: id, service: service, engine: engine, zone: zoneName(zone), address: l.Addr().String(), born: time.Now().UnixMilli(),
		pause: 30 * time.Millisecond, events: 77, stop: make(chan struct{}), stopped: make(chan struct{}), completed: make(map[string]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", w.report)
	mux.HandleFunc("POST /order", w.order)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	r.note("worker %s of %s starts at %s in %s", id, service, w.address, w.zone)
	go func() {
		defer close(w.stopped)
		for {
			w.beat()
			select {
			case <-w.stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return w, nil
}

func (w *worker) said() map[string]any {
	b := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 192, "state": "ready",
		"cold-remaining-ms": 0, "sequence": w.sequence, "born": w.born,
	}
	if !w.engine {
		b["slots"] = 6
		return b
	}
	b["route-type"] = "a100s"
	b["stage"] = "both"
	b["models"] = []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}}
	if from, to := w.held(); to > from {
		b["layers"] = map[string]any{"from": from, "to": to, "version": 1}
	}
	return b
}

// held returns the layers that are loaded. The lock must be held.
func (w *worker) held() (int, int) {
	if time.Now().Before(w.loadedAt) {
		return 0, 0
	}
	return w.from, w.to
}

func (w *worker) beat() {
	w.mu.Lock()
	w.sequence++
	b, _ := json.Marshal(w.said())
	w.mu.Unlock()
	cs := w.rig.controllers()
	for range cs {
		if call(http.MethodPut, "http://"+cs[w.next%len(cs)].control()+"/instances/"+w.id, b) == http.StatusOK {
			w.mu.Lock()
			w.lastBeat = time.Now()
			w.mu.Unlock()
			return
		}
		w.next++
	}
}

// endBeats ends the heartbeats.
func (w *worker) endBeats() {
	close(w.stop)
	<-w.stopped
}

func (w *worker) leave() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
	b, _ := json.Marshal(map[string]any{"born": w.born})
	return b
}

func (w *worker) report(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.head(rw)
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from, to := w.held()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}},
		"busy": time.Now().Before(w.loadedAt), "sequence": w.orders, "queued": 0, "active": w.active, "kv-used": 0, "kv-total": 100000,
		"handles": 0, "pace": 1, "layers": map[string]any{"from": from, "to": to, "version": 1}, "stalled": []any{},
	})
}

// head adds the header of a worker that leaves. The lock must be held.
func (w *worker) head(rw http.ResponseWriter) {
	if w.leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string `json:"operation"`
		From         int    `json:"from"`
		To           int    `json:"to"`
		Fence        uint64 `json:"fencing-token"`
		Precondition *int   `json:"precondition"`
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.head(rw)
	status := http.StatusAccepted
	switch {
	case r.Header.Get("X-Expect-Instance") != w.id:
		status = http.StatusMisdirectedRequest
	case err != nil || o.Operation != "place":
		status = http.StatusBadRequest
	case o.Fence < w.fence:
		status = http.StatusPreconditionFailed
	case o.Precondition != nil && *o.Precondition != w.orders || time.Now().Before(w.loadedAt):
		status = http.StatusConflict
	default:
		w.from, w.to, w.fence = o.From, o.To, o.Fence
		w.orders++
		w.loadedAt = time.Now().Add(time.Second * time.Duration(o.To-o.From) / layers)
	}
	w.rig.note("worker %s: order to hold %d to %d with token %d: %d", w.id, o.From, o.To, o.Fence, status)
	rw.WriteHeader(status)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	now := time.Now()
	rw.Header().Set("X-Request-Id", id)
	w.mu.Lock()
	w.head(rw)
	if r.Header.Get("X-Expect-Instance") != w.id {
		w.mu.Unlock()
		rw.Header().Set("At-Server", w.address)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.arrivals = append(w.arrivals, arrival{id, now})
	w.active++
	from, to := w.held()
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	if w.engine && (r.Header.Get("X-Hop-Count") != fmt.Sprintf("%s=0-%d", w.address, layers) || from != 0 || to != layers) {
		rw.Header().Set("X-Not-Processed", "1")
		rw.Header().Set("At-Server", w.address)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.Header().Set("X-Response-Seal", "3e1b."+id)
	rw.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,192", w.active))
	if !w.engine {
		time.Sleep(w.pause)
		_, _ = io.WriteString(rw, "done "+id)
		w.complete(id)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	next := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = n + 1
	}
	for ; next <= w.events; next++ {
		select {
		case <-r.Context().Done():
			w.rig.note("worker %s: the channel of request %s closed after event %d of %d", w.id, id, next-1, w.events)
			return
		case <-time.After(w.pause):
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", next, next, id)
		_ = http.NewResponseController(rw).Flush()
	}
	w.complete(id)
}

func (w *worker) complete(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed[id] = true
}

// has reports whether a request reached the worker, and when.
func (w *worker) has(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.id == id {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// awaitLoaded waits until an engine holds the whole model and has said so.
func (w *worker) awaitLoaded() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		from, to := w.held()
		said := w.lastBeat.After(w.loadedAt)
		w.mu.Unlock()
		if from == 0 && to == layers && said {
			return nil
		}
	}
	return fmt.Errorf("engine %s was not ordered to hold the model", w.id)
}
