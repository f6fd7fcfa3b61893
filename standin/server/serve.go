package server

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// Constants of slow service times, crashes and probes.
const (
	// straggleFactor multiplies service times under the fault Straggle, for straggleTime in each stragglePeriod.
	straggleFactor = 5
	straggleTime   = 200 * time.Millisecond
	stragglePeriod = time.Second
	// coldFactor multiplies the service times of a cold upstream, and overloadFactor also those of requests above the
	// cold limit.
	coldFactor     = 2
	overloadFactor = 10
	// poisonDowntime is the time from a crash by a request with PoisonSuffix to the restart.
	poisonDowntime = time.Second
	// healthLag is the time after which probes of a leaving upstream are answered as unhealthy.
	healthLag       = time.Second
	maxRequestBytes = call.MaxBody
)

// request is one request at the upstream.
type request struct {
	id     ident.Request
	key    ident.Key
	poison bool
	// factor multiplies the service time.
	factor float64
	// newConn is true if the request is the first one on its connection.
	newConn bool
	since   clock.Instant
	// started is true if the request has got a slot.
	started bool
	ctx     context.Context
}

// cancelled reports whether the sender has cancelled the request.
func (n *request) cancelled() bool {
	return n.ctx != nil && n.ctx.Err() != nil
}

// serve handles one request: it counts the arrival, waits for a slot, runs the request and writes the response.
func (s *Server) serve(l *incarnation, w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes)); err != nil {
		return
	}
	call.CopyIDs(w.Header(), r.Header)
	if s.silencedByFault(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	n := &request{
		id: ident.Request(r.Header.Get(call.HeaderRequestID)), key: ident.Key(r.Header.Get(call.HeaderKey)),
		poison: strings.HasSuffix(r.URL.Path, PoisonSuffix), since: s.clock.Now(), ctx: r.Context(),
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.admit(l, r, n) {
		s.refuse(w, n)
		return
	}
	err := s.execute(ctx, l, r, n)
	s.release(l, n, err == nil)
	switch {
	case err == nil:
		s.answer(w, n)
	case errors.Is(err, errNotStarted):
		s.refuse(w, n)
	default:
		panic(http.ErrAbortHandler)
	}
}

// withDeadline returns a context that ends at the deadline in the headers or when the sender cancels the request.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 32)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// silencedByFault reports whether the request gets no response, because its connection was opened before the fault
// Silence.
func (s *Server) silencedByFault(r *http.Request) bool {
	k := r.Context().Value(connectionKey{}).(*connection)
	s.mu.Lock()
	defer s.mu.Unlock()
	return k.opened < s.faults.silentBefore
}

// admit counts the request as in flight and reports whether it is admitted; it is not if the fault Shed applies.
func (s *Server) admit(l *incarnation, r *http.Request, n *request) bool {
	k := r.Context().Value(connectionKey{}).(*connection)
	s.mu.Lock()
	defer s.mu.Unlock()
	if consume(&s.faults.shedLeft) {
		return false
	}
	n.newConn, k.unused = k.unused, false
	l.inFlight++
	l.requests[n] = true
	l.loadHistory.set(s.clock.Now(), l.inFlight)
	s.countArrival(l, n.id)
	n.factor = s.slowdown(l)
	return true
}

// slowdown returns the factor by which the service time of a request that arrives now is multiplied; s.mu is held.
func (s *Server) slowdown(l *incarnation) float64 {
	f := 1.0
	now := s.clock.Now()
	if now < s.faults.straggleUntil && time.Duration(now)%stragglePeriod < straggleTime {
		f *= straggleFactor
	}
	if l.cold {
		f *= coldFactor
		if l.inFlight > int(s.options.Service.ColdLimit) {
			f *= overloadFactor
		}
	}
	return f
}

// release removes a request from those in flight.
func (s *Server) release(l *incarnation, n *request, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.inFlight--
	delete(l.requests, n)
	l.loadHistory.set(s.clock.Now(), l.inFlight)
	if completed {
		l.countCompletion(s.clock.Now(), s.options.WarmUp)
	} else {
		s.report.Cancelled++
	}
}

// errNotStarted means that the request was cancelled or expired before it got a slot.
var errNotStarted = errors.New("not started")

// execute waits for a slot and occupies it for the service time.
func (s *Server) execute(ctx context.Context, l *incarnation, r *http.Request, n *request) error {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return errNotStarted
	case <-l.ended:
		return http.ErrAbortHandler
	}
	defer func() { <-l.slots }()
	s.mu.Lock()
	c, _ := s.options.Service.MatchClass(r.Method, r.URL.Path)
	n.started = true
	s.countRun(n.id, n.key, c)
	s.mu.Unlock()
	d := time.Duration(float64(s.serviceTime(n.id)) * n.factor)
	if n.newConn {
		d += time.Duration(s.options.Service.ConnectCost)
	}
	if err := occupySlot(ctx, l, d); err != nil {
		return err
	}
	if n.poison {
		s.crash(poisonDowntime)
		return http.ErrAbortHandler
	}
	return nil
}

// occupySlot keeps an acquired slot busy for the duration d. It fails early if the run is cancelled or the upstream
// crashes.
func occupySlot(ctx context.Context, l *incarnation, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ended:
		return http.ErrAbortHandler
	}
}

// serviceTime returns a service time that depends only on the id of the request, so that all policies are compared with
// the same service times.
func (s *Server) serviceTime(id ident.Request) time.Duration {
	if s.options.Fixed {
		return s.options.Mean
	}
	return ServiceTime(id, s.options.Mean)
}

// ServiceTime returns the service time of a request: a hash of its id gives a sample of an exponential distribution.
func ServiceTime(id ident.Request, mean time.Duration) time.Duration {
	u := float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
	return time.Duration(-math.Log1p(-u) * float64(mean))
}

// probe answers a health probe, which occupies a slot for its cost. It reports unhealthy only when healthLag has passed
// since the upstream started to leave.
func (s *Server) probe(l *incarnation, w http.ResponseWriter, r *http.Request) {
	if s.silencedByFault(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.report.Probes++
	t := s.faults.leavingSince
	n := l.number
	s.mu.Unlock()
	select {
	case l.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-l.ended:
		return
	}
	_ = occupySlot(r.Context(), l, s.probeCost())
	<-l.slots
	w.Header().Set(call.HeaderIncarnation, strconv.Itoa(n))
	call.CopyIDs(w.Header(), r.Header)
	if t != 0 && s.clock.Now().Sub(t) > healthLag {
		w.Header().Set(call.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
