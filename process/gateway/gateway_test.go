package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/gateway"
	"github.com/amaranthramp/amaranthramp/standin/objects"
	"github.com/amaranthramp/amaranthramp/standin/target"
)

// testGateway is a gateway on loopback with its store and the targets of one service.
type testGateway struct {
	store    *objects.Store
	runLog   *target.RunLog
	targets  []*target.Target
	settings *gateway.Settings
	// rollout and grace are set before the start for a deployment with roll-outs.
	rollout gateway.RolloutBound
	grace   time.Duration
	// link is the way of this VM to the targets.
	link *targetLink
	// adjust, unless nil, changes the settings before the start, and log is the log of the gateway.
	adjust func(*gateway.Settings)
	log    zerolog.Logger
	// front, unless nil, stands between the gateways and the store.
	front func(http.Handler) http.Handler
	stop  context.CancelFunc
	done  chan error
}

const configuration = `{"version":%d,"services":[{"name":"book","health-path":"/health","max-conns":50}],
"limits":{"max-body-bytes":1000},"hosts":[{"host":"h.example","paths":[
{"name":"read","path-prefix":"/read/","kind":"safe","timeout-ms":2000,"aim-ms":500,"service":"book","max-attempts":2},
{"name":"claim","path-prefix":"/claim/","kind":"unsafe","timeout-ms":2000,"aim-ms":500,"service":"book",
"max-attempts":2}]}]}`

const (
	// firstPort is below the range of ephemeral ports, so that no outgoing connection takes one of the tests' ports.
	firstPort = 20000
	// testNetworks is how many processes of these tests may run at the same time.
	testNetworks = 250
)

// addressesUsed counts the addresses of all tests, so that no two are the same: a port that the kernel chooses is free
// again once its listener is closed, and may be chosen again for the next address of the same gateway.
var addressesUsed atomic.Int32

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) ident.Address {
	t.Helper()
	for range 100 {
		a := fmt.Sprintf("127.42.%d.1:%d", 1+os.Getpid()%testNetworks, firstPort+addressesUsed.Add(1))
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return ident.Address(a)
		}
	}
	t.Fatal("no free address")
	return ""
}

func newTestGateway(t *testing.T, targets int, work time.Duration) *testGateway {
	t.Helper()
	b := &testGateway{log: zerolog.Nop(), store: objects.New()}
	b.store.Put("config", "main", fmt.Sprintf(configuration, 1))
	return b.startWithTargets(t, targets, work)
}

// startWithTargets starts the gateway with a number of targets; store and log must be set.
func (b *testGateway) startWithTargets(t *testing.T, targets int, work time.Duration) *testGateway {
	t.Helper()
	b.runLog, b.done = target.NewRunLog(), make(chan error, 1)
	if b.grace == 0 {
		b.grace = 3 * time.Second
	}
	var store http.Handler = b.store
	if b.front != nil {
		store = b.front(store)
	}
	h := httptest.NewServer(store)
	t.Cleanup(h.Close)
	for i := range targets {
		g, err := target.Start(fmt.Sprintf("i-%d", i), 2, work, &platform.Headers, b.runLog)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Stop)
		b.targets = append(b.targets, g)
		b.register(t, g, false)
	}
	b.start(t, "vm-1", "a", ident.Address(strings.TrimPrefix(h.URL, "http://")))
	return b
}

// addGateway returns another gateway of the same fleet in data centre a, with the same store and targets.
func (b *testGateway) addGateway(t *testing.T, name ident.VM) *testGateway {
	t.Helper()
	return b.addGatewayIn(t, name, "a")
}

// addGatewayIn returns another gateway of the same fleet in a data centre.
func (b *testGateway) addGatewayIn(t *testing.T, name ident.VM, z ident.DataCentre) *testGateway {
	t.Helper()
	a := &testGateway{
		store: b.store, runLog: b.runLog, targets: b.targets, log: b.log, done: make(chan error, 1), rollout: b.rollout,
		grace: b.grace,
	}
	a.start(t, name, z, b.settings.StoreAddress)
	return a
}

