package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/access"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/candidate"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

var headers = &exchange.Headers{
	RequestID: "X-Request", TimeRemaining: "X-Left", ExpectedIncarnation: "X-Expect", NotRun: "X-Not-Run", Load: "X-Load",
	Incarnation: "X-Incarnation", WarmupLeft: "X-Warmup", Limit: "X-Limit",
}

// noDetours is the way through other VMs of a VM that is alone and never partitioned.
type noDetours struct{}

func (noDetours) Partitioned(ident.Service) bool { return false }

func (noDetours) Pick(ident.Service, []ident.VM) (roster.Member, bool) { return roster.Member{}, false }

func (noDetours) Forward(context.Context, *roster.Member, *call.Call) call.Answer {
	return call.NotRun(outcome.Unreachable)
}

// behaviour is how a target handles a request.
type behaviour string

const (
	succeeds behaviour = "succeeds"
	fails    behaviour = "fails"
	sheds    behaviour = "sheds"
	// pauses refuses the request and asks for a pause of a minute.
	pauses behaviour = "pauses"
	// disconnects runs the request and closes the connection without a response.
	disconnects behaviour = "disconnects"
	// losesResponse runs the request and never responds. Its load report shows no running requests.
	losesResponse behaviour = "losesResponse"
	// ran503, ran429 and ran408 run the request and respond with that status, without saying that it did not run.
	ran503 behaviour = "503 Oh"
	ran429 behaviour = "429 Oh"
	ran408 behaviour = "408 Oh"
	// slow responds successfully, but takes much longer than estimated.
	slow behaviour = "slow"
)

// slowDelay is the latency of a slow target. It exceeds the time after which the watchdog would cancel the attempt.
const slowDelay = minWatchdogDelay + probeTimeout + responseGrace + 100*time.Millisecond

// stubTargets implements all targets of one service. The behaviours of the script apply to requests in the order in
// which they arrive, regardless of the target.
type stubTargets struct {
	mu     sync.Mutex
	script []behaviour
	runs   int
	sends  int
	// dropProbes makes targets close the connections of probes after the first request has arrived.
	dropProbes bool
	// limit is the limit that all responses name; empty if they name none.
	limit string
}

// setLimit makes all responses name a limit; an empty value ends that.
func (f *stubTargets) setLimit(perSecond string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = perSecond
}

// limitField returns the header field that names the limit, if any.
func (f *stubTargets) limitField() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limit == "" {
		return ""
	}
	return "X-Limit: " + f.limit + "\r\n"
}

// nextBehaviour counts a request and returns how to handle it: by the script, and successfully after its end.
func (f *stubTargets) nextBehaviour() behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends++
	b := succeeds
	if len(f.script) > 0 {
		b, f.script = f.script[0], f.script[1:]
	}
	if b != sheds && b != pauses {
		f.runs++
	}
	return b
}

// counts returns how many requests were sent to targets and how many ran.
func (f *stubTargets) counts() (sends, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sends, f.runs
}

// dropsProbe reports whether to drop a probe that arrives now.
func (f *stubTargets) dropsProbe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropProbes && f.sends > 0
}

func (f *stubTargets) serve(l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		go f.serveConn(n)
	}
}

