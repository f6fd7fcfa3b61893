package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// queueFactor is how many requests a target queues for each slot.
const queueFactor = 2

// Run is one time that a target began to work on a request.
type Run struct {
	Target string
	At     time.Time
}

// Record is what all targets of a test have run; it is safe for concurrent use.
type Record struct {
	mu   sync.Mutex
	runs map[string][]Run
	last map[string]time.Time
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{runs: map[string][]Run{}, last: map[string]time.Time{}}
}

// Runs returns when and where a request has run.
func (r *Record) Runs(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs[id])
}

// Last returns when a target last began to run a request; zero if it never did.
func (r *Record) Last(target string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last[target]
}

func (r *Record) note(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.runs[id] = append(r.runs[id], Run{Target: target, At: now})
	r.last[target] = now
}

// Target is one target; it is safe for concurrent use.
type Target struct {
	ID      string
	slots   int
	work    time.Duration
	headers *exchange.Headers
	record  *Record
	server  *http.Server
	address string

	places  chan struct{}
	running atomic.Int64
	waiting atomic.Int64
	// LoseAnswers makes the target run requests and break off the connection instead of answering.
	LoseAnswers atomic.Bool
	// Fail makes it run requests and answer 500.
	Fail atomic.Bool
}

// Start starts a target on loopback with the given slots, each request taking the given time.
func Start(id string, slots int, work time.Duration, h *exchange.Headers, r *Record) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start target: %w", err)
	}
	t := &Target{
		ID: id, slots: slots, work: work, headers: h, record: r, address: l.Addr().String(),
		places: make(chan struct{}, slots),
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = t.server.Serve(l) }()
	return t, nil
}

// Address is where the target listens.
func (t *Target) Address() string {
	return t.address
}

// Stop ends the target as a crash does.
func (t *Target) Stop() {
	_ = t.server.Close()
}

// Registration is the target as it registers itself.
func (t *Target) Registration(s ident.Service, z ident.DataCentre) roster.Target {
	return roster.Target{
		ID: ident.Target(t.ID), Service: s, Address: ident.Address(t.address), DataCentre: z, Slots: ident.Slots(t.slots),
		StartedAtMs: 1,
	}
}

// ServeHTTP answers a probe or runs a request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(t.headers.Load, fmt.Sprintf("%d,%d,%d,100", t.running.Load(), t.waiting.Load(), t.slots))
	id := r.Header.Get(t.headers.RequestID)
	if id == "" {
		w.Header().Set(t.headers.Incarnation, t.ID)
		return
	}
	w.Header().Set(t.headers.RequestID, id)
	if e := r.Header.Get(t.headers.ExpectedIncarnation); e != "" && e != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !t.enter(r) {
		w.Header().Set(t.headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.leave()
	t.record.note(id, t.ID)
	work(r.Context(), t.work)
	switch {
	case t.LoseAnswers.Load():
		panic(http.ErrAbortHandler)
	case t.Fail.Load():
		w.WriteHeader(http.StatusInternalServerError)
	}
	// A caller that went away finds its answer missing.
	_, _ = io.WriteString(w, id+" "+strconv.Itoa(len(b)))
}

// enter takes a slot, waits for one, or reports false when the queue is full.
func (t *Target) enter(r *http.Request) bool {
	if t.waiting.Add(1) > int64(queueFactor*t.slots) {
		t.waiting.Add(-1)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.places <- struct{}{}:
		t.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) leave() {
	t.running.Add(-1)
	<-t.places
}

func work(ctx context.Context, d time.Duration) {
	n := time.NewTimer(d)
	defer n.Stop()
	select {
	case <-ctx.Done():
	case <-n.C:
	}
}
