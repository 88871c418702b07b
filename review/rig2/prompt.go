//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart = "7d3f00aa"
	stall      = 2500 * time.Millisecond // stall_ms
	cardLayers = 4                       // a card holds half of the model
	backAfter  = 3 * time.Second         // a crashed worker starts again after this time
	patience   = 2 * time.Second         // without an event, after which a client leaves
)

// pool is a set of stand-ins of engines that hold a part of the model each and pass
// requests on along their paths.
type pool struct {
	rig  *rig
	card string // kind of the engines
	// firstEvents is the number of events that a worker writes before it crashes.
	firstEvents int

	mu      sync.Mutex
	engines map[string]*engine // by address, those that run
	crashes []time.Time
	// reached are the requests with the deadly part that workers received as the first or a
	// later one of a path.
	reached []arrival
	lives   int
}

// engine is one lifetime of an engine.
type engine struct {
	pool        *pool
	id, address string
	server      *http.Server
	born        int64
	dead        chan struct{} // closed when it crashes

	mu       sync.Mutex
	from, to int
	loadedAt time.Time
	orders   int
	fence    uint64
	sequence int
	stalled  map[string]string // requests that wait for the engine at an address
}

func (p *pool) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.lives++
	e := &engine{
		pool: p, id: fmt.Sprintf("i-%04d", p.lives), address: l.Addr().String(), born: time.Now().UnixMilli(),
		dead: make(chan struct{}), stalled: make(map[string]string),
	}
	p.engines[e.address] = e
	p.mu.Unlock()
	p.rig.note("worker %s starts at %s, empty", e.id, e.address)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for n := 0; ; {
			e.mu.Lock()
			e.sequence++
			said := map[string]any{
				"service": "scribe", "address": e.address, "zone": zoneName(1), "version": "v1", "slots": 192, "state": "ready",
				"cold-remaining-ms": 0, "sequence": e.sequence, "born": e.born, "route-type": p.card, "stage": "both",
				"models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}},
			}
			if from, to := e.held(); to > from {
				said["layers"] = map[string]any{"from": from, "to": to, "version": 1}
			}
			e.mu.Unlock()
			b, _ := json.Marshal(said)
			cs := p.rig.controllers()
			for range cs {
				if call(http.MethodPut, "http://"+cs[n%len(cs)].control()+"/instances/"+e.id, b) == http.StatusOK {
					break
				}
				n++
			}
			select {
			case <-e.dead:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// crash ends a lifetime: the port and all channels close. The next one starts later at the
// same address.
func (e *engine) crash(id string) {
	p := e.pool
	p.mu.Lock()
	if p.engines[e.address] != e {
		p.mu.Unlock()
		return
	}
	delete(p.engines, e.address)
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	close(e.dead)
	_ = e.server.Close()
	p.rig.note("worker %s crashes as it begins to write the answer to %s (crash %d)", e.id, id, n)
	time.AfterFunc(backAfter, func() {
		if err := p.start(e.address); err != nil {
			p.rig.note("worker at %s did not start again: %v", e.address, err)
		}
	})
}

func (p *pool) at(address string) *engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[address]
}

func (e *engine) held() (int, int) {
	if time.Now().Before(e.loadedAt) {
		return 0, 0
	}
	return e.from, e.to
}

func (e *engine) holds(from, to int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, t := e.held()
	return f <= from && to <= t
}

func (e *engine) report(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	from, to := e.held()
	stalled := []any{}
	for id, address := range e.stalled {
		stalled = append(stalled, map[string]any{"id": id, "address": address})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}},
		"busy": time.Now().Before(e.loadedAt), "sequence": e.orders, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 100000,
		"handles": 0, "pace": 1, "layers": map[string]any{"from": from, "to": to, "version": 1}, "stalled": stalled,
	})
}

func (e *engine) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string `json:"operation"`
		From         int    `json:"from"`
		To           int    `json:"to"`
		Fence        uint64 `json:"fencing-token"`
		Precondition *int   `json:"precondition"`
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case r.Header.Get("X-Expect-Instance") != e.id:
		status = http.StatusMisdirectedRequest
	case err != nil || o.Operation != "place":
		status = http.StatusBadRequest
	case o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case o.Precondition != nil && *o.Precondition != e.orders || time.Now().Before(e.loadedAt):
		status = http.StatusConflict
	default:
		e.from, e.to, e.fence = o.From, o.To, o.Fence
		e.orders++
		e.loadedAt = time.Now().Add(time.Second * time.Duration(o.To-o.From) / layers)
	}
	rw.WriteHeader(status)
	e.pool.rig.note("worker %s: order to hold %d to %d with token %d: %d", e.id, o.From, o.To, o.Fence, status)
}

// part is one worker of a path with its layers.
type part struct {
	address  string
	from, to int
}

