package listener

import (
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Listener is a net.Listener that counts how the connections that it accepts end.
type Listener struct {
	net.Listener
	log zerolog.Logger

	failedAccepts, failedWrites, unread atomic.Uint64
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

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		l.failedAccepts.Add(1)
		return nil, err
	}
	t, ok := n.(*net.TCPConn)
	if !ok {
		return n, nil
	}
	return &conn{TCPConn: t, listener: l}, nil
}

// Stats returns the counts since the listener was made.
func (l *Listener) Stats() Stats {
	return Stats{FailedAccepts: l.failedAccepts.Load(), FailedWrites: l.failedWrites.Load(), Unread: l.unread.Load()}
}
