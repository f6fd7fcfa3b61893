package pool

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits on dialing, and on the time after which the kernel closes a connection whose other end no longer acknowledges.
// userTimeout applies while sent data is unacknowledged. It also decides when the kernel gives up keep-alive probes
// of an idle connection, since with TCP_USER_TIMEOUT set it ignores their count: userTimeout after the last
// acknowledgement, if a probe has gone unanswered since.
const (
	dialTimeout       = 250 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	userTimeout       = 3 * time.Second
)

// DialTCP opens a TCP connection that the kernel resets when the other end stops acknowledging.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval,
		},
		Control: setUserTimeout,
	}
	return d.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		n := int(userTimeout.Milliseconds())
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, n)
	})
	if err != nil {
		return err
	}
	return sockErr
}
