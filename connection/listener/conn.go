package listener

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// conn is an accepted connection.
type conn struct {
	*net.TCPConn
	listener *Listener
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

// Close closes the connection and counts it if the other side has sent bytes that were not read.
func (c *conn) Close() error {
	if c.hasUnread() {
		c.listener.unread.Add(1)
		c.listener.log.Info().Str("Caller", c.RemoteAddr().String()).Msg("connection closed with unread bytes")
	}
	return c.TCPConn.Close()
}

// hasUnread reports, without blocking, whether bytes have arrived that were not read.
func (c *conn) hasUnread() bool {
	r, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = r.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(e, unix.EAGAIN) {
			unread = n
		}
	})
	return err == nil && unread > 0
}