func (f *stubTargets) serveConn(n net.Conn) {
	defer func() { _ = n.Close() }()
	b := bufio.NewReader(n)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request")
		if id == "" && f.dropsProbe() {
			return
		}
		if id == "" {
			_, _ = n.Write([]byte("HTTP/1.1 200 OK\r\n" + f.limitField() + "X-Load: 0,0,2,100\r\nContent-Length: 0\r\n\r\n"))
			continue
		}
		switch b := f.nextBehaviour(); b {
		case slow:
			time.Sleep(slowDelay)
			fallthrough
		case succeeds:
			_, _ = n.Write([]byte("HTTP/1.1 200 OK\r\n" + f.limitField() + "X-Request: " + id +
				"\r\nContent-Length: 2\r\n\r\nok"))
		case fails:
			_, _ = n.Write([]byte("HTTP/1.1 500 Oh\r\nX-Request: " + id + "\r\nContent-Length: 2\r\n\r\nno"))
		case ran503, ran429, ran408:
			_, _ = n.Write([]byte("HTTP/1.1 " + string(b) + "\r\nX-Request: " + id +
				"\r\nX-Seal: 1\r\nRetry-After: 0\r\nContent-Length: 2\r\n\r\nno"))
		case sheds:
			_, _ = n.Write([]byte("HTTP/1.1 503 Full\r\nX-Request: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		case pauses:
			_, _ = n.Write([]byte("HTTP/1.1 503 Full\r\nX-Request: " + id + "\r\nX-Not-Run: 1\r\nRetry-After: 60\r\n" +
				"Content-Length: 0\r\n\r\n"))
		case disconnects:
			return
		case losesResponse:
		}
	}
}

// newRelay returns a relay to three targets of one service, as many as a request may have attempts, with its catalog
// and a function that releases its resources.
func newRelay(t interface{ Fatal(...any) }, f *stubTargets, slack float64) (*Relay, *catalog.Catalog, func()) {
	c := clock.New()
	g := catalog.New(c, zerolog.Nop())
	var records []catalog.Record
	var listeners []net.Listener
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		go f.serve(l)
		records = append(records, catalog.Record{Name: id, Revision: 1, Entry: catalog.Registration{Target: roster.Target{
			ID: ident.Target(id), Service: "book", Address: ident.Address(l.Addr().String()), DataCentre: "a", Slots: 2,
		}}})
	}
	g.Replace(catalog.Targets, records, catalog.Position{Revision: 1})
	set := upstream.NewSet(c, zerolog.Nop(), headers, exchange.NewBodyBudget(0), pool.DialTCP, partition.New())
	h := candidate.New(g, set, "vm", "a", noWarmupLimit{}, oneVM{}, candidate.Home("a"), 60, c, zerolog.Nop())
	const window = 10 * time.Second
	past := clock.NewFake()
	b := retry.NewSlidingWindow(past, 0, func() float64 { return slack }, window)
	// The process has run for a window already, so that it may use the slack.
	past.Advance(window)
	gate := access.NewGate(access.Policy{}, c.Now, c)
	return New(g, h, noDetours{}, nil, b, quarantine.New(c, 3), gate, c, zerolog.Nop()), g, func() {
		for _, l := range listeners {
			_ = l.Close()
		}
		for _, u := range set.All() {
			u.Close()
		}
	}
}

// oneVM is a fleet of one VM.
type oneVM struct{}

func (oneVM) Members() int { return 1 }

func (oneVM) LimitGap(_ ident.Target, r ident.Rate) time.Duration {
	return time.Duration(float64(time.Second) / float64(r))
}

// noWarmupLimit allows every request to a cold target.
type noWarmupLimit struct{}

func (noWarmupLimit) Take(*roster.Target, *route.Service) bool { return true }

// table returns a routing table with a single route, and that route.
func table(idempotent bool, attempts int) (*route.Table, *route.Route) {
	n, err := route.New(3, route.Limits{}, []route.Service{{Name: "book", HealthPath: "/health"}}, []route.Route{{
		Name: "r", Host: "h", Prefix: "/", Idempotent: idempotent, MaxAttempts: attempts, Timeout: 900 * time.Millisecond,
		Services: []route.WeightedService{{Service: "book", Weight: 1}},
	}})
	if err != nil {
		panic(err)
	}
	o, _ := n.Find("h", "/x")
	return n, o
}

var callCount atomic.Int64

func newCall() *call.Call {
	return &call.Call{
		ID: ident.Request("r-" + time.Duration(callCount.Add(1)).String()), Method: "GET", Path: "/x", Host: "h",
		Header: http.Header{},
	}
}

