package listener

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// lingerTime is how long a closed connection is read from, while the other side has not closed it, once the other side
	// has received everything, and maxLingerTime how long at most.
	lingerTime    = time.Second
	maxLingerTime = 5 * time.Second
	// minAcceptDelay and maxAcceptDelay bound the delay after a failed Accept, which doubles with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	// maxLingering bounds the closed connections that are read from at a time; further ones are closed at once.
	maxLingering = 1024
)

// Listener is a net.Listener whose connections are closed in two steps: first the sending side, and the rest once the
// other side has closed it or has had lingerTime to do so. The kernel resets a connection that is closed while bytes of
// the other side are unread, and then drops what it hasn't delivered of the last answer.
type Listener struct {
	net.Listener
	log zerolog.Logger

	failedAccepts, failedWrites, unread atomic.Uint64

	mu        sync.Mutex
	lingering int
	// idle is closed when no connection lingers any more; it is nil while nobody waits.
	idle chan struct{}
}

// Stats counts, since the start of the process, what went wrong with connections.
type Stats struct {
	// FailedAccepts are the errors of accepting a connection.
	FailedAccepts uint64
	// FailedWrites are the errors of writing to a connection, most often because the caller has disconnected.
	FailedWrites uint64
	// Unread are the connections that this side closed while it had not read all that the other side had sent.
	Unread uint64
}

// New returns a listener that accepts the connections of l.
func New(l net.Listener, g zerolog.Logger) *Listener {
	return &Listener{Listener: l, log: g}
}

// Accept waits for the next connection. It fails only once the listener is closed: other errors, such as a lack of
// descriptors, end when connections do, and must not end the requests in flight.
func (l *Listener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	n, err := l.Listener.Accept()
	for err != nil {
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.failedAccepts.Add(1)
		l.log.Warn().Err(err).Dur("Delay", delay).Msg("could not accept a connection")
		time.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
		n, err = l.Listener.Accept()
	}
	t, ok := n.(*net.TCPConn)
	if !ok {
		return n, nil
	}
	return &conn{TCPConn: t, listener: l}, nil
}

// Wait waits until all connections that were closed have ended, or for the end of the context, whose error it returns.
func (l *Listener) Wait(ctx context.Context) error {
	l.mu.Lock()
	if l.lingering == 0 {
		l.mu.Unlock()
		return nil
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	c := l.idle
	l.mu.Unlock()
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats returns the counts since the listener was made.
func (l *Listener) Stats() Stats {
	return Stats{FailedAccepts: l.failedAccepts.Load(), FailedWrites: l.failedWrites.Load(), Unread: l.unread.Load()}
}

// startLingering reports whether one more connection may linger; if so, endLingering must follow.
func (l *Listener) startLingering() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering >= maxLingering {
		return false
	}
	l.lingering++
	return true
}

func (l *Listener) endLingering() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
	if l.lingering == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}
