package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// TestCallRoundTrip checks that a forwarded call arrives as it was sent, and that the name of a class can't make a call
// idempotent that is not.
func TestCallRoundTrip(t *testing.T) {
	now := clock.NewFake().Now().Add(time.Minute)
	for _, class := range []ident.Class{"read", "a;b", "x;idempotent", "x;1;idempotent", ""} {
		for _, idempotent := range []bool{true, false} {
			c := &call.Call{
				ID: "id", Service: "s", Class: class, Idempotent: idempotent, Weight: 3, MaxAttempts: 2,
				Objective: now.Add(200 * time.Millisecond), Header: http.Header{"X-Own": {"1"}},
			}
			r := httptest.NewRequest(http.MethodGet, "/p", nil)
			r.Header = encodeCall(c, now)
			got := decodeCall(r, nil, now)
			if got.Class != class || got.Idempotent != idempotent || got.Weight != 3 || got.Service != "s" ||
				got.MaxAttempts != 2 || got.Objective != c.Objective {
				t.Errorf("call %+v, want %+v", got, c)
			}
			if got.Header.Get("X-Own") != "1" || got.Header.Get("User-Agent") != "" || got.Header.Get(call.HeaderClass) != "" {
				t.Errorf("header %v, want the caller's own only", got.Header)
			}
		}
	}
}

// TestCredentialRoundTrip checks that the API key and the service of a forwarded call arrive, that a caller can't set
// them itself, and that a member of an older build, which doesn't know the key's header and would pass it on to a
// target, finds no service in the call and refuses it.
func TestCredentialRoundTrip(t *testing.T) {
	now := clock.NewFake().Now()
	own := http.Header{
		call.HeaderCredential: {"forged"}, call.HeaderTeamService: {"forged"}, call.HeaderService: {"forged"},
	}
	for _, key := range []string{"k", ""} {
		r := httptest.NewRequest(http.MethodGet, "/p", nil)
		r.Header = encodeCall(&call.Call{Service: "s", Credential: key, Team: "t", Header: own}, now)
		if got := r.Header.Get(call.HeaderService); (got == "") != (key != "") {
			t.Errorf("key %q: %s is %q, want it exactly without a key", key, call.HeaderService, got)
		}
		got := decodeCall(r, nil, now)
		if got.Service != "s" || got.Credential != key || got.Team != "" {
			t.Errorf("service %q, key %q, team %q; want s, %q and none", got.Service, got.Credential, got.Team, key)
		}
		for n := range own {
			if got.Header.Get(n) != "" {
				t.Errorf("header %s is left", n)
			}
		}
	}
}

// echoDispatcher answers each call with its body and remembers the call.
type echoDispatcher struct{ last *call.Call }

func (d *echoDispatcher) Dispatch(_ context.Context, c *call.Call) call.Answer {
	d.last = c
	h := http.Header{"X-Seal": {"1"}, "Connection": {"close"}}
	return call.Answer{Outcome: outcome.Done, Event: outcome.Completed{}, Status: 201, Header: h, Body: c.Body}
}

