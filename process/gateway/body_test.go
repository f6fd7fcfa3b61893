package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/process/gateway"
	"github.com/amaranthramp/amaranthramp/standin/objects"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// largeBodies is a configuration that allows bodies of 64 MB.
var largeBodies = strings.NewReplacer("2000", "20000", `"max-body-bytes":1000`, `"max-body-bytes":67108864`).
	Replace(fmt.Sprintf(configuration, 1))

// countingTarget answers each request with the number of bytes of its body, of which it keeps none, or with a body of
// answerBytes.
type countingTarget struct {
	id          string
	answerBytes atomic.Int64
	runs        atomic.Int64
}

// ServeHTTP answers a request, or a probe.
func (g *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := &platform.Headers
	w.Header().Set(h.Load, "0,0,100,100")
	id := r.Header.Get(h.RequestID)
	if id == "" {
		w.Header().Set(h.Incarnation, g.id)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	g.runs.Add(1)
	w.Header().Set(h.RequestID, id)
	size := g.answerBytes.Load()
	if size == 0 {
		_, _ = fmt.Fprintf(w, "%s %d", id, n)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(size))
	_, _ = io.CopyN(w, zeros{}, size)
}

// zeros is a reader of zeros without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// newBodyGateway returns a gateway on a VM of the given memory, with three targets that keep no bodies.
func newBodyGateway(t *testing.T, memory ident.Bytes, answerBytes int64) (*testGateway, []*countingTarget) {
	t.Helper()
	b := &testGateway{log: zerolog.Nop(), store: objects.New()}
	b.adjust = func(s *gateway.Settings) { s.Memory = memory }
	b.store.Put("config", "main", largeBodies)
	var l []*countingTarget
	for i := range 3 {
		g := &countingTarget{id: fmt.Sprint("i-", i)}
		g.answerBytes.Store(answerBytes)
		s := httptest.NewServer(g)
		t.Cleanup(s.Close)
		e, err := platform.EncodeTarget(roster.Target{
			ID: ident.Target(g.id), Service: "book", Address: ident.Address(s.Listener.Addr().String()), DataCentre: "a",
			Slots: 100, StartedAtMs: 1,
		}, 0)
		if err != nil {
			t.Fatal(err)
		}
		b.store.Put(platform.TargetKind, g.id, e)
		l = append(l, g)
	}
	return b.startWithTargets(t, 0, 0), l
}

// runsOf returns the number of requests that the targets have run.
func runsOf(l []*countingTarget) int {
	n := 0
	for _, g := range l {
		n += int(g.runs.Load())
	}
	return n
}

// upload sends a body of n zeros, of unknown length if chunked, on a connection of its own, and reads the answer only
// once it has sent all or the connection has broken.
func (b *testGateway) upload(id string, n int, chunked bool) (*http.Response, string, error) {
	c, err := net.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	r, err := http.NewRequest(http.MethodPost, "http://h.example/claim/1", io.LimitReader(zeros{}, int64(n)))
	if err != nil {
		return nil, "", err
	}
	if !chunked {
		r.ContentLength = int64(n)
	}
	r.Header.Set(platform.Headers.RequestID, id)
	r.Header.Set(platform.Headers.TimeRemaining, "20000")
	// The gateway may refuse the request before it has got all of it.
	_ = r.Write(c)
	return readAnswer(http.ReadResponse(bufio.NewReader(c), r))
}

// TestLargeBodies checks that many large bodies at once stay within the memory of the VM, that each request gets one
// answer, and that small requests are served meanwhile. Without a common bound four such bodies took a gateway over the
// memory of its VM.
func TestLargeBodies(t *testing.T) {
	const memory, size = 284 << 20, 48 << 20
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			b, targets := newBodyGateway(t, memory, 0)
			heap := watchHeap()
			var served, refused atomic.Int64
			var uploads, smalls sync.WaitGroup
			for i := range 6 {
				uploads.Go(func() {
					for j := range 3 {
						id := fmt.Sprintf("u%d-%d", i, j)
						p, a, err := b.upload(id, size, chunked)
						switch {
						case err != nil:
							t.Errorf("upload %s: %v, want an answer", id, err)
						case p.StatusCode == http.StatusOK && a == fmt.Sprint(id, " ", size):
							served.Add(1)
						case p.StatusCode == http.StatusServiceUnavailable && p.Header.Get("Retry-After") != "":
							refused.Add(1)
							time.Sleep(100 * time.Millisecond)
						default:
							t.Errorf("upload %s: status %d, header %v, body %q", id, p.StatusCode, p.Header, a)
						}
					}
				})
			}
			stop := make(chan struct{})
			small, smallServed := 0, 0
			smalls.Go(func() {
				for ; ; small++ {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					id := fmt.Sprint("s", small)
					p, a, err := b.send(context.Background(), "POST", "/claim/1", id, "four")
					if err == nil && p.StatusCode == http.StatusOK && a == id+" 4" {
						smallServed++
					}
				}
			})
			uploads.Wait()
			close(stop)
			smalls.Wait()
			n, most := heap.end(), uint64(memory/2)
			t.Logf("largest heap %d MB, %d uploads served, %d refused, %d of %d small requests served", n>>20, served.Load(),
				refused.Load(), smallServed, small)
			if n > most {
				t.Errorf("heap grew to %d MB, want at most half of the VM's memory, %d MB", n>>20, most>>20)
			}
			if served.Load() == 0 || small == 0 || smallServed < small*9/10 {
				t.Errorf("%d uploads served and %d refused, %d of %d small requests served, want some and nearly all",
					served.Load(), refused.Load(), smallServed, small)
			}
			if n := runsOf(targets); n != int(served.Load())+smallServed {
				t.Errorf("%d requests ran, but %d uploads and %d small requests were served", n, served.Load(), smallServed)
			}
		})
	}
}

