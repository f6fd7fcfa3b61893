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

// How an upstream slows down.
const (
	straggleFactor  = 5
	straggleTime    = 200 * time.Millisecond
	stragglePeriod  = time.Second
	coldFactor      = 2
	fallOverFactor  = 10
	poisonDown      = time.Second
	healthLag       = time.Second
	maxRequestBytes = call.MaxBody
)

// run is one request that the upstream has taken.
type run struct {
	id     ident.Request
	key    ident.Key
	poison bool
	// factor multiplies the service time.
	factor float64
	fresh  bool
	since  clock.Instant
	// started tells that the request holds a slot.
	started bool
	ctx     context.Context
}

// gone reports whether the one who sent the request no longer waits.
func (n *run) gone() bool {
	return n.ctx != nil && n.ctx.Err() != nil
}

// serve takes one request through arrival, queue, slot and answer.
func (s *Server) serve(l *life, w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes)); err != nil {
		return
	}
	call.CopyIDs(w.Header(), r.Header)
	if s.silent(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	n := &run{
		id: ident.Request(r.Header.Get(call.HeaderRequestID)), key: ident.Key(r.Header.Get(call.HeaderKey)),
		poison: strings.HasSuffix(r.URL.Path, PoisonSuffix), since: s.clock.Now(), ctx: r.Context(),
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.arrive(l, r, n) {
		s.refuse(w, n)
		return
	}
	err := s.execute(ctx, l, r, n)
	s.leave(l, n, err == nil)
	switch {
	case err == nil:
		s.answer(w, n)
	case errors.Is(err, errNotStarted):
		s.refuse(w, n)
	default:
		panic(http.ErrAbortHandler)
	}
}

// withDeadline ends the context when the caller's deadline passes or nobody waits any more.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 32)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (s *Server) silent(r *http.Request) bool {
	k := r.Context().Value(linkKey{}).(*link)
	s.mu.Lock()
	defer s.mu.Unlock()
	return k.opened < s.faults.silentBefore
}

// arrive counts the request; it reports false for one that is shed.
func (s *Server) arrive(l *life, r *http.Request, n *run) bool {
	k := r.Context().Value(linkKey{}).(*link)
	s.mu.Lock()
	defer s.mu.Unlock()
	if take(&s.faults.shed) {
		return false
	}
	n.fresh, k.fresh = k.fresh, false
	l.inFlight++
	l.present[n] = true
	l.loads.set(s.clock.Now(), l.inFlight)
	s.countArrival(l, n.id)
	n.factor = s.factor(l)
	return true
}

// factor is how much longer than usual a request takes that arrives now; s.mu is held.
func (s *Server) factor(l *life) float64 {
	f := 1.0
	now := s.clock.Now()
	if now < s.faults.straggleUntil && time.Duration(now)%stragglePeriod < straggleTime {
		f *= straggleFactor
	}
	if l.cold {
		f *= coldFactor
		if l.inFlight > int(s.options.Service.ColdLimit) {
			f *= fallOverFactor
		}
	}
	return f
}

func (s *Server) leave(l *life, n *run, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.inFlight--
	delete(l.present, n)
	l.loads.set(s.clock.Now(), l.inFlight)
	if completed {
		l.finish(s.clock.Now(), s.options.WarmUp)
	} else {
		s.report.Cancelled++
	}
}

// errNotStarted means that nobody waited for the request any more before it got a slot.
var errNotStarted = errors.New("not started")

// execute waits for a slot and holds it for the service time.
func (s *Server) execute(ctx context.Context, l *life, r *http.Request, n *run) error {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return errNotStarted
	case <-l.ended:
		return http.ErrAbortHandler
	}
	defer func() { <-l.slots }()
	s.mu.Lock()
	c, _ := s.options.Service.FindClass(r.Method, r.URL.Path)
	n.started = true
	s.countRun(n.id, n.key, c)
	s.mu.Unlock()
	d := time.Duration(float64(s.serviceTime(n.id)) * n.factor)
	if n.fresh {
		d += time.Duration(s.options.Service.ConnectCost)
	}
	if err := hold(ctx, l, d); err != nil {
		return err
	}
	if n.poison {
		s.crash(poisonDown)
		return http.ErrAbortHandler
	}
	return nil
}

// hold keeps a slot busy, unless the run is cancelled or the upstream crashes.
func hold(ctx context.Context, l *life, d time.Duration) error {
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

// serviceTime depends on the request's id only, so that every policy meets the same service times.
func (s *Server) serviceTime(id ident.Request) time.Duration {
	if s.options.Fixed {
		return s.options.Mean
	}
	return ServiceTime(id, s.options.Mean)
}

// ServiceTime is the exponential service time of a request, computed from its id.
func ServiceTime(id ident.Request, mean time.Duration) time.Duration {
	u := float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
	return time.Duration(-math.Log1p(-u) * float64(mean))
}

// probe costs slot-time; its verdict lags.
func (s *Server) probe(l *life, w http.ResponseWriter, r *http.Request) {
	if s.silent(r) {
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
	_ = hold(r.Context(), l, s.probeCost())
	<-l.slots
	w.Header().Set(call.HeaderIncarnation, strconv.Itoa(n))
	call.CopyIDs(w.Header(), r.Header)
	if t != 0 && s.clock.Now().Sub(t) > healthLag {
		w.Header().Set(call.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
