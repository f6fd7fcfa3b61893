package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/rule"
)

// upstream is a fake target that writes raw bytes as its responses.
type upstream struct {
	net.Listener
	runs atomic.Int32
	// opened counts the accepted connections.
	opened atomic.Int32
}

// responder responds to one request; the connection is closed when it returns false.
type responder func(c net.Conn, r *http.Request) bool

func listen(t *testing.T, s responder) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.opened.Add(1)
			go u.serve(c, s)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, s responder) {
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.runs.Add(1)
		if !s(c, r) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
	}
}

func (u *upstream) exchanger(c clock.Clock) *Exchanger {
	return New(pool.New(ident.Address(u.Addr().String()), 10, time.Minute, pool.DialTCP, c), c, true)
}

func newCall(idempotent bool) *call.Call {
	return &call.Call{
		ID: "id", Attempt: 1, Idempotent: idempotent, Method: http.MethodGet, Path: "/offers", Host: "book",
		Header: http.Header{}, Deadline: clock.New().Now().Add(400 * time.Millisecond),
	}
}

func noReason() outcome.Reason { return "" }

// respondRaw returns a responder that writes the format, into which it inserts the exchange id.
func respondRaw(format string, keep bool) responder {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, format, r.Header.Get(call.HeaderExchangeID))
		return keep
	}
}

const okWithExchangeID = "HTTP/1.1 200 OK\r\n" + call.HeaderExchangeID + ": %s\r\n"

// retryCase is one case of the retry rules, run through the exchange: the behaviour of an upstream, the outcome and the
// number of runs for an idempotent request and for one that isn't, and whether the connection is kept.
type retryCase struct {
	name                 string
	responder            responder
	idempotentOutcome    outcome.Outcome
	nonIdempotentOutcome outcome.Outcome
	// idempotentRuns and nonIdempotentRuns are how often the upstream received the request until the rules ended the
	// retries.
	idempotentRuns, nonIdempotentRuns int32
	kept                              bool
}

var retryCases = []retryCase{
	{"complete response", respondRaw(okWithExchangeID+"Content-Length: 2\r\n\r\nok", true),
		outcome.Done, outcome.Done, 1, 1, true},
	{"chunked response", respondRaw(okWithExchangeID+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true),
		outcome.Done, outcome.Done, 1, 1, true},
	{"informational responses first",
		respondRaw("HTTP/1.1 103 Early Hints\r\n\r\n"+okWithExchangeID+"Content-Length: 0\r\n\r\n", true),
		outcome.Done, outcome.Done, 1, 1, true},
	{"no content", respondRaw("HTTP/1.1 204 No Content\r\n"+call.HeaderExchangeID+": %s\r\n\r\n", true),
		outcome.Done, outcome.Done, 1, 1, true},
	{"not modified",
		respondRaw("HTTP/1.1 304 Not Modified\r\n"+call.HeaderExchangeID+": %s\r\nContent-Length: 9\r\n\r\n", true),
		outcome.Done, outcome.Done, 1, 1, true},
	{"refused as not run", respondRaw("HTTP/1.1 503 Busy\r\n"+call.HeaderExchangeID+": %s\r\n"+call.HeaderOutcome+
		": not-run\r\nContent-Length: 0\r\n\r\n", true), outcome.NotRun, outcome.NotRun, 2, 2, true},
	{"reset after write", func(net.Conn, *http.Request) bool { return false },
		outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"timeout", func(net.Conn, *http.Request) bool { return true }, outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"truncated body", respondRaw(okWithExchangeID+"Content-Length: 9\r\n\r\nok", false),
		outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"truncated header", respondRaw(okWithExchangeID, false), outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"neither length nor chunks", func(c net.Conn, r *http.Request) bool {
		respondRaw(okWithExchangeID+"\r\nok", true)(c, r)
		_ = c.(*net.TCPConn).CloseWrite()
		return true
	}, outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"malformed chunk", respondRaw(okWithExchangeID+"Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n", true),
		outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"surplus bytes", respondRaw(okWithExchangeID+"Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", true),
		outcome.Done, outcome.Done, 1, 1, false},
	{"response to another exchange",
		respondRaw("HTTP/1.1 200 OK\r\n"+call.HeaderExchangeID+": other%s\r\nContent-Length: 2\r\n\r\nok", true),
		outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"no exchange id", respondRaw("HTTP/1.1 200 OK\r\nX: %s\r\nContent-Length: 2\r\n\r\nok", true),
		outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"not HTTP", respondRaw("%s\r\n\r\n", true), outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"endless header", func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := io.WriteString(c, "X: 0123456789012345678901234567890123456789\r\n"); err != nil {
				return false
			}
		}
	}, outcome.Unknown, outcome.Unknown, 2, 1, false},
	{"connection closed after response",
		respondRaw(okWithExchangeID+"Connection: close\r\nContent-Length: 2\r\n\r\nok", true),
		outcome.Done, outcome.Done, 1, 1, false},
}

// TestRetryCases sends each request again until the retry rules end it.
func TestRetryCases(t *testing.T) {
	for _, r := range retryCases {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			r.run(t, true, r.idempotentOutcome, r.idempotentRuns)
			r.run(t, false, r.nonIdempotentOutcome, r.nonIdempotentRuns)
		})
	}
}

func (r *retryCase) run(t *testing.T, idempotent bool, want outcome.Outcome, runs int32) {
	t.Helper()
	u := listen(t, r.responder)
	x := u.exchanger(clock.New())
	c := newCall(idempotent)
	var h rule.History
	var d rule.Decision
	for {
		y := x.Do(context.Background(), c, http.Header{}, noReason)
		d = h.Decide(y.Event, idempotent)
		if !d.Retry || c.Attempt == 2 {
			break
		}
		c.Attempt++
	}
	if d.Outcome != want {
		t.Errorf("idempotent %t: outcome %s, want %s", idempotent, d.Outcome, want)
	}
	if n := u.runs.Load(); n != runs {
		t.Errorf("idempotent %t: %d runs, want %d", idempotent, n, runs)
	}
	if kept := x.pool.OpenConnections() == 1; kept != r.kept {
		t.Errorf("idempotent %t: connection kept %t, want %t", idempotent, kept, r.kept)
	}
}
