package listener

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// connect returns the two sides of a connection that l accepts.
func connect(t *testing.T, l *Listener) (caller *net.TCPConn, accepted net.Conn) {
	t.Helper()
	return connectFrom(t, l, &net.Dialer{})
}

// smallReceiver dials connections with a receive buffer of a few kilobytes.
var smallReceiver = &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
	return errors.Join(controlErr, err)
}}

func connectFrom(t *testing.T, l *Listener, d *net.Dialer) (caller *net.TCPConn, accepted net.Conn) {
	t.Helper()
	c, err := d.Dial("tcp", l.Addr().String())
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

// TestUnreadBytesAreCounted guards against connections that are closed on bytes of the caller without a trace.
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
		_ = c.Close()
		wait(t, l, time.Second)
		if s := l.Stats(); s.Unread != r.want {
			t.Errorf("caller sent %q: %d connections with unread bytes, want %d", r.sent, s.Unread, r.want)
		}
	}
}

// TestAnswerArrivesBeforeReset guards against a connection that is reset, because bytes of the caller were unread when
// it was closed, before the caller has received the whole answer.
func TestAnswerArrivesBeforeReset(t *testing.T) {
	l := listen(t)
	c, n := connect(t, l)
	if err := c.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	answer := bytes.Repeat([]byte("x"), 256<<10)
	if _, err := c.Write([]byte("next request")); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := n.Write(answer)
		written <- errors.Join(err, n.Close())
	}()
	time.Sleep(100 * time.Millisecond)
	got, err := io.ReadAll(c)
	if err != nil || len(got) != len(answer) {
		t.Errorf("caller got %d bytes, error %v, want %d bytes and the end of the connection", len(got), err, len(answer))
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}

// TestLateRequestDuringAnswer guards against a connection that is reset because the next request arrives long after it
// was closed, while the caller is still receiving the answer.
func TestLateRequestDuringAnswer(t *testing.T) {
	l := listen(t)
	c, n := connectFrom(t, l, smallReceiver)
	// The answer fits into the buffers of this side.
	answer := bytes.Repeat([]byte("x"), 30000)
	if _, err := n.Write(answer); err != nil {
		t.Fatal(err)
	}
	_ = n.Close()
	time.Sleep(lingerTime + 300*time.Millisecond)
	if _, err := c.Write([]byte("next request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	got, err := io.ReadAll(c)
	if err != nil || len(got) != len(answer) {
		t.Errorf("caller got %d bytes, error %v, want %d bytes and the end of the connection", len(got), err, len(answer))
	}
}

// TestCloseEndsReads guards against a server that goes on reading from a connection after it has closed it.
func TestCloseEndsReads(t *testing.T) {
	l := listen(t)
	c, n := connect(t, l)
	read := make(chan error, 1)
	go func() {
		_, err := n.Read(make([]byte, 10))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond)
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err == nil {
		t.Error("read ended without an error after Close")
	}
	if _, err := c.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	if k, err := n.Read(make([]byte, 10)); k != 0 || err == nil {
		t.Errorf("read after Close: %d bytes, error %v, want none and an error", k, err)
	}
}

// TestSilentCallerIsClosed guards against connections that stay for as long as their caller does not close them.
func TestSilentCallerIsClosed(t *testing.T) {
	l := listen(t)
	_, n := connect(t, l)
	_ = n.Close()
	wait(t, l, lingerTime+time.Second)
}

// TestLingeringIsBounded guards against closed connections that use up the descriptors.
func TestLingeringIsBounded(t *testing.T) {
	l := listen(t)
	l.lingering = maxLingering
	c, n := connect(t, l)
	_ = n.Close()
	if err := c.SetReadDeadline(time.Now().Add(lingerTime / 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("caller read: error %v, want the end of the connection", err)
	}
	if l.lingering != maxLingering {
		t.Errorf("%d connections linger, want %d", l.lingering, maxLingering)
	}
}

// wait fails the test unless all closed connections end within d.
func wait(t *testing.T, l *Listener, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	if err := l.Wait(ctx); err != nil {
		t.Errorf("closed connections have not ended after %s: %v", d, err)
	}
}

// failingListener fails the first calls of Accept as one does that has no descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutDescriptors guards against a process that ends, with all requests in flight, when Accept fails.
func TestAcceptWithoutDescriptors(t *testing.T) {
	l := listen(t)
	l.Listener = &failingListener{Listener: l.Listener, failures: 3}
	connect(t, l)
	if s := l.Stats(); s.FailedAccepts != 3 {
		t.Errorf("%d failed accepts, want 3", s.FailedAccepts)
	}
	_ = l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after Close: error %v, want %v", err, net.ErrClosed)
	}
}

// failingPackets fails the first reads.
type failingPackets struct {
	net.PacketConn
	failures int
}

func (c *failingPackets) ReadFrom(b []byte) (int, net.Addr, error) {
	if c.failures > 0 {
		c.failures--
		return 0, nil, &net.OpError{Op: "read", Net: "udp", Err: os.NewSyscallError("recvfrom", syscall.ENOBUFS)}
	}
	return c.PacketConn.ReadFrom(b)
}

// TestDatagramsAfterError guards against a process that receives nothing any more after one failed read.
func TestDatagramsAfterError(t *testing.T) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan string, 1)
	go func() {
		ReadDatagrams(&failingPackets{PacketConn: c, failures: 2}, 100, zerolog.Nop(), func(_ net.Addr, b []byte) {
			got <- string(b)
		})
		close(got)
	}()
	if _, err := c.WriteTo([]byte("digest"), c.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	if s := <-got; s != "digest" {
		t.Errorf("received %q, want the datagram after the failed reads", s)
	}
	_ = c.Close()
	if _, open := <-got; open {
		t.Error("received a datagram after the end")
	}
}

// TestCloseOnStopWithoutStatus guards against a caller that isn't told of a planned stop because the handler writes a
// body without a status.
func TestCloseOnStopWithoutStatus(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		h := CloseOnStop(func() bool { return stopping })(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "body")
		}))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		if closed := w.Result().Header.Get("Connection") == "close"; closed != stopping {
			t.Errorf("stopping %t: Connection: close %t", stopping, closed)
		}
	}
}