// TestRelay checks the response and the number of attempts for each sequence of target behaviours that matters.
func TestRelay(t *testing.T) {
	rows := []struct {
		name       string
		idempotent bool
		attempts   int
		slack      float64
		script     []behaviour
		status     int
		outcome    outcome.Outcome
		sends      int
	}{
		{"succeeds", false, 2, 5, nil, 200, outcome.Done, 1},
		{"refused, then succeeds", false, 2, 5, []behaviour{sheds}, 200, outcome.Done, 2},
		{"refused on all attempts", false, 2, 5, []behaviour{sheds, sheds, sheds}, 503, outcome.NotRun, 2},
		{"refused, no retry allowed", false, 2, 0, []behaviour{sheds}, 503, outcome.NotRun, 1},
		{"disconnected, not idempotent", false, 3, 5, []behaviour{disconnects}, 502, outcome.Unknown, 1},
		{"disconnected, idempotent", true, 2, 5, []behaviour{disconnects}, 200, outcome.Done, 2},
		{"disconnected, then refused", true, 2, 5, []behaviour{disconnects, sheds}, 502, outcome.Unknown, 2},
		{"refused, then disconnected, not idempotent", false, 3, 5, []behaviour{sheds, disconnects}, 502, outcome.Unknown, 2},
		{"failed, not idempotent", false, 2, 5, []behaviour{fails}, 500, outcome.Done, 1},
		{"failed, then succeeds", true, 2, 5, []behaviour{fails}, 200, outcome.Done, 2},
		{"failed twice", true, 2, 5, []behaviour{fails, fails}, 500, outcome.Done, 2},
		{"failed, then refused", true, 2, 5, []behaviour{fails, sheds}, 500, outcome.Done, 2},
		{"failed, no retry allowed", true, 2, 0, []behaviour{fails}, 500, outcome.Done, 1},
		{"response lost, idempotent", true, 2, 5, []behaviour{losesResponse}, 200, outcome.Done, 2},
		{"response lost, not idempotent", false, 2, 5, []behaviour{losesResponse}, 504, outcome.Unknown, 1},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			f := &stubTargets{script: r.script}
			y, _, end := newRelay(t, f, r.slack)
			defer end()
			n, o := table(r.idempotent, r.attempts)
			a := y.Do(context.Background(), n, o, newCall())
			sends, _ := f.counts()
			if a.Status != r.status || a.Outcome != r.outcome || sends != r.sends {
				t.Errorf("status %d, %s after %d sends, want %d, %s, %d", a.Status, a.Outcome, sends, r.status, r.outcome, r.sends)
			}
			if (a.RetryAfter > 0) != (a.Status == 503 || a.Status == 502 || a.Status == 504) {
				t.Errorf("status %d with retry delay %s, want a delay for 502, 503 and 504 only", a.Status, a.RetryAfter)
			}
		})
	}
}

// TestRunAnsweredAsRefused guards against a request that must not run twice and was answered as not run, because the
// target gave the answer to its run a status that promises that.
func TestRunAnsweredAsRefused(t *testing.T) {
	for b, own := range map[behaviour]int{ran503: 503, ran429: 429, ran408: 408} {
		for _, idempotent := range []bool{false, true} {
			f := &stubTargets{script: []behaviour{b}}
			y, _, end := newRelay(t, f, 5)
			n, o := table(idempotent, 1)
			a := y.Do(context.Background(), n, o, newCall())
			end()
			want, seal, result := 502, "", outcome.Unknown
			if idempotent {
				want, seal, result = own, "1", outcome.Done
			}
			if a.Status != want || a.Header.Get("X-Seal") != seal || a.Outcome != result || (len(a.Body) > 0) != idempotent {
				t.Errorf("idempotent %t, target's status %d: status %d, header %v, body %q, %s; want %d, seal %q, %s", idempotent,
					own, a.Status, a.Header, a.Body, a.Outcome, want, seal, result)
			}
		}
	}
}

