package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Relay forwards connections to one address; it is safe for concurrent use.
type Relay struct {
	listener net.Listener
	to       ident.Address

	mu sync.Mutex
	// forwarding is closed while the relay forwards bytes, and open while it is cut.
	forwarding chan struct{}
	cut        bool
	fault      Fault
	rand       *rand.Rand
	conns      map[net.Conn]bool
}

// Fault is a fault of the direction from the target back to the client, which carries the answers.
type Fault struct {
	// Delay is the delay of each chunk of data.
	Delay time.Duration
	// Loss is the probability, for each chunk, that the connection is closed instead, so that the answer is lost after
	// the request took effect.
	Loss float64
}

// SetFault replaces the fault, for existing connections too.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// New starts a relay from one address to another. The seed of the random numbers decides which answers are lost.
func New(from, to ident.Address, seed uint64) (*Relay, error) {
	l, err := net.Listen("tcp", string(from))
	if err != nil {
		return nil, fmt.Errorf("listen for the relay: %w", err)
	}
	r := &Relay{
		listener: l, to: to, forwarding: make(chan struct{}), conns: map[net.Conn]bool{},
		rand: rand.New(rand.NewPCG(seed, 0)),
	}
	close(r.forwarding)
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() ident.Address {
	return ident.Address(r.listener.Addr().String())
}

// SetCut cuts the two sides off from each other, without closing connections, or connects them again. Connections that
// were open during the cut are closed when it ends.
func (r *Relay) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cut == r.cut {
		return
	}
	r.cut = cut
	if cut {
		r.forwarding = make(chan struct{})
		return
	}
	// Connections are closed before forwarding resumes, so that no bytes that waited during the cut are forwarded.
	for c := range r.conns {
		_ = c.Close()
	}
	close(r.forwarding)
}

// Close stops the relay and closes all of its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetCut(true)
	r.SetCut(false)
}

// accept forwards each new connection until the listener is closed.
func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// forward connects to the target and forwards bytes in both directions until one of them ends.
func (r *Relay) forward(c net.Conn) {
	r.track(c, true)
	defer r.closeConn(c)
	<-r.whenForwarding()
	d, err := net.Dial("tcp", string(r.to))
	if err != nil {
		return
	}
	r.track(d, true)
	defer r.closeConn(d)
	done := make(chan struct{}, 2)
	go func() {
		r.forwardBytes(d, c, func() bool { return true })
		done <- struct{}{}
	}()
	go func() {
		r.forwardBytes(c, d, r.applyFault)
		done <- struct{}{}
	}()
	<-done
}

// forwardBytes waits while the relay is cut before it forwards a chunk, so that a cut neither loses bytes nor is
// visible to either side. It returns when pass reports that a chunk must not be forwarded.
func (r *Relay) forwardBytes(w io.Writer, s io.Reader, pass func() bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := s.Read(b)
		<-r.whenForwarding()
		if n > 0 {
			if !pass() {
				return
			}
			if _, err := w.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyFault applies the fault to one chunk of an answer and reports whether the chunk is to be forwarded.
func (r *Relay) applyFault() bool {
	r.mu.Lock()
	f := r.fault
	lost := r.rand.Float64() < f.Loss
	r.mu.Unlock()
	time.Sleep(f.Delay)
	return !lost
}

// whenForwarding returns a channel that is closed while the relay forwards bytes.
func (r *Relay) whenForwarding() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwarding
}

// track records an open or closed connection, so that SetCut can close those that are open.
func (r *Relay) track(c net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
	}
}

// closeConn closes a connection and no longer tracks it.
func (r *Relay) closeConn(c net.Conn) {
	r.track(c, false)
	_ = c.Close()
}