// start starts the gateway and waits until it is ready.
func (b *testGateway) start(t *testing.T, name ident.VM, z ident.DataCentre, store ident.Address) {
	t.Helper()
	b.link = newTargetLink(t)
	b.settings = &gateway.Settings{
		Name: name, DataCentre: z, CallerAddress: freeAddress(t), ReadyAddress: freeAddress(t),
		PeerAddress: freeAddress(t), ForwardAddress: freeAddress(t), OperatorAddress: freeAddress(t),
		StoreAddress: store,
		Grace:        b.grace, Rollout: b.rollout, Retry: gateway.RetryBound{Share: 0.2, Slack: 20, Window: 10 * time.Second},
		ProbeRate: 60, Memory: 200 << 20,
	}
	if b.adjust != nil {
		b.adjust(b.settings)
	}
	c := clock.New()
	st := platform.NewStore(b.settings.StoreAddress, http.DefaultClient, c)
	g := gateway.New(b.settings, st, &platform.Headers, b.link.dial, c, b.log, func() uint64 { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	t.Cleanup(cancel)
	go func() { b.done <- g.Run(ctx) }()
	b.waitUntil(t, "ready", func() bool {
		select {
		case err := <-b.done:
			t.Fatalf("gateway %s ended before it was ready: %v", name, err)
		default:
		}
		return b.readinessStatus() == http.StatusOK
	})
}

// register writes the registration of a target to the store.
func (b *testGateway) register(t *testing.T, g *target.Target, draining bool) {
	t.Helper()
	r := g.Registration("book", "a")
	r.Draining = draining
	e, err := platform.EncodeTarget(r, 0)
	if err != nil {
		t.Fatal(err)
	}
	b.store.Put(platform.TargetKind, g.ID, e)
}

func (b *testGateway) waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: condition not met within 5 s", what)
}

// readinessStatus returns the HTTP status of the readiness endpoint, or 0 if it can't be reached.
func (b *testGateway) readinessStatus() int {
	r, err := http.Get("http://" + string(b.settings.ReadyAddress) + "/readiness")
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// send sends one request and returns the response and its body.
func (b *testGateway) send(ctx context.Context, method, path, id, body string) (*http.Response, string, error) {
	url := "http://" + string(b.settings.CallerAddress) + path
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	r.Host = "h.example"
	r.Header.Set(platform.Headers.RequestID, id)
	r.Header.Set(platform.Headers.TimeRemaining, "2000")
	return readAnswer(http.DefaultClient.Do(r))
}

// readAnswer reads the body of a response, unless there is an error instead.
func readAnswer(p *http.Response, err error) (*http.Response, string, error) {
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = p.Body.Close() }()
	a, err := io.ReadAll(p.Body)
	return p, string(a), err
}

// TestServe checks the status and body of the answer to each kind of request.
func TestServe(t *testing.T) {
	b := newTestGateway(t, 3, 5*time.Millisecond)
	rows := []struct {
		name, method, path, body string
		status                   int
		answer                   string
	}{
		{"read", "GET", "/read/1", "", 200, "read 0"},
		{"claim", "POST", "/claim/1", "four", 200, "claim 4"},
		{"no route", "GET", "/other/", "", 404, ""},
		{"body too large", "POST", "/claim/2", strings.Repeat("x", 1001), 413, ""},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			p, a, err := b.send(context.Background(), r.method, r.path, r.name, r.body)
			if err != nil || p.StatusCode != r.status || a != r.answer {
				t.Errorf("response %v, error %v, body %q, want status %d, body %q", p, err, a, r.status, r.answer)
			}
		})
	}
}

// TestMemoryLimit checks that the memory limit of the garbage collector is set from the memory of the VM. Without it, a
// reader of the store exceeded the memory of its VM while all members fetched updates from it.
func TestMemoryLimit(t *testing.T) {
	b := newTestGateway(t, 1, time.Millisecond)
	if n := debug.SetMemoryLimit(-1); n <= 0 || n > int64(b.settings.Memory)/2 {
		t.Errorf("memory limit is %d bytes, want above 0 and at most half of the VM's %d", n, b.settings.Memory)
	}
}

// TestPipelined checks that pipelined requests are answered in order.
func TestPipelined(t *testing.T) {
	b := newTestGateway(t, 3, 20*time.Millisecond)
	n, err := net.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	for i := range 4 {
		if _, err := fmt.Fprintf(n, "GET /read/%d HTTP/1.1\r\nHost: h.example\r\n%s: p%d\r\n\r\n", i,
			platform.Headers.RequestID, i); err != nil {
			t.Fatal(err)
		}
	}
	r := bufio.NewReader(n)
	for i := range 4 {
		p, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		a, err := io.ReadAll(p.Body)
		if want := fmt.Sprintf("p%d 0", i); err != nil || string(a) != want {
			t.Errorf("answer %d is %q, error %v, want %q", i, a, err, want)
		}
	}
}

