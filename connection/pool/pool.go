package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// ErrFull means that the pool is at its connection limit and all connections are in use.
var ErrFull = errors.New("pool: connection limit reached")

// maxConcurrentDials limits how many connections to one address are opened at the same time. Opening a connection takes
// up time of the target's concurrency slots.
const maxConcurrentDials = 2

// dialBackoff is how long after a failed dial Get fails without dialing, so that requests don't queue for an address
// that is down.
const dialBackoff = 50 * time.Millisecond

// Dial opens a connection to an address; DialTCP and net.Dialer.DialContext have this signature.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections to one address; it is safe for concurrent use.
type Pool struct {
	address ident.Address
	limit   int
	maxIdle time.Duration
	dial    Dial
	clock   clock.Clock

	mu      sync.Mutex
	open    int
	dialing int
	closed  bool
	// idle holds the idle connections ordered by their last response, the latest at the end.
	idle []*Conn
	// youngest is the most recently opened of the connections that have ever responded.
	youngest connResponse
	// lastAnsweredSentAt is the latest send time of all requests that have been answered.
	lastAnsweredSentAt clock.Instant
	// dialErr is the error of the last dial and dialFailedAt its time; a successful dial clears dialErr.
	dialErr      error
	dialFailedAt clock.Instant
	// available is closed when a connection is put back or closed, or a dial ends. It is nil while nobody waits.
	available chan struct{}
}

// connResponse holds when a connection was opened and when it last responded.
type connResponse struct {
	opened, lastResponse clock.Instant
}

// New returns a pool of at most limit connections. It closes a connection that was idle for longer than maxIdle instead
// of using it.
func New(a ident.Address, limit int, maxIdle time.Duration, d Dial, c clock.Clock) *Pool {
	return &Pool{address: a, limit: limit, maxIdle: maxIdle, dial: d, clock: c}
}

// Get returns an idle connection that responded within the last maxIdle, or opens one. It fails with ErrFull at the
// connection limit, with the error of the dial, or with the error of ctx if that ends while Get waits to dial.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*Conn, error) {
	return p.get(ctx, maxIdle, func(*Conn) bool { return true })
}

// GetFor is like Get, but never returns a connection that has carried a request with the given ID.
func (p *Pool) GetFor(ctx context.Context, maxIdle time.Duration, id ident.Request) (*Conn, error) {
	return p.get(ctx, maxIdle, func(c *Conn) bool { return !c.Carried(id) })
}

func (p *Pool) get(ctx context.Context, maxIdle time.Duration, fits func(*Conn) bool) (*Conn, error) {
	for {
		c, wait, err := p.takeOrReserve(maxIdle, fits)
		if err != nil || c != nil {
			return c, err
		}
		if wait == nil {
			return p.dialReserved(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for a connection to %s: %w", p.address, ctx.Err())
		}
	}
}

// Put returns a connection to the pool. It may be called only after a complete response has arrived on the connection
// and no bytes beyond it.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.LastResponse = p.clock.Now()
	p.lastAnsweredSentAt = max(p.lastAnsweredSentAt, c.Sent)
	if c.Opened >= p.youngest.opened {
		p.youngest = connResponse{opened: c.Opened, lastResponse: c.LastResponse}
	}
	p.putIdle(c)
}

// PutUnused returns a connection to the pool on which nothing was sent, so that nothing new is known about it.
func (p *Pool) PutUnused(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putIdle(c)
}

// Discard closes a connection that must not be used again.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeWaiters()
}

// EvictSuspects closes the idle connections that may be stalled because c seems to be: its request has had no response
// for unusually long. If a connection opened after c has responded since that request was sent, the idle connections
// opened no later than c are closed. Otherwise all idle ones without a response since then are closed, because whatever
// on the path has lost track of c may have lost track of them too.
func (p *Pool) EvictSuspects(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	youngerResponded := p.youngest.opened > c.Opened && p.youngest.lastResponse >= c.Sent
	var kept []*Conn
	for _, i := range p.idle {
		unanswered := i.LastResponse < c.Sent
		if unanswered && !youngerResponded || youngerResponded && i.Opened <= c.Opened {
			p.closeConn(i)
			continue
		}
		kept = append(kept, i)
	}
	p.idle = kept
}

// HasLaterResponse reports whether a request that was sent on another connection after the one on c has been answered.
func (p *Pool) HasLaterResponse(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAnsweredSentAt > c.Sent
}

// OpenConnections returns the number of open connections, including idle ones.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections now, and those in use when they are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
}

// takeOrReserve returns an idle connection or a channel to wait on. If it returns neither and no error, it has counted
// a new connection against the limits, and its caller must call dialReserved.
func (p *Pool) takeOrReserve(maxIdle time.Duration, fits func(*Conn) bool) (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.takeIdle(min(maxIdle, p.maxIdle), fits); c != nil {
		return c, nil, nil
	}
	if p.dialErr != nil && p.clock.Now().Sub(p.dialFailedAt) < dialBackoff {
		return nil, nil, p.dialErr
	}
	if p.dialing >= maxConcurrentDials {
		if p.available == nil {
			p.available = make(chan struct{})
		}
		return nil, p.available, nil
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.closeConn(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.open >= p.limit {
		return nil, nil, ErrFull
	}
	p.open++
	p.dialing++
	return nil, nil, nil
}

// takeIdle returns the fitting idle connection used last, so that the surplus ones stay idle and are closed. It returns
// nil if none that fits has responded within maxIdle.
func (p *Pool) takeIdle(maxIdle time.Duration, fits func(*Conn) bool) *Conn {
	now := p.clock.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		idleFor := now.Sub(c.LastResponse)
		if idleFor > maxIdle && idleFor <= p.maxIdle {
			return nil
		}
		if idleFor <= maxIdle && !fits(c) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if idleFor <= maxIdle && c.Usable() {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

func (p *Pool) dialReserved(ctx context.Context) (*Conn, error) {
	n, err := p.dial(ctx, "tcp", string(p.address))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	p.wakeWaiters()
	if err != nil {
		p.open--
		err = fmt.Errorf("dial %s: %w", p.address, err)
		if ctx.Err() == nil {
			p.dialErr, p.dialFailedAt = err, p.clock.Now()
		}
		return nil, err
	}
	p.dialErr = nil
	return newConn(n, p.clock.Now()), nil
}

// putIdle adds a connection to the idle ones, in the order of the last responses.
func (p *Pool) putIdle(c *Conn) {
	if p.closed || c.carried.exhausted() {
		p.closeConn(c)
		p.wakeWaiters()
		return
	}
	i := len(p.idle)
	for i > 0 && p.idle[i-1].LastResponse > c.LastResponse {
		i--
	}
	p.idle = append(p.idle, nil)
	copy(p.idle[i+1:], p.idle[i:])
	p.idle[i] = c
	p.wakeWaiters()
}

func (p *Pool) closeConn(c *Conn) {
	_ = c.Close()
	p.open--
}

func (p *Pool) wakeWaiters() {
	if p.available != nil {
		close(p.available)
		p.available = nil
	}
}
