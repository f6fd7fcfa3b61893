package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// TestCut checks that nothing is forwarded during a cut, that connections open during it are closed afterwards, and
// that answers are lost and delayed as the fault says.
func TestCut(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := New("127.0.0.1:0", ident.Address(echo.Addr().String()), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c := dial(t, r)
	if err := sendLine(c, time.Minute); err != nil {
		t.Errorf("echo before the cut: error %v, want none", err)
	}
	r.SetCut(true)
	if err := sendLine(c, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("echo during the cut: error %v, want a time-out", err)
	}
	r.SetCut(false)
	if err := sendLine(c, time.Minute); err == nil {
		t.Error("the connection is still open after the cut, want it closed")
	}
	if err := sendLine(dial(t, r), time.Minute); err != nil {
		t.Errorf("echo on a new connection after the cut: error %v, want none", err)
	}
	r.SetFault(Fault{Loss: 1})
	if err := sendLine(dial(t, r), time.Minute); !errors.Is(err, io.EOF) {
		t.Errorf("echo with loss: error %v, want a closed connection", err)
	}
	r.SetFault(Fault{Delay: 50 * time.Millisecond})
	start := time.Now()
	if err := sendLine(dial(t, r), time.Minute); err != nil || time.Since(start) < 50*time.Millisecond {
		t.Errorf("echo with delay: error %v after %s, want an echo after at least 50ms", err, time.Since(start))
	}
}

// dial connects to the relay.
func dial(t *testing.T, r *Relay) net.Conn {
	c, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendLine sends a line and waits for its echo.
func sendLine(c net.Conn, d time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(d))
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}
