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

// life is one incarnation of the upstream, from its start to its crash.
type life struct {
	number   int
	slots    chan struct{}
	http     *http.Server
	inFlight int
	present  map[*run]bool
	cold     bool
	// coldKnown is when the owner knew that the upstream is cold; zero before the first answer that could tell it.
	coldKnown clock.Instant
	// completed counts the runs since the last cold start.
	completed int
	ended     chan struct{}
	downFor   time.Duration
	open      int
	// loads holds past numbers of requests in flight, so that reports lag.
	loads lagged
}

func newLife(number int, slots ident.Slots, cold bool, now clock.Instant) *life {
	return &life{
		number: number, slots: make(chan struct{}, slots), cold: cold, coldKnown: now,
		ended: make(chan struct{}), present: map[*run]bool{},
	}
}

// awaited counts the requests in flight but for those whose sender is known to have cancelled them: they hold nothing
// from the next moment on.
func (l *life) awaited() int {
	c := 0
	for n := range l.present {
		if !n.gone() {
			c++
		}
	}
	return c
}

// noticeTime is what an owner has for acting on an answer; it is generous, since it must hold on a loaded machine.
const noticeTime = 250 * time.Millisecond

// turnCold makes the upstream cold again. Only the incarnation on the next answer tells the owner.
func (l *life) turnCold() {
	l.number++
	l.cold, l.coldKnown, l.completed = true, 0, 0
}

// finish notes a completed run; after enough of them the upstream is warm.
func (l *life) finish(now clock.Instant, warmUp int) {
	l.completed++
	if l.cold && l.coldKnown == 0 {
		l.coldKnown = now.Add(noticeTime)
	}
	if l.completed >= warmUp {
		l.cold = false
	}
}

// knownCold reports whether the upstream is cold and the owner had the chance to know it.
func (l *life) knownCold(now clock.Instant) bool {
	return l.cold && l.coldKnown != 0 && now >= l.coldKnown
}

// Serve listens on the address until the context ends; after a crash it comes back as a new incarnation.
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
		s.begin(l.number + 1)
	}
}

func (s *Server) current() *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

func (s *Server) begin(number int) {
	l := newLife(number, s.options.Service.Slots, s.options.WarmUp > 0, s.clock.Now())
	l.http = &http.Server{Handler: s.handlerOf(l), ConnContext: s.connContext, ConnState: s.connState(l)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life = l
}

// crash ends the current incarnation with all of its connections; one that is down already stays so.
func (s *Server) crash(down time.Duration) {
	s.mu.Lock()
	l := s.life
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

// link is one connection as the server sees it.
type link struct {
	opened clock.Instant
	// fresh is true until the first request has paid for the connection.
	fresh bool
}

type linkKey struct{}

func (s *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, linkKey{}, &link{opened: s.clock.Now(), fresh: true})
}

func (s *Server) connState(l *life) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, t http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch t {
		case http.StateNew:
			l.open++
			s.report.Connections++
			s.report.MaxConnections = max(s.report.MaxConnections, l.open)
			if l.open > s.options.Service.Connections {
				s.report.AboveConnections++
			}
		case http.StateClosed, http.StateHijacked:
			l.open--
		case http.StateActive, http.StateIdle:
		}
	}
}