// TestRelayRandomBehaviours checks, for random behaviours of targets, what callers rely on: a non-idempotent request
// runs at most once, a refused request has not run, and a request is not sent more often than its route allows.
func TestRelayRandomBehaviours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []behaviour{succeeds, fails, sheds, disconnects}
		idempotent := rapid.Bool().Draw(t, "idempotent")
		if !idempotent {
			all = append(all, ran503, ran429, ran408)
		}
		f := &stubTargets{script: rapid.SliceOfN(rapid.SampledFrom(all), 0, 4).Draw(t, "script")}
		y, _, end := newRelay(t, f, 5)
		defer end()
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
		n, o := table(idempotent, attempts)
		a := y.Do(context.Background(), n, o, newCall())
		sends, runs := f.counts()
		if !idempotent && runs > 1 {
			t.Fatalf("non-idempotent request ran %d times, want at most once", runs)
		}
		promised := a.Status == 503 || a.Status == 429 || a.Status == 408
		if (a.Outcome == outcome.NotRun || promised) && runs > 0 {
			t.Fatalf("outcome %s with status %d after %d runs, want no run", a.Outcome, a.Status, runs)
		}
		if sends > attempts {
			t.Fatalf("sent %d times, want at most %d", sends, attempts)
		}
		if a.Status == 200 && string(a.Body) != "ok" {
			t.Fatalf("status 200 with body %q, want %q", a.Body, "ok")
		}
	})
}

// TestRelayProbeFailsWhileRunning checks that an attempt is not cancelled because its target fails to respond to a
// probe. The target may be running the request and have no connection to spare.
func TestRelayProbeFailsWhileRunning(t *testing.T) {
	f := &stubTargets{script: []behaviour{slow}, dropProbes: true}
	y, _, end := newRelay(t, f, 5)
	defer end()
	n, o := table(true, 2)
	a := y.Do(context.Background(), n, o, newCall())
	if sends, _ := f.counts(); a.Status != 200 || sends != 1 {
		t.Errorf("status %d after %d sends, want 200 after 1", a.Status, sends)
	}
}

// TestRelayDraining checks that no request is sent to a target that has begun to drain, even if it was chosen before
// that.
func TestRelayDraining(t *testing.T) {
	f := &stubTargets{}
	y, g, end := newRelay(t, f, 5)
	defer end()
	n, o := table(true, 2)
	e := catalog.Record{Name: "a", Revision: 2, Entry: catalog.Evacuation{DataCentre: "a"}}
	g.Replace(catalog.Evacuations, []catalog.Record{e}, catalog.Position{Revision: 2})
	a := y.Do(context.Background(), n, o, newCall())
	if sends, _ := f.counts(); a.Status != 503 || a.Reason != outcome.NoTarget || sends != 0 {
		t.Errorf("status %d, reason %s, %d sends, want 503, no-target, 0", a.Status, a.Reason, sends)
	}
	set := upstream.NewSet(y.clock, zerolog.Nop(), headers, exchange.NewBodyBudget(0), pool.DialTCP, partition.New())
	u := set.Get(roster.Target{ID: "i-1", Service: "book"}, 0)
	s := &requestState{call: &call.Call{Service: "book", Deadline: 1 << 62}}
	if r := y.checkBeforeWrite(&candidate.Choice{Upstream: u}, s); r != outcome.NoTarget {
		t.Errorf("check before write returned %q, want no-target", r)
	}
}

// TestRelayCountsSentRetries checks that each retry that is sent counts towards the limit of the service, and that one
// which finds no target does not.
func TestRelayCountsSentRetries(t *testing.T) {
	steps := []struct {
		name     string
		attempts int
		script   []behaviour
		status   int
		sends    int
	}{
		// Three targets refuse the request: two retries are sent, and the third finds no target.
		{"two retries sent, one without a target", 4, []behaviour{sheds, sheds, sheds}, 503, 3},
		{"third retry", 2, []behaviour{sheds}, 200, 2},
		{"no retry left", 2, []behaviour{sheds}, 503, 1},
	}
	f := &stubTargets{}
	y, _, end := newRelay(t, f, 3)
	defer end()
	sent := 0
	for _, s := range steps {
		f.mu.Lock()
		f.script = s.script
		f.mu.Unlock()
		n, o := table(false, s.attempts)
		a := y.Do(context.Background(), n, o, newCall())
		sends, _ := f.counts()
		if a.Status != s.status || sends-sent != s.sends {
			t.Errorf("%s: status %d after %d sends, want %d after %d", s.name, a.Status, sends-sent, s.status, s.sends)
		}
		sent = sends
	}
}