// TestDraining checks that a target gets no requests 2 s after it registers as draining, and that a new configuration
// is in force within 2 s.
func TestDraining(t *testing.T) {
	b := newTestGateway(t, 2, time.Millisecond)
	g := b.targets[0]
	b.register(t, g, true)
	b.store.Put("config", "main", strings.Replace(fmt.Sprintf(configuration, 2), "/read/", "/look/", 1))
	acked := time.Now()
	for i := 0; time.Since(acked) < 3*time.Second; i++ {
		p, _, err := b.send(context.Background(), "GET", "/look/1", fmt.Sprint("d", i), "")
		if err != nil {
			t.Fatal(err)
		}
		if time.Since(acked) > 2*time.Second && p.StatusCode != http.StatusOK {
			t.Fatalf("status %d, want 200, %s after the change of the configuration", p.StatusCode, time.Since(acked))
		}
		time.Sleep(2 * time.Millisecond)
	}
	if d := b.runLog.LastRun(g.ID).Sub(acked); d > 2*time.Second {
		t.Errorf("draining target got a request %s after it registered as draining, want none after 2 s", d)
	}
}

// TestPlannedStop checks that a planned stop reports not ready at once, interrupts no request that runs at a target,
// and ends within the grace time.
func TestPlannedStop(t *testing.T) {
	b := newTestGateway(t, 4, 100*time.Millisecond)
	var w sync.WaitGroup
	stopped := make(chan struct{})
	for i := range 6 {
		w.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("s%d-%d", i, j)
				p, _, err := b.send(context.Background(), "POST", "/claim/1", id, "")
				switch {
				case err != nil && len(b.runLog.Runs(id)) > 0:
					t.Errorf("request %s ran, but its connection failed: %v, want a response", id, err)
				case err == nil && p.StatusCode == http.StatusServiceUnavailable && len(b.runLog.Runs(id)) > 0:
					t.Errorf("request %s ran, but was answered with 503, want 503 only if it did not run", id)
				case len(b.runLog.Runs(id)) > 1:
					t.Errorf("request %s ran %d times, want at most once", id, len(b.runLog.Runs(id)))
				case err != nil:
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	b.stop()
	time.Sleep(50 * time.Millisecond)
	if s := b.readinessStatus(); s == http.StatusOK {
		t.Error("ready 50 ms after the stop began, want not ready")
	}
	if err := <-b.done; err != nil {
		t.Error(err)
	}
	if d := time.Since(began); d > b.settings.Grace {
		t.Errorf("stop took %s, want at most the grace time of %s", d, b.settings.Grace)
	}
	close(stopped)
	w.Wait()
}

// TestLostAnswers checks that a claim runs at most once, and not at all if it is answered with 503, while half of the
// targets lose their answers.
func TestLostAnswers(t *testing.T) {
	b := newTestGateway(t, 4, time.Millisecond)
	for _, g := range b.targets[:2] {
		g.LoseAnswers.Store(true)
	}
	for i := range 40 {
		id := fmt.Sprint("c", i)
		p, _, err := b.send(context.Background(), "POST", "/claim/1", id, "")
		if err != nil {
			t.Fatal(err)
		}
		if n := len(b.runLog.Runs(id)); n > 1 || p.StatusCode == http.StatusServiceUnavailable && n > 0 {
			t.Errorf("claim ran %d times and was answered with %d, want at most one run, and none with 503", n, p.StatusCode)
		}
	}
}

// TestOperatorEndpoints checks that metrics and the dump are served.
func TestOperatorEndpoints(t *testing.T) {
	b := newTestGateway(t, 1, time.Millisecond)
	if _, _, err := b.send(context.Background(), "GET", "/read/1", "o", ""); err != nil {
		t.Fatal(err)
	}
	for _, r := range []struct{ path, want string }{
		{"/metrics", `amaranthramp_gateway_requests_total{outcome="done",reason="",route="read"} 1`},
		{"/metrics", `amaranthramp_gateway_store_calls_total{call="register",kind="members",result="ok"} 1`},
		{"/metrics", `amaranthramp_gateway_store_calls_total{call="list-stale",kind="targets",result="ok"} 1`},
		{"/metrics", `amaranthramp_gateway_retries_total{result="allowed",service="book"} 0`},
		{"/metrics", `amaranthramp_gateway_admission_decisions_total{decision="sent",priority="0"} 1`},
		{"/metrics", `amaranthramp_gateway_saturated{service="book"} 0`},
		{"/metrics", "amaranthramp_gateway_members 1"},
		{"/metrics", "amaranthramp_gateway_services_partitioned 0"},
		{"/metrics", `amaranthramp_gateway_detours_total{result="passed"} 0`},
		{"/metrics", "amaranthramp_gateway_reads_store 1"},
		{"/metrics", "amaranthramp_gateway_store_age_seconds 0."},
		{"/metrics", "amaranthramp_gateway_targets_ejected 0"},
		{"/dump", `"Trust":"Trusted"`},
		{"/dump", `"Saturated":false`},
	} {
		path, want := r.path, r.want
		p, err := http.Get("http://" + string(b.settings.OperatorAddress) + path)
		if err != nil {
			t.Fatal(err)
		}
		a, err := io.ReadAll(p.Body)
		_ = p.Body.Close()
		if err != nil || !strings.Contains(string(a), want) {
			t.Errorf("%s does not contain %q: error %v, got %s", path, want, err, a)
		}
	}
}

// TestTargetLeaves checks that a target gets nothing more once it has announced in a response that it leaves, although
// its registration still says that it is ready, and that a later response without the announcement changes nothing.
func TestTargetLeaves(t *testing.T) {
	b := newTestGateway(t, 2, time.Millisecond)
	g := b.targets[0]
	g.Leaving.Store(true)
	// Each request probes both targets.
	b.sendAll(t, 1)
	g.Leaving.Store(false)
	announced := time.Now()
	b.sendAll(t, 50)
	if d := b.runLog.LastRun(g.ID).Sub(announced); d > 0 {
		t.Errorf("target got a request %s after it had announced that it leaves, want none", d)
	}
}

// TestTargetAsksForPause checks that a target gets neither requests nor probes in the pause that it asks for with
// Retry-After, that the callers are told at once when to come back if all targets do, and that requests go on after it.
func TestTargetAsksForPause(t *testing.T) {
	b := newTestGateway(t, 2, time.Millisecond)
	const pause = 1200 * time.Millisecond
	for _, g := range b.targets {
		g.AskForPause("1.2")
	}
	rejected := func() int64 { return b.targets[0].Rejected() + b.targets[1].Rejected() }
	b.waitUntil(t, "both targets have asked for a pause", func() bool {
		b.sendAll(t, 2)
		return b.targets[0].Rejected() > 0 && b.targets[1].Rejected() > 0
	})
	began := time.Now()
	before := rejected()
	for time.Since(began) < pause/2 {
		sent := time.Now()
		p, _, err := b.send(context.Background(), "GET", "/read/1", "q", "")
		if err != nil {
			t.Fatal(err)
		}
		after, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
		if p.StatusCode != http.StatusServiceUnavailable || err != nil || after < 0.3 || after > pause.Seconds() {
			t.Fatalf("status %d, Retry-After %q, want 503 and the rest of the pause", p.StatusCode, p.Header.Get("Retry-After"))
		}
		if d := time.Since(sent); d > 100*time.Millisecond {
			t.Errorf("refused after %s, want at once", d)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := rejected() - before; n > 0 {
		t.Errorf("targets got %d requests or probes in their pause, want none", n)
	}
	for _, g := range b.targets {
		g.AskForPause("")
	}
	time.Sleep(pause - time.Since(began))
	p, _, err := b.send(context.Background(), "GET", "/read/1", "after", "")
	if err != nil || p.StatusCode != http.StatusOK {
		t.Errorf("response %v, error %v after the pause, want status 200", p, err)
	}
}

// sendAll sends n requests one after the other.
func (b *testGateway) sendAll(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		if _, _, err := b.send(context.Background(), "GET", "/read/1", fmt.Sprint("s", i), ""); err != nil {
			t.Fatal(err)
		}
	}
}
