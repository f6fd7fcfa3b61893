package listener

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// connect returns the two sides of a connection that l accepts.
func connect(t *testing.T, l *Listener) (caller *net.TCPConn, accepted net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	n, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return c.(*net.TCPConn), n
}

func listen(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return New(l, zerolog.Nop())
}

// TestUnreadBytesAreCounted guards against connections that are reset on closing without a trace in the metrics.
func TestUnreadBytesAreCounted(t *testing.T) {
	for _, r := range []struct {
		sent string
		want uint64
	}{{"", 0}, {"GET / HTTP/1.1\r\n\r\n", 1}} {
		l := listen(t)
		c, n := connect(t, l)
		if _, err := c.Write([]byte(r.sent)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		_ = n.Close()
		if s := l.Stats(); s.Unread != r.want {
			t.Errorf("caller sent %q: %d connections with unread bytes, want %d", r.sent, s.Unread, r.want)
		}
	}
}
