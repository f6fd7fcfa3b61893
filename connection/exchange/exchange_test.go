package exchange

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

var respondComplete = respondRaw(okWithExchangeID+"Content-Length: 2\r\n\r\nok", true)

// TestNeverWritten checks the reason in each case in which a request ends before its first byte is written.
func TestNeverWritten(t *testing.T) {
	gone := listen(t, respondComplete)
	_ = gone.Close()
	rows := []struct {
		name   string
		change func(c *call.Call, cancel func())
		check  func() outcome.Reason
		closed bool
		want   outcome.Reason
	}{
		{"connection refused", func(*call.Call, func()) {}, noReason, true, outcome.Unreachable},
		{"deadline over", func(c *call.Call, _ func()) { c.Deadline = 1 }, noReason, false, outcome.Expired},
		{"caller disconnected", func(_ *call.Call, f func()) { f() }, noReason, false, outcome.Cancelled},
		{"lease expired", func(*call.Call, func()) {}, func() outcome.Reason { return outcome.NoLease }, false,
			outcome.NoLease},
		{"malformed path", func(c *call.Call, _ func()) { c.Path = "a b" }, noReason, false, outcome.BadRequest},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			u := listen(t, respondComplete)
			if r.closed {
				u = gone
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c := newCall(false)
			r.change(c, cancel)
			x := u.exchanger(clock.New()).Do(ctx, c, http.Header{}, r.check)
			if x.Event != (outcome.NeverWritten{Reason: r.want}) {
				t.Errorf("event %#v, want never written: %s", x.Event, r.want)
			}
			if n := u.runs.Load(); n != 0 {
				t.Errorf("%d runs, want none", n)
			}
		})
	}
}

// TestDeadConnection checks that a connection which the upstream closed while it was idle carries no request.
func TestDeadConnection(t *testing.T) {
	for range 20 {
		closed := make(chan struct{})
		var first atomic.Bool
		u := listen(t, func(c net.Conn, r *http.Request) bool {
			respondComplete(c, r)
			if !first.CompareAndSwap(false, true) {
				return true
			}
			go func() { _ = c.Close(); close(closed) }()
			return true
		})
		x := u.exchanger(clock.New())
		x.Do(context.Background(), newCall(false), http.Header{}, noReason)
		<-closed
		r := x.Do(context.Background(), newCall(false), http.Header{}, noReason)
		if r.Event != (outcome.Completed{}) {
			t.Fatalf("event %#v, want completed", r.Event)
		}
	}
}

// TestIdleConnectionReuse checks that only an idempotent request uses a connection that was idle for long.
func TestIdleConnectionReuse(t *testing.T) {
	for idempotent, opened := range map[bool]int32{true: 1, false: 2} {
		f := clock.NewFake()
		u := listen(t, respondComplete)
		x := u.exchanger(f)
		for range 2 {
			c := newCall(idempotent)
			c.Deadline = f.Now().Add(time.Minute)
			if r := x.Do(context.Background(), c, http.Header{}, noReason); r.Event != (outcome.Completed{}) {
				t.Fatalf("event %#v, want completed", r.Event)
			}
			f.Advance(2 * maxIdleNonIdempotent)
		}
		if n := u.opened.Load(); n != opened {
			t.Errorf("idempotent %t: %d connections, want %d", idempotent, n, opened)
		}
	}
}

// stalledExchanger returns an exchanger with four idle connections, opened together, on which requests will get no
// response. Connections opened later work.
func stalledExchanger(t *testing.T) *Exchanger {
	t.Helper()
	const first = 4
	var stalled atomic.Bool
	var firstConns sync.Map
	var n atomic.Int32
	allArrived := make(chan struct{})
	u := listen(t, func(c net.Conn, r *http.Request) bool {
		if _, ok := firstConns.Load(c); ok {
			return stalled.Load() || respondComplete(c, r)
		}
		switch i := n.Add(1); {
		case i == first:
			close(allArrived)
			fallthrough
		case i < first:
			firstConns.Store(c, true)
			<-allArrived
		}
		return respondComplete(c, r)
	})
	x := u.exchanger(clock.New())
	var g sync.WaitGroup
	for range first {
		g.Go(func() { x.Do(context.Background(), longCall(), http.Header{}, noReason) })
	}
	g.Wait()
	if n := x.pool.OpenConnections(); n != first {
		t.Fatalf("%d connections, want %d", n, first)
	}
	stalled.Store(true)
	return x
}

// TestStalledConnections checks that a request on a stalled connection is aborted well before its deadline once later
// requests are answered, and that those are not sent on the idle connections opened together with the stalled one.
func TestStalledConnections(t *testing.T) {
	x := stalledExchanger(t)
	c := longCall()
	var g sync.WaitGroup
	done := make(chan struct{})
	g.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				k := longCall()
				k.Attempt = 2
				k.Deadline = clock.New().Now().Add(100 * time.Millisecond)
				x.Do(context.Background(), k, http.Header{}, noReason)
			}
		}
	})
	r := x.Do(context.Background(), c, http.Header{}, noReason)
	close(done)
	g.Wait()
	if r.Event != (outcome.Broken{Reason: outcome.Silent}) {
		t.Errorf("event %#v, want broken: silent", r.Event)
	}
	if left := c.Deadline.Sub(clock.New().Now()); left < time.Minute/2 {
		t.Errorf("%s left until the deadline, want at least half of the minute", left)
	}
}

