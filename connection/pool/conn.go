package pool

import (
	"bufio"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// ErrReadLimit means that the other side sent more bytes than SetReadLimit allowed.
var ErrReadLimit = errors.New("pool: read limit exceeded")

// Conn is an open connection that carries one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Opened is when the connection was opened.
	Opened clock.Instant
	// Sent is when the latest request on the connection began to be written.
	Sent clock.Instant
	// LastResponse is when the latest complete response arrived, or Opened before the first one.
	LastResponse clock.Instant

	readLimit ident.Bytes
	carried   carried
}

func newConn(n net.Conn, now clock.Instant) *Conn {
	c := &Conn{Conn: n, Opened: now, LastResponse: now}
	c.Reader = bufio.NewReader((*limitedReader)(c))
	return c
}

// SetReadLimit sets how many more bytes may be read from the network; further reads fail with ErrReadLimit.
func (c *Conn) SetReadLimit(n ident.Bytes) {
	c.readLimit = n
}

// limitedReader reads from a connection up to its read limit.
type limitedReader Conn

// Read reads from the network up to the read limit.
func (a *limitedReader) Read(b []byte) (int, error) {
	if a.readLimit <= 0 {
		return 0, ErrReadLimit
	}
	n, err := a.Conn.Read(b[:min(len(b), int(a.readLimit))])
	a.readLimit -= ident.Bytes(n)
	return n, err
}

// Usable reports whether the other side has neither closed the idle connection nor sent bytes that no request asked
// for. It does not block.
func (c *Conn) Usable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
