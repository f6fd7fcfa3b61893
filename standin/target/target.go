package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// queueFactor is the maximum number of waiting requests per slot.
const queueFactor = 2

// Run is one run of a request at a target; At is its start.
type Run struct {
	Target string
	At     time.Time
}

// RunLog records the runs of all targets of a test; it is safe for concurrent use.
type RunLog struct {
	mu      sync.Mutex
	runs    map[string][]Run
	lastRun map[string]time.Time
	// times are the starts of all runs at each target.
	times map[string][]time.Time
}

// NewRunLog returns an empty run log.
func NewRunLog() *RunLog {
	return &RunLog{runs: map[string][]Run{}, lastRun: map[string]time.Time{}, times: map[string][]time.Time{}}
}

// Runs returns the runs of a request.
func (r *RunLog) Runs(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs[id])
}

// Count returns the number of runs of all requests whose IDs begin with a text.
func (r *RunLog) Count(prefix string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := uint64(0)
	for id, l := range r.runs {
		if strings.HasPrefix(id, prefix) {
			n += uint64(len(l))
		}
	}
	return n
}

// LastRun returns the start of the last run at a target, or the zero time if there was none.
func (r *RunLog) LastRun(target string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRun[target]
}

// Times returns the starts of all runs at a target, in order.
func (r *RunLog) Times(target string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.times[target])
}

// add records that a run starts now.
func (r *RunLog) add(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.runs[id] = append(r.runs[id], Run{Target: target, At: now})
	r.lastRun[target] = now
	r.times[target] = append(r.times[target], now)
}

// Target is an HTTP server that acts as one target; it is safe for concurrent use.
type Target struct {
	ID      string
	slots   int
	work    time.Duration
	headers *exchange.Headers
	runLog  *RunLog
	address string

	mu     sync.Mutex
	server *http.Server
	// stopped is true once Stop was called, so that a crash is not followed by a start.
	stopped bool

	inUse   chan struct{}
	running atomic.Int64
	waiting atomic.Int64
	// LoseAnswers makes the target close the connection instead of responding after it has run a request.
	LoseAnswers atomic.Bool
	// Version is the version that the target registers; it must be set before Registration.
	Version ident.TargetVersion
	// defect is how the target's version is bad; nil if it is good.
	defect atomic.Pointer[Defect]
	// bad counts the bad responses: those that failed or were slow by the defect.
	bad atomic.Int64
	// Fail makes the target respond with status 500 after it has run a request.
	Fail atomic.Bool
	// Leaving makes the target announce in all responses that it leaves.
	Leaving atomic.Bool
	// pause is the value of Retry-After with which the target rejects all requests; empty if it rejects none.
	pause atomic.Value
	// endless is the kind of bytes without end that the target sends in place of answers to requests; empty if none.
	endless                      atomic.Value
	endlessPresent, endlessBegun atomic.Int64
	// limit is the limit that the target names in its responses.
	limit atomic.Value
	// rejected counts the requests and probes that the target has answered with a pause.
	rejected atomic.Int64
	// deadly is a func(*http.Request) bool that tells which requests crash the target, if set.
	deadly atomic.Value
	// observe is a func(*http.Request) that gets each request that the target runs, if set.
	observe atomic.Value
	crashes atomic.Int64
}

// crashDowntime is the time from a crash to the next start.
const crashDowntime = 500 * time.Millisecond

// Start starts a target on a loopback address. A run of a request takes the time work.
func Start(id string, slots int, work time.Duration, h *exchange.Headers, r *RunLog) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start target: %w", err)
	}
	t := &Target{
		ID: id, slots: slots, work: work, headers: h, runLog: r, address: l.Addr().String(),
		inUse: make(chan struct{}, slots),
	}
	t.serve(l)
	return t, nil
}

// serve accepts connections until the target stops or crashes.
func (t *Target) serve(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		_ = l.Close()
		return
	}
	s := &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	t.server = s
	// Serve returns only at a stop or a crash.
	go func() { _ = s.Serve(l) }()
}

// Address returns the address on which the target listens.
func (t *Target) Address() string {
	return t.address
}

// Stop closes the listener and all connections at once, as a crash does.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	_ = t.server.Close()
}

// CrashOn makes requests to the path crash the target, which starts again after crashDowntime.
func (t *Target) CrashOn(path string) {
	t.CrashIf(func(r *http.Request) bool { return r.URL.Path == path })
}

// CrashIf makes the requests crash the target for which the function returns true; it must be safe for concurrent use.
func (t *Target) CrashIf(deadly func(*http.Request) bool) {
	t.deadly.Store(deadly)
}

// Observe passes each request that the target runs from now on to f, which must be safe for concurrent use.
func (t *Target) Observe(f func(*http.Request)) {
	t.observe.Store(f)
}

// Crashes returns how often a request has crashed the target.
func (t *Target) Crashes() int64 {
	return t.crashes.Load()
}