// TestRelayQuarantine checks that a request whose attempts have broken at three targets is final, also for the caller
// that sends it again, and that both are told how long the quarantine lasts.
func TestRelayQuarantine(t *testing.T) {
	f := &stubTargets{script: []behaviour{disconnects, disconnects, disconnects}}
	y, g, end := newRelay(t, f, 5)
	defer end()
	n, o := table(true, 4)
	for i, want := range []struct {
		status  int
		outcome outcome.Outcome
	}{{502, outcome.Unknown}, {503, outcome.NotRun}} {
		c := newCall()
		a := y.Do(context.Background(), n, o, c)
		sends, _ := f.counts()
		if a.Status != want.status || a.Outcome != want.outcome || sends != 3 {
			t.Errorf("answer %d: status %d, %s after %d sends, want %d, %s after 3", i, a.Status, a.Outcome, sends, want.status,
				want.outcome)
		}
		if a.RetryAfter < 30*time.Second {
			t.Errorf("answer %d: retry after %s, want the rest of the quarantine of a minute", i, a.RetryAfter)
		}
		if i == 1 && a.Reason != outcome.Quarantined {
			t.Errorf("answer %d: reason %s although the quarantine is known before a target is chosen", i, a.Reason)
		}
		e := catalog.Record{Name: "a", Revision: 2, Entry: catalog.Evacuation{DataCentre: "a"}}
		g.Replace(catalog.Evacuations, []catalog.Record{e}, catalog.Position{Revision: 2})
	}
	g.Replace(catalog.Evacuations, nil, catalog.Position{Revision: 3})
	u := upstream.NewSet(y.clock, zerolog.Nop(), headers, exchange.NewBodyBudget(0), pool.DialTCP, partition.New()).
		Get(roster.Target{ID: "i-1", Service: "book"}, 0)
	c := newCall()
	c.Service, c.Deadline = "book", 1<<62
	s := &requestState{call: c, fingerprint: quarantine.FingerprintOf(c.Host, c)}
	if r := y.checkBeforeWrite(&candidate.Choice{Upstream: u}, s); r != outcome.Quarantined {
		t.Errorf("check before write of a quarantined request returned %q, want quarantined", r)
	}
}

// TestRelayCallerCancels checks that a request ends soon after its caller has cancelled it, and is not reported as not
// run.
func TestRelayCallerCancels(t *testing.T) {
	f := &stubTargets{script: []behaviour{losesResponse}}
	y, _, end := newRelay(t, f, 5)
	defer end()
	n, o := table(false, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	a := y.Do(ctx, n, o, newCall())
	if d := time.Since(began); d > 300*time.Millisecond || a.Outcome == outcome.NotRun {
		t.Errorf("outcome %s after %s, want any but not-run within 300ms", a.Outcome, d)
	}
	if strings.Contains(string(a.Body), "ok") {
		t.Errorf("cancelled request has response body %q, want none with \"ok\"", a.Body)
	}
}

// TestRelayPauseOfOneTarget checks that a caller is not told to wait for the pause of one target while another target
// of the service accepts requests, even if this request may not be sent there again.
func TestRelayPauseOfOneTarget(t *testing.T) {
	f := &stubTargets{script: []behaviour{pauses, sheds, sheds}}
	y, _, end := newRelay(t, f, 5)
	defer end()
	n, o := table(false, 4)
	a := y.Do(context.Background(), n, o, newCall())
	if sends, _ := f.counts(); a.Status != 503 || sends != 3 || a.RetryAfter > time.Second {
		t.Errorf("status %d after %d sends, retry after %s, want 503 after 3, at most 1 s", a.Status, sends,
			a.RetryAfter)
	}
}
