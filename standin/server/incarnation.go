package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// incarnation is the state of the upstream from a start to the next crash. A cold start without a crash only changes
// the number that responses announce.
type incarnation struct {
	// number is the incarnation in the headers of responses.
	number   int
	slots    chan struct{}
	http     *http.Server
	inFlight int
	requests map[*request]bool
	cold     bool
	// coldKnownAt is the time from which the owner can know that the upstream is cold; it is zero as long as no response
	// has announced it.
	coldKnownAt clock.Instant
	// completed is the number of completed runs since the last cold start.
	completed int
	// ended is closed by a crash.
	ended chan struct{}
	// downFor is the time from the crash to the next start.
	downFor   time.Duration
	openConns int
	// loadHistory is the history of the number of requests in flight; the reported load lags behind.
	loadHistory laggedValue
}

func newIncarnation(number int, slots ident.Slots, cold bool, now clock.Instant) *incarnation {
	return &incarnation{
		number: number, slots: make(chan struct{}, slots), cold: cold, coldKnownAt: now,
		ended: make(chan struct{}), requests: map[*request]bool{},
	}
}

// countAwaited returns the number of requests in flight, without those that the sender has cancelled: they are about to
// release their slots.
func (l *incarnation) countAwaited() int {
	c := 0
	for n := range l.requests {
		if !n.cancelled() {
			c++
		}
	}
	return c
}

// reactionTime is the time within which an owner has to react to a response. It is long, because an owner on a loaded
// machine must meet it too.
const reactionTime = 250 * time.Millisecond

// turnCold makes the upstream cold again. The owner learns it only from the incarnation number in the next response.
func (l *incarnation) turnCold() {
	l.number++
	l.cold, l.coldKnownAt, l.completed = true, 0, 0
}

// countCompletion counts a completed run; after warmUp runs the upstream is warm.
func (l *incarnation) countCompletion(now clock.Instant, warmUp int) {
	l.completed++
	if l.cold && l.coldKnownAt == 0 {
		l.coldKnownAt = now.Add(reactionTime)
	}
	if l.completed >= warmUp {
		l.cold = false
	}
}

// ownerKnowsCold reports whether the upstream is cold and the owner has had the time to learn it.
func (l *incarnation) ownerKnowsCold(now clock.Instant) bool {
	return l.cold && l.coldKnownAt != 0 && now >= l.coldKnownAt
}

// Serve listens on the address until the context is cancelled. After a crash it restarts as a new incarnation.
func (s *Server) Serve(ctx context.Context, a ident.Address) error {
	for {
		l := s.current()
		n, err := net.Listen("tcp", string(a))
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		stop := context.AfterFunc(ctx, func() { _ = l.http.Close() })
		err = l.http.Serve(n)
		stop()
		if !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		if ctx.Err() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(l.downFor):
		}
		s.startIncarnation(l.number + 1)
	}
}

// current returns the current incarnation, which may have crashed.
func (s *Server) current() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// startIncarnation starts a new incarnation, cold unless upstreams are always warm.
func (s *Server) startIncarnation(number int) {
	l := newIncarnation(number, s.options.Service.Slots, s.options.WarmUp > 0, s.clock.Now())
	l.http = &http.Server{Handler: s.handlerOf(l), ConnContext: s.connContext, ConnState: s.connState(l)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = l
}

// crash ends the current incarnation and closes all its connections. It has no effect if the upstream is already down.
func (s *Server) crash(down time.Duration) {
	s.mu.Lock()
	l := s.incarnation
	select {
	case <-l.ended:
		s.mu.Unlock()
		return
	default:
	}
	l.downFor = down
	close(l.ended)
	s.report.Crashes++
	s.mu.Unlock()
	go func() { _ = l.http.Close() }()
}

// connection is the state of one connection.
type connection struct {
	opened clock.Instant
	// unused is true until the first request arrives, whose service time includes the cost of the connection.
	unused bool
}

type connectionKey struct{}

func (s *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{opened: s.clock.Now(), unused: true})
}

// connState returns a hook that counts the connections of an incarnation and those above the limit.
func (s *Server) connState(l *incarnation) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, t http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch t {
		case http.StateNew:
			l.openConns++
			s.report.Connections++
			s.report.MaxConnections = max(s.report.MaxConnections, l.openConns)
			if l.openConns > s.options.Service.Connections {
				s.report.AboveConnections++
			}
		case http.StateClosed, http.StateHijacked:
			l.openConns--
		case http.StateActive, http.StateIdle:
		}
	}
}
