package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/version/route"
)

// dialFront opens a connection to the front and sends the text.
func dialFront(t *testing.T, f *front, text string) net.Conn {
	t.Helper()
	n, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	if _, err := fmt.Fprint(n, text); err != nil {
		t.Fatal(err)
	}
	return n
}

// closedAfter returns how long the other side keeps the connection open, and what it sent.
func closedAfter(t *testing.T, n net.Conn) (time.Duration, string) {
	t.Helper()
	began := time.Now()
	_ = n.SetReadDeadline(began.Add(2 * time.Second))
	b := make([]byte, 4096)
	got := ""
	for {
		m, err := n.Read(b)
		got += string(b[:m])
		if err != nil {
			return time.Since(began), got
		}
	}
}

// TestFrontLimits checks that each limit holds for the connections after the configuration that states it.
func TestFrontLimits(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := newFront(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = f.serve() }()
	old := dialFront(t, f, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	f.apply(route.Limits{HeaderBytes: 1000, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 300 * time.Millisecond})

	idle := dialFront(t, f, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if d, got := closedAfter(t, idle); d < 200*time.Millisecond || d > time.Second || !strings.Contains(got, "200 OK") {
		t.Errorf("idle connection: closed after %s with %q", d, got)
	}
	slow := dialFront(t, f, "GET / HTTP/1.1\r\nHo")
	if d, _ := closedAfter(t, slow); d > time.Second {
		t.Errorf("slow header: closed after %s", d)
	}
	large := dialFront(t, f, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 9000)+"\r\n\r\n")
	if _, got := closedAfter(t, large); !strings.Contains(got, "431") {
		t.Errorf("large header: %q", got)
	}
	if _, err := fmt.Fprint(old, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Errorf("a connection from before was closed: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := f.shutdown(ctx); err != nil {
		t.Error(err)
	}
}