func parsePath(s string) ([]part, bool) {
	var ps []part
	for _, entry := range strings.Split(s, ",") {
		address, r, _ := strings.Cut(entry, "=")
		from, to, _ := strings.Cut(r, "-")
		f, err1 := strconv.Atoi(from)
		t, err2 := strconv.Atoi(to)
		if err1 != nil || err2 != nil {
			return nil, false
		}
		ps = append(ps, part{address, f, t})
	}
	return ps, true
}

// serve handles a request of which this engine is the first worker.
func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	id, p := r.Header.Get("X-Request-Id"), e.pool
	rw.Header().Set("X-Request-Id", id)
	refuse := func(status int, at string) {
		rw.Header().Set("X-Not-Processed", "1")
		rw.Header().Set("At-Server", at)
		rw.WriteHeader(status)
	}
	if r.Header.Get("X-Expect-Instance") != e.id {
		refuse(http.StatusMisdirectedRequest, e.address)
		return
	}
	deadly := strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart+":")
	path, ok := parsePath(r.Header.Get("X-Hop-Count"))
	if !ok || len(path) == 0 || path[0].address != e.address {
		refuse(http.StatusBadRequest, e.address)
		return
	}
	if deadly {
		p.mu.Lock()
		p.reached = append(p.reached, arrival{id, time.Now()})
		p.mu.Unlock()
	}
	if !e.holds(path[0].from, path[0].to) {
		refuse(http.StatusMisdirectedRequest, e.address)
		return
	}
	last := e
	for _, h := range path[1:] {
		next := p.at(h.address)
		if next == nil {
			if e.wait(r, id, h.address) {
				refuse(http.StatusServiceUnavailable, h.address)
			}
			return
		}
		if !next.holds(h.from, h.to) {
			refuse(http.StatusMisdirectedRequest, h.address)
			return
		}
		last = next
	}
	time.Sleep(20 * time.Millisecond) // the prompt is read
	if deadly && p.firstEvents > 0 {
		e.crashWriting(rw, r, id)
	}
	if deadly {
		last.crash(id)
		if last != e && e.wait(r, id, last.address) {
			refuse(http.StatusServiceUnavailable, last.address)
		}
		return
	}
	e.stream(rw, r, id, path)
}

// crashWriting writes the first events of an answer and crashes.
func (e *engine) crashWriting(rw http.ResponseWriter, r *http.Request, id string) {
	rw.Header().Set("X-Response-Seal", "3e1b."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	next := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = n + 1
	}
	for n := range e.pool.firstEvents {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", next+n, next+n, id)
		_ = http.NewResponseController(rw).Flush()
	}
	time.Sleep(30 * time.Millisecond)
	e.crash(id)
	panic(http.ErrAbortHandler)
}

// wait stalls a request that depends on a dead worker, and reports whether the request is
// still there afterwards.
func (e *engine) wait(r *http.Request, id, address string) bool {
	e.mu.Lock()
	e.stalled[id] = address
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.stalled, id)
		e.mu.Unlock()
	}()
	select {
	case <-r.Context().Done():
		return false
	case <-e.dead:
		return false
	case <-time.After(stall):
		return true
	}
}

func (e *engine) stream(rw http.ResponseWriter, r *http.Request, id string, path []part) {
	rw.Header().Set("X-Response-Seal", "3e1b."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	lives := make([]*engine, 0, len(path))
	for _, h := range path {
		lives = append(lives, e.pool.at(h.address))
	}
	next := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = n + 1
	}
	for ; next <= 40; next++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(30 * time.Millisecond):
		}
		for i, h := range path {
			if e.pool.at(h.address) != lives[i] || lives[i] == nil { // it has crashed in the meantime
				e.wait(r, id, h.address)
				panic(http.ErrAbortHandler) // the work is cut off
			}
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", next, next, id)
		_ = http.NewResponseController(rw).Flush()
	}
}

// ask sends a stream request and reports whether its first event came in time and whether
// it was complete. The client leaves after a gap of patience.
func (p *pool) ask(g *machine, parts string) (id string, began, complete bool, ended string) {
	id = p.rig.nextID()
	c, err := net.DialTimeout("tcp", g.front(), time.Second)
	if err != nil {
		return id, false, false, "no channel"
	}
	defer func() { _ = c.Close() }()
	h := strings.Replace(head(http.MethodPost, "/scribe/2f", id, 0), "5c1e07a2:40,e4402b7d:720", parts+",f"+id[9:]+":700", 1)
	_, _ = io.WriteString(c, h+"\r\n")
	var got strings.Builder
	b := make([]byte, 4096)
	for {
		_ = c.SetReadDeadline(time.Now().Add(patience))
		n, err := c.Read(b)
		got.Write(b[:n])
		s := got.String()
		status, _, _ := strings.Cut(strings.TrimPrefix(s, "HTTP/1.1 "), " ")
		switch {
		case strings.HasPrefix(s, "HTTP/1.1 ") && status != "200" && strings.Contains(s, "\r\n\r\n"):
			return id, false, false, "status " + status
		case strings.HasSuffix(s, "0\r\n\r\n"):
			return id, true, true, "complete"
		case err != nil:
			began := strings.Contains(s, "data: ")
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				return id, began, false, "the client left after a gap of 2 s"
			}
			return id, began, false, "closed"
		}
	}
}

