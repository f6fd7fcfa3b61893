package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/listener"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// dialAndSend opens a connection to the server and sends the text.
func dialAndSend(t *testing.T, cs *callerServer, text string) net.Conn {
	t.Helper()
	n, err := net.Dial("tcp", cs.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	if _, err := fmt.Fprint(n, text); err != nil {
		t.Fatal(err)
	}
	return n
}

// openTime returns how long the server keeps the connection open, and what it sent.
func openTime(t *testing.T, n net.Conn) (time.Duration, string) {
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

// TestCallerServerLimits checks that each limit applies to connections accepted after it was set, and that older
// connections stay open.
func TestCallerServerLimits(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cs := newCallerServer(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		log.New(io.Discard, "", 0), context.Background)
	go func() { _ = cs.serve() }()
	old := dialAndSend(t, cs, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	cs.setLimits(route.Limits{
		HeaderBytes: 1000, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 300 * time.Millisecond,
	})

	idle := dialAndSend(t, cs, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if d, got := openTime(t, idle); d < 200*time.Millisecond || d > time.Second || !strings.Contains(got, "200 OK") {
		t.Errorf("idle connection: closed after %s with answer %q, want 200 ms to 1 s and 200 OK", d, got)
	}
	slow := dialAndSend(t, cs, "GET / HTTP/1.1\r\nHo")
	if d, _ := openTime(t, slow); d > time.Second {
		t.Errorf("slow header: connection closed after %s, want at most 1 s", d)
	}
	large := dialAndSend(t, cs, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 9000)+"\r\n\r\n")
	if _, got := openTime(t, large); !strings.Contains(got, "431") {
		t.Errorf("large header: answer is %q, want status 431", got)
	}
	if _, err := fmt.Fprint(old, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Errorf("connection from before the change was closed (%v), want it open", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := errors.Join(cs.close(), cs.shutdown(ctx)); err != nil {
		t.Error(err)
	}
}

// TestManyLimits checks that each connection is served while the limits change all the time, and that only the server
// of the limits in force remains: each configuration with other limits left one behind.
func TestManyLimits(t *testing.T) {
	const changes = 500
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cs := newCallerServer(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		log.New(io.Discard, "", 0), context.Background)
	go func() { _ = cs.serve() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range changes {
			cs.setLimits(route.Limits{IdleTimeout: time.Minute, HeaderBytes: ident.Bytes(1000 + i)})
			time.Sleep(time.Millisecond)
		}
	}()
	kept := dialAndSend(t, cs, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for n := 0; ; n++ {
		select {
		case <-done:
		default:
			c := dialAndSend(t, cs, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			if _, got := openTime(t, c); !strings.Contains(got, "200 OK") {
				t.Fatalf("connection %d got %q while the limits changed, want 200 OK", n, got)
			}
			continue
		}
		break
	}
	count := func() int { return len(cs.remaining()) }
	if n := count(); n > 2 {
		t.Errorf("%d servers with one connection open from before, want at most 2", n)
	}
	_ = kept.Close()
	for end := time.Now().Add(2 * time.Second); count() > 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n, open := count(), cs.openConnections(); n != 1 || open != 0 {
		t.Errorf("%d servers and %d connections after all have ended, want 1 and 0", n, open)
	}
}

// TestRequestsCrossTheStop checks that each request that is handled gets its answer, although a planned stop closes the
// connections that wait for a request at the same instant: one that had just been read was passed on, and its
// connection was closed.
func TestRequestsCrossTheStop(t *testing.T) {
	const rounds, connections = 30, 20
	for round := range rounds {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		handled := map[string]bool{}
		var stopping atomic.Bool
		h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			handled[r.URL.Path] = true
		})
		cs := newCallerServer(listener.New(l, zerolog.Nop()), listener.CloseOnStop(stopping.Load)(h),
			log.New(io.Discard, "", 0), context.Background)
		go func() { _ = cs.serve() }()
		var kept []net.Conn
		for range connections {
			n := dialAndSend(t, cs, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
			if _, err := http.ReadResponse(bufio.NewReader(n), nil); err != nil {
				t.Fatal(err)
			}
			kept = append(kept, n)
		}
		answered := make([]bool, connections)
		var w sync.WaitGroup
		start := make(chan struct{})
		for i, n := range kept {
			w.Go(func() {
				<-start
				time.Sleep(time.Duration(i*10) * time.Microsecond)
				// A write that fails is followed by a read that does.
				_, _ = fmt.Fprintf(n, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
				p, err := http.ReadResponse(bufio.NewReader(n), nil)
				answered[i] = err == nil && p.StatusCode == http.StatusOK
				_ = n.Close()
			})
		}
		stopping.Store(true)
		close(start)
		time.Sleep(time.Duration(round) * 20 * time.Microsecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_ = cs.close()
		cs.finish(ctx)
		w.Wait()
		cancel()
		mu.Lock()
		for i, ok := range answered {
			if handled[fmt.Sprint("/", i)] != ok {
				t.Errorf("round %d: request %d handled %t, answered %t, want both or none", round, i, !ok, ok)
			}
		}
		mu.Unlock()
	}
}