// crash closes the listener and all connections, and starts the target again after crashDowntime.
func (t *Target) crash() {
	t.crashes.Add(1)
	t.mu.Lock()
	_ = t.server.Close()
	t.mu.Unlock()
	time.AfterFunc(crashDowntime, func() {
		// If the address has been taken meanwhile, the target stays away.
		if l, err := net.Listen("tcp", t.address); err == nil {
			t.serve(l)
		}
	})
}

// Registration returns the entry with which the target registers itself.
func (t *Target) Registration(s ident.Service, z ident.DataCentre) roster.Target {
	return roster.Target{
		ID: ident.Target(t.ID), Service: s, Address: ident.Address(t.address), DataCentre: z, Slots: ident.Slots(t.slots),
		StartedAtMs: 1, Version: t.Version,
	}
}

// namedLimit is a limit that a target names, in responses to requests and, if inProbes is true, to probes.
type namedLimit struct {
	value    string
	inProbes bool
}

// NameLimit makes the target name a limit in its responses to requests and, if inProbes is true, to probes; an empty
// value ends that. The target takes more than it names.
func (t *Target) NameLimit(perSecond string, inProbes bool) {
	t.limit.Store(namedLimit{value: perSecond, inProbes: inProbes})
}

// AskForPause makes the target answer all requests and probes with 503 and this value of Retry-After; an empty value
// ends that.
func (t *Target) AskForPause(retryAfter string) {
	t.pause.Store(retryAfter)
}

// Rejected returns how many requests and probes the target has answered with a pause.
func (t *Target) Rejected() int64 {
	return t.rejected.Load()
}

// ServeHTTP runs a request; one without a request id is answered as a probe.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(t.headers.Load, fmt.Sprintf("%d,%d,%d,100", t.running.Load(), t.waiting.Load(), t.slots))
	if t.Leaving.Load() {
		w.Header().Set(t.headers.Leaving, "1")
	}
	id := r.Header.Get(t.headers.RequestID)
	if l, _ := t.limit.Load().(namedLimit); l.value != "" && (id != "" || l.inProbes) {
		w.Header().Set(t.headers.Limit, l.value)
	}
	if p, _ := t.pause.Load().(string); p != "" {
		t.reject(w, id, p)
		return
	}
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
	if !t.acquireSlot(r) {
		w.Header().Set(t.headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.releaseSlot()
	t.runLog.add(id, t.ID)
	if f, ok := t.observe.Load().(func(*http.Request)); ok {
		f(r)
	}
	if e, _ := t.endless.Load().(Endless); e != "" {
		t.writeEndless(w, id, e)
		return
	}
	if deadly, _ := t.deadly.Load().(func(*http.Request) bool); deadly != nil && deadly(r) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	slower, fails := t.applyDefect(r.URL.Path)
	work, size := t.orderedBy(r)
	sleep(r.Context(), time.Duration(slower*float64(work)))
	switch {
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
	case t.LoseAnswers.Load():
		panic(http.ErrAbortHandler)
	case t.Fail.Load():
		w.WriteHeader(http.StatusInternalServerError)
	}
	// An error means that the caller closed the connection; it gets no complete response then.
	_, _ = io.WriteString(w, pad(id+" "+strconv.Itoa(len(b)), size))
}

// orderedBy returns how long the run of a request takes, and the least length of the body of its response. A request
// may order both in its query, as work-ms and bytes.
func (t *Target) orderedBy(r *http.Request) (work time.Duration, size int) {
	q := r.URL.Query()
	work = t.work
	if n, err := strconv.Atoi(q.Get("work-ms")); err == nil {
		work = time.Duration(n) * time.Millisecond
	}
	// A query without a size orders none.
	size, _ = strconv.Atoi(q.Get("bytes"))
	return work, size
}

// pad appends dots up to a length.
func pad(s string, size int) string {
	return s + strings.Repeat(".", max(size-len(s), 0))
}

// reject answers that the request has not run and that the target wants no more for a time.
func (t *Target) reject(w http.ResponseWriter, id, pause string) {
	t.rejected.Add(1)
	if id != "" {
		w.Header().Set(t.headers.RequestID, id)
	}
	w.Header().Set(t.headers.NotRun, "1")
	w.Header().Set("Retry-After", pause)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// acquireSlot takes a slot, for which it waits if necessary. It returns false if the queue is full or the request is
// cancelled.
func (t *Target) acquireSlot(r *http.Request) bool {
	if t.waiting.Add(1) > int64(queueFactor*t.slots) {
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

func (t *Target) releaseSlot() {
	t.running.Add(-1)
	<-t.inUse
}

// sleep waits for the duration or until the context is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	n := time.NewTimer(d)
	defer n.Stop()
	select {
	case <-ctx.Done():
	case <-n.C:
	}
}