// TestStalledConnectionAlone checks that a request on a stalled connection is aborted while there is still time to send
// it elsewhere, also when no other request is in flight, and that the idle connections opened together with the stalled
// one are closed, since whatever stalled one may have stalled them all.
func TestStalledConnectionAlone(t *testing.T) {
	x := stalledExchanger(t)
	c := longCall()
	c.Deadline = clock.New().Now().Add(3 * time.Second)
	r := x.Do(context.Background(), c, http.Header{}, noReason)
	if r.Event != (outcome.Broken{Reason: outcome.Silent}) {
		t.Errorf("event %#v, want broken: silent", r.Event)
	}
	if c.Deadline <= clock.New().Now() {
		t.Error("exchange ended after its deadline, want time left to send the request elsewhere")
	}
	if n := x.pool.OpenConnections(); n != 0 {
		t.Errorf("%d connections open, want none: those opened with the stalled one must be closed", n)
	}
}

// TestSlowTarget checks that the exchange waits for a target that is slow on all connections.
func TestSlowTarget(t *testing.T) {
	u := listen(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(3 * minResponseTimeout)
		return respondComplete(c, r)
	})
	x := u.exchanger(clock.New())
	if r := x.Do(context.Background(), longCall(), http.Header{}, noReason); r.Event != (outcome.Completed{}) {
		t.Errorf("event %#v, want completed", r.Event)
	}
}

func longCall() *call.Call {
	c := newCall(true)
	c.Deadline = clock.New().Now().Add(time.Minute)
	return c
}

// TestHeadContentLength checks that the Content-Length of a response to HEAD is not taken for the length of a body.
func TestHeadContentLength(t *testing.T) {
	u := listen(t, respondRaw(okWithExchangeID+"Content-Length: 7\r\n\r\n", true))
	x := u.exchanger(clock.New())
	c := newCall(true)
	c.Method = http.MethodHead
	r := x.Do(context.Background(), c, http.Header{}, noReason)
	if r.Event != (outcome.Completed{}) || r.Header.Get("Content-Length") != "7" || x.pool.OpenConnections() != 1 {
		t.Errorf("result %#v, %d connections open, want completed, Content-Length 7 and 1 open", r, x.pool.OpenConnections())
	}
}

// TestCancel checks that a caller that disconnects frees the connection at once.
func TestCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	u := listen(t, func(net.Conn, *http.Request) bool { cancel(); return true })
	x := u.exchanger(clock.New())
	c := longCall()
	c.Attempt = 2
	r := x.Do(ctx, c, http.Header{}, noReason)
	if r.Event != (outcome.Broken{Reason: outcome.Cancelled}) || x.pool.OpenConnections() != 0 {
		t.Errorf("event %#v, %d connections open, want broken: cancelled, and none open", r.Event, x.pool.OpenConnections())
	}
}

// TestPartlyWritten checks that a request of which some bytes were written counts as one that may have run.
func TestPartlyWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 10))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	u := &upstream{Listener: l}
	c := longCall()
	c.Idempotent = false
	c.Body = make([]byte, call.MaxBody)
	r := u.exchanger(clock.New()).Do(context.Background(), c, http.Header{}, noReason)
	if r.Event != (outcome.Broken{Reason: outcome.Reset}) {
		t.Errorf("event %#v, want broken: reset", r.Event)
	}
}

// TestUnresponsiveAddress checks that an address that accepts connections and never responds, as a paused process does,
// delays only one request, and is used again once it responds.
func TestUnresponsiveAddress(t *testing.T) {
	var unresponsive atomic.Bool
	unresponsive.Store(true)
	u := listen(t, func(c net.Conn, r *http.Request) bool { return unresponsive.Load() || respondComplete(c, r) })
	x := u.exchanger(clock.New())
	do := func(idempotent bool) outcome.Event {
		return x.Do(context.Background(), newCall(idempotent), http.Header{}, noReason).Event
	}
	if e := do(true); e != (outcome.Broken{Reason: outcome.Silent}) {
		t.Errorf("first request: event %#v, want broken: silent", e)
	}
	refused := outcome.NeverWritten{Reason: outcome.Unreachable}
	if e := do(false); e != refused {
		t.Errorf("request that must not run twice: event %#v, want %#v", e, refused)
	}
	trial := make(chan outcome.Event)
	before := u.runs.Load()
	go func() { trial <- do(true) }()
	for u.runs.Load() == before {
		time.Sleep(time.Millisecond)
	}
	if e := do(true); e != refused {
		t.Errorf("request during the trial: event %#v, want %#v", e, refused)
	}
	<-trial
	unresponsive.Store(false)
	for _, idempotent := range []bool{true, false} {
		if e := do(idempotent); e != (outcome.Completed{}) {
			t.Errorf("after the address responds, idempotent %t: event %#v, want completed", idempotent, e)
		}
	}
}

// TestPathIsWrittenUnchanged guards against a request that a member or an upstream gets with another path: one with a
// character that should be escaped was written with other escapes, or with a slash in place of an escaped one.
func TestPathIsWrittenUnchanged(t *testing.T) {
	for _, path := range []string{"/a%2Fb|c?d|=%2F", "/nõ/%7c", "//a/b%2F|", "/"} {
		var got string
		u := listen(t, func(c net.Conn, r *http.Request) bool {
			got = call.PathOf(r)
			return respondComplete(c, r)
		})
		k := newCall(true)
		k.Path, k.Host = path, "h.example"
		if r := u.exchanger(clock.New()).Do(context.Background(), k, http.Header{}, noReason); r.Event !=
			(outcome.Completed{}) || got != path {
			t.Errorf("path %q arrived as %q, event %#v", path, got, r.Event)
		}
	}
}
