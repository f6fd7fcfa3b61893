package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The headers of the users' protocol.
const (
	headerID        = "Amaranthramp-Attempt-Id"
	headerLeft      = "Amaranthramp-Timeout-Remaining"
	headerSeal      = "Amaranthramp-Server-Seal"
	headerExpected  = "Amaranthramp-Expected-Instance"
	headerNotRun    = "Amaranthramp-Not-Executed"
	headerLoad      = "Amaranthramp-Server-Load"
	headerInstance  = "Amaranthramp-Instance-Id"
	headerRemaining = "Amaranthramp-Warmup-Remaining"
)

// run is one run of a request at a target; ended is zero while it lasts.
type run struct {
	target       string
	path         string
	began, ended time.Time
	// dropped means that the target ended the work because its connection was closed.
	dropped bool
}

// runs records the runs of all targets by the id of the request.
type runs struct {
	mu sync.Mutex
	m  map[string][]*run
}

func (r *runs) begin(id, target, path string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &run{target: target, path: path, began: time.Now()}
	r.m[id] = append(r.m[id], n)
	return n
}

func (r *runs) end(n *run, dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.ended, n.dropped = time.Now(), dropped
}

// of returns copies of the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []run
	for _, n := range r.m[id] {
		l = append(l, *n)
	}
	return l
}

// record writes a line for each run.
func (r *runs) record(e *env) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, l := range r.m {
		for _, n := range l {
			end := "did not end"
			if !n.ended.IsZero() {
				end = fmt.Sprintf("ended at %.3f s", n.ended.Sub(e.began).Seconds())
			}
			began := n.began.Sub(e.began).Seconds()
			e.record("id %s ran at %s from %.3f s, %s, dropped: %t", id, n.target, began, end, n.dropped)
		}
	}
}

// target is a stand-in for a target: it runs up to slots requests at a time, queues a few more and rejects the others.
type target struct {
	env     *env
	id      string
	service string
	zone    string
	version string
	address string
	slots   int
	work    time.Duration
	runs    *runs

	inUse   chan struct{}
	running atomic.Int64
	waiting atomic.Int64
	// answer overrides the answer to a request that has run; it reports whether it did.
	answer func(w http.ResponseWriter, r *http.Request) bool
	// beginning is called when a run begins.
	beginning func(t *target, r *http.Request)
	// queue is the number of requests that may wait; if it is zero, queueFactor for each slot.
	queue int
	// delay is the one-way delay of the network between a gateway and the target.
	delay time.Duration
	// ignored records what the target can't queue and therefore never answers; if it is nil, the target rejects that.
	ignored *runs
	server  *http.Server
}

// newTarget starts a target and registers it in the store.
func (e *env) newTarget(id, service, zone string, slots int, work time.Duration, r *runs) (*target, error) {
	return e.newVersionTarget(id, service, zone, "v1", slots, work, r)
}

// newVersionTarget starts a target of a version of its software and registers it in the store.
func (e *env) newVersionTarget(id, service, zone, version string, slots int, work time.Duration, r *runs,
) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		env: e, id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, work: work, runs: r,
		inUse: make(chan struct{}, slots), version: version,
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	t.register("ready")
	e.record("target %s (%s in %s) at %s is ready", id, service, zone, t.address)
	return t, nil
}

// register writes the entry of the target to the store.
func (t *target) register(state string) {
	t.env.store.Put("servers", t.id, fmt.Sprintf(
		`{"address":%q,"born":%d,"info":{"service":%q,"version":%q,"zone":%q,"max-concurrency":%d},`+
			`"status":{"state":%q,"seq-no":1,"warmup-left-ms":0}}`,
		t.address, t.env.began.UnixMilli(), t.service, t.version, t.zone, t.slots, state))
}

// ServeHTTP answers a health check, or runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(t.delay)
	defer time.Sleep(t.delay)
	h := w.Header()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", t.running.Load(), t.waiting.Load(), t.slots))
	if r.URL.Path == "/health" {
		h.Set(headerInstance, t.id)
		h.Set(headerRemaining, "0")
		return
	}
	id := r.Header.Get(headerID)
	h.Set(headerID, id)
	switch expected := r.Header.Get(headerExpected); {
	case id == "":
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != t.id:
		h.Set(headerInstance, t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil || !t.acquire(r) {
		if err == nil && t.ignored != nil && r.Context().Err() == nil {
			t.ignore(r)
		}
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	n := t.runs.begin(id, t.id, r.URL.Path)
	if t.beginning != nil {
		t.beginning(t, r)
	}
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		t.runs.end(n, true)
		return
	}
	t.runs.end(n, false)
	h.Set(headerSeal, "3e1b.07.5a2.600.0."+id)
	if t.answer != nil && t.answer(w, r) {
		return
	}
	_, _ = io.WriteString(w, strings.Repeat("x", 64)+id)
}

// queueFactor is the number of waiting requests for each slot.
const queueFactor = 4

func (t *target) acquire(r *http.Request) bool {
	select {
	case t.inUse <- struct{}{}:
		t.running.Add(1)
		return true
	default:
	}
	room := t.queue
	if room == 0 {
		room = queueFactor * t.slots
	}
	if t.waiting.Add(1) > int64(room) {
		t.waiting.Add(-1)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.inUse <- struct{}{}:
		t.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *target) release() {
	t.running.Add(-1)
	<-t.inUse
}