// TestForward checks that a call and its answer pass between two members unchanged, and that idle connections can be
// closed.
func TestForward(t *testing.T) {
	d := &echoDispatcher{}
	c := clock.New()
	s := httptest.NewUnstartedServer(NewMux(d, exchange.NewBodyBudget(0), c))
	var open atomic.Int64
	s.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		open.Add(map[http.ConnState]int64{http.StateNew: 1, http.StateClosed: -1}[s])
	}
	s.Start()
	defer s.Close()
	n := NewClient(exchange.NewBodyBudget(0), c)
	q := &call.Call{
		ID: "id", Service: "s", Class: "r", Method: "PUT", Path: "/a%2Fb/%C3%BC?x=1&y=%20", Host: "h.example",
		Header: http.Header{"X-Own": {"1", "2"}}, Body: []byte(strings.Repeat("b", 100_000)), Attempt: 2,
		Deadline: c.Now().Add(5 * time.Second),
	}
	began := c.Now()
	a := n.Forward(context.Background(), ident.Address(s.Listener.Addr().String()), q)
	if a.Outcome != outcome.Done || a.Status != 201 || string(a.Body) != string(q.Body) || a.Header.Get("X-Seal") != "1" ||
		a.Header.Get("Content-Type") != "" {
		t.Errorf("answer %s, status %d, header %v, %d bytes, want it unchanged", a.Outcome, a.Status, a.Header, len(a.Body))
	}
	l := d.last
	// The header holds the time left, so that the deadline grows by the time on the way.
	onTheWay := l.Deadline.Sub(q.Deadline)
	if l.Method != q.Method || l.Path != q.Path || l.Host != q.Host || len(l.Header["X-Own"]) != 2 ||
		len(l.Header["User-Agent"]) > 0 || l.ID != q.ID || onTheWay > c.Now().Sub(began) {
		t.Errorf("call %s %s to %s, id %s, header %v, deadline later by %s, want it unchanged", l.Method, l.Path, l.Host,
			l.ID, l.Header, onTheWay)
	}
	if open.Load() != 1 {
		t.Errorf("%d connections open, want 1", open.Load())
	}
	n.CloseIdle()
	for range 200 {
		if open.Load() == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d connections open after CloseIdle, want none", open.Load())
}

// TestForwardTooLarge checks that a body above the limit is rejected. A member that handled the part that it has read
// would send a target a request that the caller never made.
func TestForwardTooLarge(t *testing.T) {
	d := &echoDispatcher{}
	c := clock.New()
	s := httptest.NewServer(NewMux(d, exchange.NewBodyBudget(0), c))
	defer s.Close()
	n := NewClient(exchange.NewBodyBudget(0), c)
	q := &call.Call{
		ID: "id", Service: "s", Class: "r", Method: "PUT", Path: "/", Host: "h", Header: http.Header{},
		Body: make([]byte, call.MaxBody+1), Attempt: 2, Deadline: c.Now().Add(5 * time.Second),
	}
	a := n.Forward(context.Background(), ident.Address(s.Listener.Addr().String()), q)
	if a.Outcome != outcome.NotRun || a.Status != http.StatusRequestEntityTooLarge || d.last != nil {
		t.Errorf("answer %s, status %d, dispatched: %t, want not-run, 413 and not dispatched", a.Outcome, a.Status,
			d.last != nil)
	}
}

// TestForwardLarge checks that a body and its answer above 4 MiB pass between two members that have room for them, and
// that a member without room refuses as one that another may replace: callers got 413 for bodies that the configuration
// allows, and 502 for the answers of targets.
func TestForwardLarge(t *testing.T) {
	for _, r := range []struct {
		name   string
		budget ident.Bytes
		status int
	}{
		{"room for both", 64 << 20, 201},
		{"no room", 6 << 20, http.StatusServiceUnavailable},
	} {
		t.Run(r.name, func(t *testing.T) {
			c := clock.New()
			s := httptest.NewServer(NewMux(&echoDispatcher{}, exchange.NewBodyBudget(r.budget), c))
			defer s.Close()
			n := NewClient(exchange.NewBodyBudget(64<<20), c)
			q := &call.Call{
				ID: "id", Service: "s", Class: "r", Method: "PUT", Path: "/", Host: "h", Header: http.Header{},
				Body: make([]byte, 2*call.MaxBody+1), Attempt: 2, Deadline: c.Now().Add(5 * time.Second),
			}
			a := n.Forward(context.Background(), ident.Address(s.Listener.Addr().String()), q)
			if a.Status != r.status || r.status == 201 && len(a.Body) != len(q.Body) {
				t.Errorf("answer %s with status %d and %d bytes, want %d and the whole body", a.Outcome, a.Status, len(a.Body),
					r.status)
			}
			if r.status != 201 && (a.Outcome != outcome.NotRun || a.Reason != outcome.Unreachable) {
				t.Errorf("answer %s for the reason %s, want not-run and unreachable", a.Outcome, a.Reason)
			}
		})
	}
}
