package gateway

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
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
)

// callerServer serves callers' connections with the limits of the configuration. An http.Server can't change its
// limits, so new limits start a new server for the connections accepted from then on; open connections keep theirs.
type callerServer struct {
	listener net.Listener
	handler  http.Handler
	errorLog *log.Logger
	// requests is the context of all requests.
	requests func() context.Context
	// open counts the connections that have not ended.
	open atomic.Int64

	mu          sync.Mutex
	limits      route.Limits
	httpServers []*http.Server
	// current passes accepted connections to the newest of httpServers.
	current *handoffListener
	closed  bool
}

func newCallerServer(
	l net.Listener, h http.Handler, e *log.Logger, requests func() context.Context,
) *callerServer {
	cs := &callerServer{listener: l, handler: h, errorLog: e, requests: requests}
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
		cs.mu.Lock()
		h := cs.current
		cs.mu.Unlock()
		h.deliver(c)
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
	s := &http.Server{
		Handler: cs.handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: int(l.HeaderBytes), ErrorLog: cs.errorLog,
		BaseContext: func(net.Listener) context.Context { return cs.requests() }, ConnState: cs.countConnection,
		// net/http would answer OPTIONS * itself, as if a target had.
		DisableGeneralOptionsHandler: true,
	}
	if l.HeaderTimeout > 0 {
		s.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		s.IdleTimeout = l.IdleTimeout
	}
	h := &handoffListener{conns: make(chan net.Conn), done: make(chan struct{}), address: cs.listener.Addr()}
	cs.limits, cs.current = l, h
	cs.httpServers = append(cs.httpServers, s)
	// Serve returns only at a planned stop, with the error of a closed listener.
	go func() { _ = s.Serve(h) }()
}

// close stops accepting connections.
func (cs *callerServer) close() error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	return cs.listener.Close()
}

// countConnection counts the connections that have not ended.
func (cs *callerServer) countConnection(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		cs.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		cs.open.Add(-1)
	}
}

// finish closes the idle connections and waits until the others have ended; close must have been called. A request
// that is read meanwhile still gets an answer: unlike this, Shutdown of an http.Server drops it and closes the
// connection.
func (cs *callerServer) finish(ctx context.Context) {
	cs.mu.Lock()
	for _, s := range cs.httpServers {
		s.SetKeepAlivesEnabled(false)
	}
	cs.mu.Unlock()
	for cs.open.Load() > 0 && clock.Sleep(ctx, finishCheckInterval) {
	}
}

// shutdown waits for the requests in flight; close must have been called.
func (cs *callerServer) shutdown(ctx context.Context) error {
	cs.mu.Lock()
	l := cs.httpServers
	cs.mu.Unlock()
	var errs []error
	var w sync.WaitGroup
	var mu sync.Mutex
	for _, s := range l {
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

// deliver passes a connection to Accept, or closes it if the listener is closed.
func (h *handoffListener) deliver(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.done:
		// The server has been shut down; the caller retries at another VM.
		_ = c.Close()
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
