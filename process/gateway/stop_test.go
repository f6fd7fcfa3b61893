package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/standin/objects"
)

// dialSlowReader connects to the gateway with a receive buffer that holds only a part of a long answer.
func (b *testGateway) dialSlowReader(t *testing.T) net.Conn {
	t.Helper()
	const receiveBuffer = 4096
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err == nil {
			err = controlErr
		}
		return err
	}}
	n, err := d.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// writeRead sends a safe request with an id and the given time left; the answer repeats the id.
func writeRead(t *testing.T, n net.Conn, id string, left time.Duration) {
	t.Helper()
	if _, err := fmt.Fprintf(n, "GET /read/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n\r\n",
		platform.Headers.RequestID, id, platform.Headers.TimeRemaining, left.Milliseconds()); err != nil {
		t.Fatal(err)
	}
}

// TestStopLosesEndOfAnswer guards against a planned stop that resets the connection of a caller with pipelined requests
// before the last answer has arrived.
func TestStopLosesEndOfAnswer(t *testing.T) {
	b := newTestGateway(t, 3, 300*time.Millisecond)
	n := b.dialSlowReader(t)
	b.stop()
	time.Sleep(b.settings.Grace/2 - 200*time.Millisecond)
	id := strings.Repeat("x", 30000)
	writeRead(t, n, id, 2*time.Second)
	time.Sleep(20 * time.Millisecond)
	writeRead(t, n, "second", 2*time.Second)
	time.Sleep(700 * time.Millisecond)
	p, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		t.Fatal(err)
	}
	a, err := io.ReadAll(p.Body)
	if err != nil || p.StatusCode != http.StatusOK || string(a) != id+" 0" {
		t.Errorf("status %d, %d bytes, error %v, want the whole answer of %d bytes", p.StatusCode, len(a), err, len(id)+2)
	}
}

// TestStopClosesConnectionsByHeader guards against callers that are not told of a planned stop, so that their next
// requests cross the close of the connection.
func TestStopClosesConnectionsByHeader(t *testing.T) {
	b := newTestGateway(t, 2, 10*time.Millisecond)
	rows := []struct{ name, path string }{{"answer of a target", "/read/1"}, {"own answer", "/other/"}}
	for _, stopped := range []bool{false, true} {
		if stopped {
			b.stop()
			b.waitUntil(t, "stop begun", func() bool { return b.readinessStatus() != http.StatusOK })
		}
		for _, r := range rows {
			p, _, err := b.send(t.Context(), "GET", r.path, "h", "")
			if err != nil {
				t.Fatal(err)
			}
			if p.Close != stopped {
				t.Errorf("%s, planned stop %t: Connection: close %t", r.name, stopped, p.Close)
			}
		}
	}
}

// TestStopAnswersSilentTargets guards against requests that are cut without an answer at the end of a planned stop,
// because no target answers them.
func TestStopAnswersSilentTargets(t *testing.T) {
	b := &testGateway{log: zerolog.Nop(), store: objects.New()}
	b.store.Put("config", "main",
		strings.ReplaceAll(fmt.Sprintf(configuration, 1), `"timeout-ms":2000`, `"timeout-ms":60000`))
	b.startWithTargets(t, 2, time.Hour)
	n, err := net.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	if _, err := fmt.Fprintf(n, "POST /claim/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n%s: s1\r\n\r\n",
		platform.Headers.RequestID); err != nil {
		t.Fatal(err)
	}
	b.waitUntil(t, "request at a target", func() bool { return len(b.runLog.Runs("s1")) > 0 })
	began := time.Now()
	b.stop()
	p, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		t.Fatalf("%s after the stop began: %v", time.Since(began), err)
	}
	if d := time.Since(began); p.StatusCode != http.StatusBadGateway || d < b.settings.Grace*5/6 {
		t.Errorf("status %d after %s, want 502 in the last sixth of the grace time", p.StatusCode, d)
	}
	if err := <-b.done; err != nil {
		t.Error(err)
	}
	if d := time.Since(began); d > b.settings.Grace {
		t.Errorf("stop took %s, want at most the grace time of %s", d, b.settings.Grace)
	}
}

// TestStopServesLastConnections guards against a request that is read and not answered, because it came on one of the
// last connections that were accepted before a planned stop ended them.
func TestStopServesLastConnections(t *testing.T) {
	b := newTestGateway(t, 2, time.Millisecond)
	b.stop()
	time.Sleep(b.settings.Grace/2 - 30*time.Millisecond)
	n, err := net.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	time.Sleep(60 * time.Millisecond)
	writeRead(t, n, "last", 2*time.Second)
	p, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil || p.StatusCode != http.StatusOK || !p.Close {
		t.Errorf("response %v, error %v, want 200 and Connection: close", p, err)
	}
}
