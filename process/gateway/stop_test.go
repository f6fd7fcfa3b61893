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
	if _, err := io.WriteString(n, readWithTime(id, left)); err != nil {
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

// TestStopRefusesLateRequests guards against a request that came late in the grace time of a planned stop, was passed
// on to a target, and was broken off at the end, or whose connection was closed without an answer: a request that can
// last longer than the stop is refused at once, and one that can't is served.
func TestStopRefusesLateRequests(t *testing.T) {
	const work = 1200 * time.Millisecond
	rows := []struct {
		id, head, rest string
		status         int
	}{
		{"late-read", "", readWithTime("late-read", 5*time.Second), http.StatusServiceUnavailable},
		{"late-claim", "", claimWithBody("late-claim"), http.StatusServiceUnavailable},
		{"late-body", claimWithBody("late-body")[:len(claimWithBody("late-body"))-1], "x", http.StatusServiceUnavailable},
		{"late-short", "", readWithTime("late-short", 300*time.Millisecond), http.StatusGatewayTimeout},
	}
	b := newTestGateway(t, 4, work)
	b.stop()
	time.Sleep(b.settings.Grace/2 - 100*time.Millisecond)
	var connections []net.Conn
	write := func(n net.Conn, text string) {
		if _, err := io.WriteString(n, text); err != nil {
			t.Fatal(err)
		}
	}
	for _, r := range rows {
		n, err := net.Dial("tcp", string(b.settings.CallerAddress))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = n.Close() }()
		connections = append(connections, n)
		write(n, r.head)
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	for i, r := range rows {
		write(connections[i], r.rest)
	}
	for i, r := range rows {
		p, err := http.ReadResponse(bufio.NewReader(connections[i]), nil)
		if err != nil {
			t.Errorf("%s: no answer: %v", r.id, err)
			continue
		}
		took, ran := time.Since(began), len(b.runLog.Runs(r.id)) > 0
		if refused := r.status == http.StatusServiceUnavailable; p.StatusCode != r.status || !p.Close || ran == refused ||
			refused && (took > 200*time.Millisecond || p.Header.Get("Retry-After") == "") {
			t.Errorf("%s: status %d after %s, ran %t, Retry-After %q, want status %d", r.id, p.StatusCode, took, ran,
				p.Header.Get("Retry-After"), r.status)
		}
	}
}

// claimWithBody returns a request that may run only once, with a body of one byte.
func claimWithBody(id string) string {
	return fmt.Sprintf("POST /claim/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n%s: %s\r\n\r\nx",
		platform.Headers.RequestID, id)
}

// readWithTime returns a safe request with an id and the given time left.
func readWithTime(id string, left time.Duration) string {
	return fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n\r\n",
		platform.Headers.RequestID, id, platform.Headers.TimeRemaining, left.Milliseconds())
}
