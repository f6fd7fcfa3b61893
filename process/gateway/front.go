package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/version/route"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout hold until a configuration states others.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// front serves callers under the limits of the configuration. The limits of a server can't change, so new ones come
// with a new server for the connections from then on; open connections keep theirs.
type front struct {
	listener net.Listener
	handler  http.Handler

	mu      sync.Mutex
	limits  route.Limits
	servers []*http.Server
	// next takes the connections that are accepted.
	next   *handed
	closed bool
}

func newFront(l net.Listener, h http.Handler) *front {
	f := &front{listener: l, handler: h}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start(route.Limits{})
	return f
}

// serve accepts connections until the listener is closed.
func (f *front) serve() error {
	for {
		c, err := f.listener.Accept()
		var n net.Error
		if errors.As(err, &n) && n.Timeout() {
			continue
		}
		if err != nil {
			return err
		}
		f.mu.Lock()
		h := f.next
		f.mu.Unlock()
		h.put(c)
	}
}

// apply makes limits hold for the connections from now on.
func (f *front) apply(l route.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || l == f.limits {
		return
	}
	f.start(l)
}

func (f *front) start(l route.Limits) {
	s := &http.Server{
		Handler: f.handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: int(l.HeaderBytes),
	}
	if l.HeaderTimeout > 0 {
		s.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		s.IdleTimeout = l.IdleTimeout
	}
	h := &handed{conns: make(chan net.Conn), done: make(chan struct{}), address: f.listener.Addr()}
	f.limits, f.next = l, h
	f.servers = append(f.servers, s)
	// It ends with the error of a closed listener, at a planned stop.
	go func() { _ = s.Serve(h) }()
}

// shutdown stops accepting and waits for the requests in flight.
func (f *front) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closed = true
	l := f.servers
	f.mu.Unlock()
	errs := []error{f.listener.Close()}
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

// handed is a listener of connections that another one has accepted.
type handed struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

func (h *handed) put(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.done:
		// The server has been shut down; its callers try elsewhere.
		_ = c.Close()
	}
}

// Accept waits for the next connection.
func (h *handed) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (h *handed) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr is the address of the listener that accepts.
func (h *handed) Addr() net.Addr {
	return h.address
}
