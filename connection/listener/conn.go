package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/amaranthramp/amaranthramp/ident"
)

// maxDiscarded bounds the bytes that are read from a closed connection.
const maxDiscarded ident.Bytes = 1 << 20

// conn is an accepted connection.
type conn struct {
	*net.TCPConn
	listener *Listener
	// reading is held while the server reads, so that the bytes of the other side are discarded only after that.
	reading sync.Mutex

	mu     sync.Mutex
	closed bool
	// ended means that the other side has closed or reset the connection.
	ended bool
}

// Read reads from the connection until it is closed.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
	}
	return n, err
}

// Write writes to the connection and counts an error.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.listener.failedWrites.Add(1)
		c.listener.log.Info().Str("Caller", c.RemoteAddr().String()).Err(err).Int("Written", n).Int("Length", len(b)).
			Msg("could not write to the connection")
	}
	return n, err
}

// SetReadDeadline sets the deadline for reads by the server; a closed connection keeps its own.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines for reads and writes by the server.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close ends the sending side after all that was written, and the connection once the other side has closed it or has
// had lingerTime to do so. It does not wait for that.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.ended || !c.listener.startLingering() {
		return c.TCPConn.Close()
	}
	if err := c.CloseWrite(); err != nil {
		c.listener.endLingering()
		return errors.Join(err, c.TCPConn.Close())
	}
	// A read of the server that is waiting ends with an error.
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	go c.linger()
	return nil
}

// linger discards what the other side still sends, and closes the connection.
func (c *conn) linger() {
	defer c.listener.endLingering()
	c.reading.Lock()
	defer c.reading.Unlock()
	discarded := int64(0)
	for end := time.Now().Add(maxLingerTime); time.Now().Before(end); {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
		n, err := io.CopyN(io.Discard, c.TCPConn, int64(maxDiscarded)-discarded)
		discarded += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.allReceived() {
			break
		}
	}
	if discarded > 0 {
		c.listener.unread.Add(1)
		c.listener.log.Info().Str("Caller", c.RemoteAddr().String()).Int64("Bytes", discarded).
			Msg("connection closed with unread bytes")
	}
	_ = c.TCPConn.Close()
}

// allReceived reports whether the other side has acknowledged everything, as far as the kernel tells.
func (c *conn) allReceived() bool {
	r, err := c.SyscallConn()
	if err != nil {
		return true
	}
	unacknowledged := 0
	err = r.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unacknowledged = n
		}
	})
	return err != nil || unacknowledged == 0
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
