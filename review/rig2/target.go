package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which a target writes to the store.
const heartbeat = 1500 * time.Millisecond

// run is one run of a request at a target.
type run struct {
	target, method, uri string
	began, end          time.Time
	// cut means that the connection was closed while the target was at work.
	cut bool
}

// runs records what all targets have run, by the id of the request.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*run
}

func (r *runs) begin(id, target string, q *http.Request) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &run{target: target, method: q.Method, uri: q.RequestURI, began: time.Now()}
	r.byID[id] = append(r.byID[id], x)
	return x
}

func (r *runs) finish(x *run, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.end, x.cut = time.Now(), cut
}

// of returns copies of the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []run
	for _, x := range r.byID[id] {
		l = append(l, *x)
	}
	return l
}

// target is a sound target: it runs up to its slots at a time and queues a few more.
type target struct {
	id, service, address, zone string
	slots                      int
	born                       int64
	store                      *store
	runs                       *runs

	// loses means that the target loses the answers of a part of the requests that it has run.
	loses atomic.Bool

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
}

// newTarget starts a target that registers itself. A request says with the header Work how many milliseconds it takes.
func newTarget(id, service, address, zone string, slots int, s *store, r *runs) (*target, error) {
	t := &target{
		id: id, service: service, address: address, zone: zone, slots: slots, born: time.Now().UnixMilli(), store: s,
		runs: r,
		free: make(chan struct{}, slots),
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &http.Server{Handler: t, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = h.Serve(l) }()
	go t.register()
	return t, nil
}

// register writes the entry of the target now and at each heartbeat.
func (t *target) register() {
	for ; ; time.Sleep(heartbeat) {
		// The store publishes no change of seq-no alone, so that it stays the same here.
		t.store.put("servers", t.id, t.entry())
	}
}

// entry returns what the target says of itself.
func (t *target) entry() map[string]any {
	return map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "max-concurrency": t.slots},
		"status": map[string]any{"state": "ready", "seq-no": 1, "warmup-left-ms": 0},
	}
}

// ServeHTTP answers a health probe or runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e := r.Header.Get("Amaranthramp-Expected-Instance"); e != "" && e != t.id {
		w.Header().Set("Amaranthramp-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Amaranthramp-Instance-Id", t.id)
		w.Header().Set("Amaranthramp-Server-Load", t.load())
		return
	}
	id := r.Header.Get("Amaranthramp-Attempt-Id")
	w.Header().Set("Amaranthramp-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	t.add(0, 1)
	t.free <- struct{}{}
	t.add(1, -1)
	defer func() {
		<-t.free
		t.add(-1, 0)
	}()
	x := t.runs.begin(id, t.id, r)
	work, _ := strconv.Atoi(r.Header.Get("Work"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		t.runs.finish(x, true)
		return
	}
	if t.loses.Load() && rand.Float64() < lostShare {
		t.runs.finish(x, false)
		reset(w)
		return
	}
	w.Header().Set("Amaranthramp-Server-Load", t.load())
	w.Header().Set("Amaranthramp-Server-Seal", id+"."+t.id)
	_, _ = io.WriteString(w, "done "+id+"\n")
	t.runs.finish(x, false)
}

// lostShare is the share of the answers that a target loses.
const lostShare = 0.4

// reset resets the connection of an answer.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (t *target) add(running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += running
	t.waiting += waiting
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, t.slots)
}
