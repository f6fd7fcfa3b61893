package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/amaranthramp/amaranthramp/platform"
)

// callerKind is one kind of the callers that use TCP connections of their own, most of them until the VM closes them.
type callerKind struct {
	name, method, path string
	// work is the time that a request takes at a target, limit the time that the caller waits for its answer.
	work, limit time.Duration
	// depth is how many requests a connection carries at a time.
	depth int
	// fresh means that each request has a connection of its own.
	fresh bool
	// idle means that the connection is idle for seconds before each request, which often crosses its close.
	idle                   bool
	bodyBytes, answerBytes int
}

// callerKinds are like those of the users' deployment umusanzu-dues.
var callerKinds = []callerKind{
	{name: "balance", method: "GET", path: "/read/b", work: 120 * time.Millisecond, limit: time.Second, depth: 1,
		fresh: true, answerBytes: 1 << 10},
	{name: "remit", method: "POST", path: "/claim/r", work: 160 * time.Millisecond, limit: 1200 * time.Millisecond,
		depth: 1, bodyBytes: 1200, answerBytes: 1 << 10},
	{name: "statement", method: "GET", path: "/statement/s", work: 300 * time.Millisecond, limit: 2 * time.Second,
		depth: 1, answerBytes: 4 << 10},
	{name: "report", method: "GET", path: "/report/a", work: 480 * time.Millisecond, limit: 3 * time.Second,
		depth: 3, answerBytes: 30 << 10},
	{name: "idle", method: "GET", path: "/read/i", work: 120 * time.Millisecond, limit: time.Second, depth: 1,
		idle: true, answerBytes: 1 << 10},
}

// rawDialTimeout is how long a caller waits for a connection.
const rawDialTimeout = time.Second

// windows are the sizes of the receive buffers of callers' sockets in bytes; zero is the kernel's default.
var windows = []int{0, 0, 2 << 10, 8 << 10}

// rawConn is one connection of a caller.
type rawConn struct {
	net.Conn
	vm     *vm
	kind   *callerKind
	reader *bufio.Reader
	// window is the size of the receive buffer, and pause how long the caller doesn't read an answer that has begun.
	window int
	pause  time.Duration
	// received counts the bytes read from the socket.
	received int
	openedAt time.Time
	pending  []*rawRequest
}

// rawRequest is a request that was sent; want is the body of its answer.
type rawRequest struct {
	id, want string
	sentAt   time.Time
	// ahead is how many requests were unanswered on the connection when this one was sent.
	ahead int
}

// Read counts the bytes.
func (c *rawConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += n
	return n, err
}

// runRawCaller sends requests on connections to random VMs until the context ends.
func (s *soak) runRawCaller(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(s.options.Seed, uint64(2000+i)))
	k := &callerKinds[i%len(callerKinds)]
	for n := 0; ctx.Err() == nil; n++ {
		c, err := dialRaw(s.anyVM(r), k, r)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.useConn(ctx, c, r, fmt.Sprintf("%s%d-%d", k.name, i, n))
		_ = c.Close()
	}
}

// dialRaw opens a connection with a random receive buffer; on some of them the caller reads slowly.
func dialRaw(v *vm, k *callerKind, r *rand.Rand) (*rawConn, error) {
	c := &rawConn{vm: v, kind: k, window: windows[r.IntN(len(windows))]}
	if r.IntN(2) == 0 {
		c.pause = randomDuration(r, 1, 400)
	}
	d := net.Dialer{Timeout: rawDialTimeout, Control: func(_, _ string, n syscall.RawConn) error {
		return n.Control(func(fd uintptr) {
			if c.window > 0 {
				// Without effect, the connection is one with a larger window.
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, c.window)
			}
		})
	}}
	n, err := d.Dial("tcp", string(v.settings.CallerAddress))
	if err != nil {
		return nil, err
	}
	c.Conn, c.openedAt = n, time.Now()
	c.reader = bufio.NewReaderSize(c, 1<<10)
	return c, nil
}

// useConn sends requests on a connection until it ends, and checks each answer.
func (s *soak) useConn(ctx context.Context, c *rawConn, r *rand.Rand, name string) {
	for n := 0; ctx.Err() == nil; {
		if c.kind.idle {
			c.vm.waitIdle(ctx, r)
		}
		for len(c.pending) < c.kind.depth {
			c.send(r, fmt.Sprintf("%s-%d", name, n))
			n++
		}
		q := c.pending[0]
		start := c.received - c.reader.Buffered()
		a, last, err := c.readAnswer(q)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.checkEnd(c, err, c.received-start)
			return
		}
		c.pending = c.pending[1:]
		s.checkAnswer(c.vm, c.kind.path, q.id, &a)
		if last || c.kind.fresh {
			s.checkEnd(c, nil, 0)
			return
		}
		if c.kind.depth == 1 || a.status != http.StatusOK {
			time.Sleep(randomDuration(r, 0, 100))
		}
	}
}