// deadlyPrompt: a part of prompts crashes the worker that begins to write the answer, which
// is the last one of a path.
func deadlyPrompt(r *rig) (bool, error) { return playPrompts(r, "l4", 0) }

// deadlyStream: the same on paths of a single worker, which crashes once it has written the
// first event of the answer.
func deadlyStream(r *rig) (bool, error) { return playPrompts(r, "a100s", 1) }

func playPrompts(r *rig, card string, firstEvents int) (bool, error) {
	const engines = 6
	for z := 1; z <= 3; z++ {
		r.add(fmt.Sprintf("core-%s-1", zoneName(z)), "controller", z, 0)
	}
	var gs []*machine
	for n := 1; n <= 3; n++ {
		gs = append(gs, r.add(fmt.Sprintf("front-mid-a-%d", n), "gateway", 1, n))
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	if err := r.configure(); err != nil {
		return false, err
	}
	p := &pool{rig: r, card: card, firstEvents: firstEvents, engines: make(map[string]*engine)}
	for range engines {
		if err := p.start(fmt.Sprintf("%s.1.200:0", r.base)); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	served := false
	for end := time.Now().Add(readyWait); time.Now().Before(end) && !served; time.Sleep(200 * time.Millisecond) {
		_, _, served, _ = p.ask(gs[0], "5c1e07a2:40,00000001:20")
	}
	if !served {
		return false, fmt.Errorf("no stream was served before the disruption")
	}
	time.Sleep(contact)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var asked []soundRequest
	start := time.Now()
	for n := range seconds * perSecond {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / perSecond)))
		sent := time.Now()
		clients.Go(func() {
			id, began, complete, ended := p.ask(gs[n%len(gs)], fmt.Sprintf("5c1e07a2:40,%08x:20", 1+n%8))
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, soundRequest{sent, began, complete})
			if !complete {
				r.note("client: sound request %s, sent at %.3f: %s", id, r.since(sent), ended)
			}
		})
		second := n / perSecond
		if r.trouble && n%perSecond == 3 && second >= calmSeconds && second%2 == 0 {
			clients.Go(func() {
				id, _, _, ended := p.ask(gs[second/2%len(gs)], "5c1e07a2:40,"+deadlyPart+":20")
				r.note("client: request %s with the part that crashes workers: %s", id, ended)
			})
		}
	}
	clients.Wait()
	return p.judge(asked, start.Add(calmSeconds*time.Second)), nil
}

const (
	seconds     = 44 // of traffic
	perSecond   = 8  // sound requests
	calmSeconds = 6  // before the first request with the deadly part
)

type soundRequest struct {
	sent            time.Time
	began, complete bool
}

// judge checks the two rules on prompts that crash workers.
func (p *pool) judge(asked []soundRequest, trouble time.Time) bool {
	r := p.rig
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range seconds {
		n, began, complete := count(asked, trouble.Add(time.Duration(i-calmSeconds)*time.Second), time.Second)
		r.note("second %d of the traffic: %d sound requests, %d began, %d were completed", i, n, began, complete)
	}
	calm, calmBegan, _ := count(asked, trouble.Add(-calmSeconds*time.Second), calmSeconds*time.Second)
	r.note("%d crashes; calm: %d of %d sound requests began", len(p.crashes), calmBegan, calm)
	if len(p.crashes) == 0 {
		return calmBegan < calm/2
	}
	last := p.crashes[min(5, len(p.crashes))-1]
	reached := 0
	for _, a := range p.reached {
		if len(p.crashes) >= 5 && a.at.After(last.Add(contact)) {
			reached++
		}
	}
	late, lateBegan, _ := count(asked, last.Add(2*contact), time.Hour)
	r.note("crash %d at %.3f; requests with the part that reached workers more than 3 s later: %d", min(5, len(p.crashes)), r.since(last), reached)
	r.note("from 6 s after that crash: %d of %d sound requests began", lateBegan, late)
	budget := reached > 3
	lost := calm >= 20 && late >= 20 && float64(lateBegan)/float64(late) < float64(calmBegan)/float64(calm)/2
	if budget {
		r.note("BROKEN: BUDGET: more than three requests with the part reached workers later than contact-ms after the fifth crash")
	}
	if lost {
		r.note("BROKEN: LOST: sound requests with the same key and first part begin less than half as often")
	}
	return budget || lost
}

// count returns the requests that were sent in a time, and how many of them began and were
// completed.
func count(asked []soundRequest, from time.Time, d time.Duration) (n, began, complete int) {
	for _, a := range asked {
		if a.sent.Before(from) || !a.sent.Before(from.Add(d)) {
			continue
		}
		n++
		if a.began {
			began++
		}
		if a.complete {
			complete++
		}
	}
	return n, began, complete
}