// TestBodyBeyondMemory checks that a body that the VM can never hold gets a final answer, and that the largest body
// which the configuration allows is served by a VM that can hold it.
func TestBodyBeyondMemory(t *testing.T) {
	rows := []struct {
		memory  ident.Bytes
		chunked bool
		status  int
	}{
		{100 << 20, false, http.StatusRequestEntityTooLarge},
		{100 << 20, true, http.StatusRequestEntityTooLarge},
		{284 << 20, false, http.StatusOK},
		{284 << 20, true, http.StatusOK},
	}
	for _, r := range rows {
		t.Run(fmt.Sprintf("%d MB, chunked %t", r.memory>>20, r.chunked), func(t *testing.T) {
			b, targets := newBodyGateway(t, r.memory, 0)
			p, _, err := b.upload("u", 64<<20, r.chunked)
			if err != nil || p.StatusCode != r.status {
				t.Fatalf("response %v, error %v, want status %d", p, err, r.status)
			}
			if n := runsOf(targets); (n > 0) != (r.status == http.StatusOK) {
				t.Errorf("request ran %d times with status %d", n, p.StatusCode)
			}
		})
	}
}

// TestAnswersForSlowCallers checks that complete answers which callers do not read stay within the memory of the VM,
// that the lack of room for them makes no request run again, and that small requests are served meanwhile.
func TestAnswersForSlowCallers(t *testing.T) {
	const memory = 64 << 20
	b, targets := newBodyGateway(t, memory, 4<<20)
	heap := watchHeap()
	for i := range 60 {
		c, err := net.Dial("tcp", string(b.settings.CallerAddress))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, err = fmt.Fprintf(c, "GET /read/%d HTTP/1.1\r\nHost: h.example\r\n%s: w%d\r\n\r\n", i,
			platform.Headers.RequestID, i)
		if err != nil {
			t.Fatal(err)
		}
		b.waitUntil(t, "target has run the request", func() bool { return runsOf(targets) > i })
	}
	time.Sleep(300 * time.Millisecond)
	if n := runsOf(targets); n > 60 {
		t.Errorf("%d runs of 60 requests, want none again for lack of room", n)
	}
	for _, g := range targets {
		g.answerBytes.Store(0)
	}
	p, a, err := b.send(context.Background(), "GET", "/read/1", "small", "")
	if err != nil || p.StatusCode != http.StatusOK || a != "small 0" {
		t.Errorf("response %v, error %v, body %q, want the target's answer", p, err, a)
	}
	if n, most := heap.end(), uint64(memory*3/4); n > most {
		t.Errorf("heap grew to %d MB, want at most three quarters of the VM's memory, %d MB", n>>20, most>>20)
	}
}

// TestStalledBodyLeavesRoom checks that a caller which does not send the body that it has announced gets an answer that
// promises that the request has not run, and that the memory for the body is free then.
func TestStalledBodyLeavesRoom(t *testing.T) {
	b, _ := newBodyGateway(t, 284<<20, 0)
	c, err := net.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(c,
		"POST /claim/1 HTTP/1.1\r\nHost: h.example\r\n%s: stalled\r\n%s: 300\r\nContent-Length: %d\r\n\r\n",
		platform.Headers.RequestID, platform.Headers.TimeRemaining, 60<<20)
	if err != nil {
		t.Fatal(err)
	}
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || p.StatusCode != http.StatusRequestTimeout {
		t.Fatalf("response %v, error %v, want status 408", p, err)
	}
	p, _, err = b.upload("u", 60<<20, false)
	if err != nil || p.StatusCode != http.StatusOK {
		t.Errorf("response %v, error %v after the stalled body, want status 200", p, err)
	}
}