// closeDelay is how long after SIGTERM a VM closes its idle connections.
const closeDelay = 2500 * time.Millisecond

// waitIdle waits for up to some seconds, or, while the VM stops, until about the time at which it closes its idle
// connections.
func (v *vm) waitIdle(ctx context.Context, r *rand.Rand) {
	end := time.Now().Add(randomDuration(r, 0, 4000))
	for ctx.Err() == nil && time.Now().Before(end) {
		if t := v.stopping(); !t.IsZero() && time.Since(t) < closeDelay-10*time.Millisecond {
			spread := time.Duration(r.IntN(10000)-4000) * time.Microsecond
			time.Sleep(time.Until(t.Add(closeDelay + spread)))
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// send writes one request. If that fails, reading shows how the connection has ended.
func (c *rawConn) send(r *rand.Rand, id string) {
	k := c.kind
	size := len(id) + 10 + r.IntN(k.answerBytes)
	q := &rawRequest{id: id, sentAt: time.Now(), ahead: len(c.pending)}
	q.want = padTo(fmt.Sprintf("%s %d", id, k.bodyBytes), size)
	c.pending = append(c.pending, q)
	length := ""
	if k.method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", k.bodyBytes)
	}
	_ = c.SetWriteDeadline(q.sentAt.Add(k.limit))
	_, _ = fmt.Fprintf(c, "%s %s?work-ms=%d&bytes=%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s",
		k.method, k.path, k.work.Milliseconds(), size, host, platform.Headers.RequestID, id,
		platform.Headers.TimeRemaining, k.limit.Milliseconds(), length, strings.Repeat("b", k.bodyBytes))
}

// padTo pads a body as the targets do.
func padTo(b string, size int) string {
	return b + strings.Repeat(".", max(size-len(b), 0))
}

// readAnswer reads the next answer; last reports whether the VM closes the connection after it.
func (c *rawConn) readAnswer(q *rawRequest) (a answer, last bool, err error) {
	_ = c.SetReadDeadline(q.sentAt.Add(c.kind.limit))
	p, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return a, false, err
	}
	time.Sleep(c.pause)
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return a, false, err
	}
	a = answer{status: p.StatusCode, id: p.Header.Get(platform.Headers.RequestID), body: string(b), want: q.want,
		sentAt: q.sentAt}
	return a, p.Close, nil
}

// ranCheckDelay is how long after the end of a connection a request that was passed on has reached its target.
const ranCheckDelay = 100 * time.Millisecond

// lossSlack is how long after a request was sent the VM may close its connection if it has not passed it on.
const lossSlack = 200 * time.Millisecond

// checkEnd checks that no request was lost at the end of a connection: none that a target began to run, and none that
// was the next one for longer than lossSlack. err is nil if the last answer announced the end.
func (s *soak) checkEnd(c *rawConn, err error, received int) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	at := time.Now()
	time.Sleep(ranCheckDelay)
	for i, q := range c.pending {
		runs := s.runLog.Runs(q.id)
		late := i == 0 && err != nil && q.ahead == 0 && at.Sub(q.sentAt) > lossSlack
		if c.vm.disturbedSince(q.sentAt.Add(-settleTime)) || len(runs) == 0 && !late && received == 0 {
			continue
		}
		ran := "not run"
		if len(runs) > 0 {
			ran = fmt.Sprintf("run %d times, last at %s %.3f s before", len(runs), runs[len(runs)-1].Target,
				at.Sub(runs[len(runs)-1].At).Seconds())
		}
		s.addViolation(fmt.Sprintf("lost: %s at %s: %s, %d of %d bytes, request %s (place %d, sent behind %d) sent "+
			"%.3f s before, %s; window %d, pause %s, connection opened %.3f s before; %s", c.kind.name, c.vm.settings.Name,
			endName(err), received, len(q.want), q.id, i, q.ahead, at.Sub(q.sentAt).Seconds(), ran, c.window, c.pause,
			at.Sub(c.openedAt).Seconds(), c.vm.signalsBefore(at)))
		received = 0
	}
}

// endName names how a connection has ended.
func endName(err error) string {
	switch {
	case err == nil:
		return "announced close"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "EOF"
	default:
		return strconv.Quote(err.Error())
	}
}
