package gateway

import (
	"context"
	"errors"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/route"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply unless the configuration sets other values.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// finishCheckInterval is how often a planned stop checks whether all connections have ended.
	finishCheckInterval = 10 * time.Millisecond
	// firstRequestTime is how long a new connection has at a planned stop to send its first request.
	firstRequestTime = 5 * time.Second
)

// callerServer serves callers' connections with the limits of the configuration. An http.Server can't change its
// limits, so new limits start a new server for the connections accepted from then on; open connections keep theirs.
type callerServer struct {
	listener net.Listener
	handler  http.Handler
	errorLog *log.Logger
	// requests is the context of all requests.
	requests func() context.Context

	mu     sync.Mutex
	limits route.Limits
	// servers are the current server and those that still have connections.
	servers map[*limitedServer]struct{}
	current *limitedServer
	closed  bool
}

// limitedServer serves the connections that were accepted under the same limits.
type limitedServer struct {
	*http.Server
	accepted *handoffListener
	// open counts the connections that have not ended, and conns holds them from their first state on; the lock of the
	// callerServer must be held for both.
	open  int
	conns map[net.Conn]*callerConn
}

// callerConn is the state of a connection; the lock of the callerServer must be held but for closed.
type callerConn struct {
	accepted time.Time
	// used is whether it has carried a request, and waiting whether it waits for one.
	used, waiting bool
	// closed is set once a planned stop has closed the connection while it waited.
	closed atomic.Bool
}

// connKey is the key of the callerConn in the context of a request.
type connKey struct{}

func newCallerServer(
	l net.Listener, h http.Handler, e *log.Logger, requests func() context.Context,
) *callerServer {
	cs := &callerServer{
		listener: l, handler: h, errorLog: e, requests: requests, servers: map[*limitedServer]struct{}{},
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.startServer(route.Limits{})
	return cs
}

// serve accepts connections and passes them to the current HTTP server, until the listener is closed.
func (cs *callerServer) serve() error {
	for {
		c, err := cs.listener.Accept()
		if err != nil {
			return err
		}
		cs.deliver(c)
	}
}

// deliver passes a connection to the current HTTP server. Once that has been shut down, it closes the connection: the
// caller retries at another VM.
func (cs *callerServer) deliver(c net.Conn) {
	for {
		cs.mu.Lock()
		s, closed := cs.current, cs.closed
		s.open++
		cs.mu.Unlock()
		if s.accepted.deliver(c) {
			return
		}
		cs.countEnd(s)
		if closed {
			_ = c.Close()
			return
		}
	}
}

// setLimits sets the limits for connections accepted from now on.
func (cs *callerServer) setLimits(l route.Limits) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.closed || l == cs.limits {
		return
	}
	cs.startServer(l)
}

// startServer starts an HTTP server with the limits and makes it the current one; the lock must be held.
func (cs *callerServer) startServer(l route.Limits) {
	s := &limitedServer{conns: map[net.Conn]*callerConn{}, Server: &http.Server{
		Handler: dropCrossing(cs.handler), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: int(l.HeaderBytes), ErrorLog: cs.errorLog,
		BaseContext: func(net.Listener) context.Context { return cs.requests() },
		// net/http would answer OPTIONS * itself, as if a target had.
		DisableGeneralOptionsHandler: true,
	}}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		n := &callerConn{accepted: time.Now(), waiting: true}
		cs.mu.Lock()
		defer cs.mu.Unlock()
		s.conns[c] = n
		return context.WithValue(ctx, connKey{}, n)
	}
	s.ConnState = func(c net.Conn, n http.ConnState) { cs.changeState(s, c, n) }
	if l.HeaderTimeout > 0 {
		s.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		s.IdleTimeout = l.IdleTimeout
	}
	s.accepted = &handoffListener{conns: make(chan net.Conn), done: make(chan struct{}), address: cs.listener.Addr()}
	old := cs.current
	cs.limits, cs.current = l, s
	cs.servers[s] = struct{}{}
	if old != nil {
		_ = old.accepted.Close()
		cs.forget(old)
	}
	// Serve returns once the limits change or a planned stop ends, with the error of a closed listener.
	go func() { _ = s.Serve(s.accepted) }()
}

// dropCrossing drops a request that has crossed the close of its connection by a planned stop: its caller gets no
// answer any more, so that no target may run it.
func dropCrossing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, ok := r.Context().Value(connKey{}).(*callerConn); ok && n.closed.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// changeState records whether a connection waits for a request, before a request on it is handled.
func (cs *callerServer) changeState(s *limitedServer, c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		cs.countEnd(s)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n, ok := s.conns[c]
	switch {
	case !ok:
	case state == http.StateClosed || state == http.StateHijacked:
		delete(s.conns, c)
	case state == http.StateActive:
		n.used, n.waiting = true, false
	case state == http.StateIdle:
		n.waiting = true
	}
}

// closeWaiting closes the connections that wait for a request, but for new ones that have not had firstRequestTime.
func (cs *callerServer) closeWaiting() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for s := range cs.servers {
		for c, n := range s.conns {
			if n.waiting && !n.closed.Load() && (n.used || time.Since(n.accepted) >= firstRequestTime) {
				n.closed.Store(true)
				// The error of a connection that has ended by itself adds nothing.
				_ = c.Close()
			}
		}
	}
}

// countEnd counts the end of a connection.
func (cs *callerServer) countEnd(s *limitedServer) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	s.open--
	cs.forget(s)
}

// forget drops a server that gets no more connections and has none; the lock must be held.
func (cs *callerServer) forget(s *limitedServer) {
	if s != cs.current && s.open == 0 {
		delete(cs.servers, s)
	}
}

// close stops accepting connections.
func (cs *callerServer) close() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	return cs.listener.Close()
}

// finish closes the connections that wait for a request and waits until the others have ended; close must have been
// called. A request that is read meanwhile still gets an answer: unlike this, Shutdown of an http.Server drops it and
// closes the connection. The answers must say that the connection is closed after them.
func (cs *callerServer) finish(ctx context.Context) {
	for cs.closeWaiting(); cs.openConnections() > 0 && clock.Sleep(ctx, finishCheckInterval); cs.closeWaiting() {
	}
}

// remaining returns the servers that have not ended.
func (cs *callerServer) remaining() []*limitedServer {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Collect(maps.Keys(cs.servers))
}

// openConnections returns how many connections have not ended.
func (cs *callerServer) openConnections() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n := 0
	for s := range cs.servers {
		n += s.open
	}
	return n
}

// shutdown waits for the requests in flight; close must have been called.
func (cs *callerServer) shutdown(ctx context.Context) error {
	var errs []error
	var w sync.WaitGroup
	var mu sync.Mutex
	for _, s := range cs.remaining() {
		w.Go(func() {
			err := s.Shutdown(ctx)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	w.Wait()
	return errors.Join(errs...)
}

// handoffListener is a net.Listener of connections that another listener has accepted.
type handoffListener struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

// deliver passes a connection to Accept, or reports false if the listener is closed.
func (h *handoffListener) deliver(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.done:
		return false
	}
}

// Accept waits for the next connection; after Close it returns net.ErrClosed.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener, but not its connections.
func (h *handoffListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr returns the address of the listener that accepts the connections.
func (h *handoffListener) Addr() net.Addr {
	return h.address
}
