package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Headers holds the names of the headers that carry metadata between callers, VMs and targets. Each field is the name
// of a header; its comment says what the value of that header means.
type Headers struct {
	// RequestID identifies the request; the target repeats it in its response.
	RequestID string
	// TimeRemaining names the header that holds how many milliseconds the sender will still wait.
	TimeRemaining string
	// ExpectedIncarnation identifies the only incarnation of the target that may run the request.
	ExpectedIncarnation string
	// NotRun marks a response by which the target says that it did not run the request.
	NotRun string
	// Load carries the load of the target.
	Load string
	// Incarnation identifies the target that responded to a probe.
	Incarnation string
	// WarmupLeft names the header that holds how many milliseconds the warm-up of the target will still last.
	WarmupLeft string
	// Leaving marks a response of a target that is about to stop.
	Leaving string
	// Limit names the header that holds how many requests per second, from all VMs together, the target takes.
	Limit string
	// Team names the header that holds the name of the caller's team, in requests to targets.
	Team string
}

// Errors of a probe.
var (
	errWrongTarget  = errors.New("exchange: probe response came from another target")
	errWrongRequest = errors.New("exchange: response belongs to another request")
)

// maxMismatched is how many responses to other requests are skipped before the expected one.
const maxMismatched = 3

// TargetClient sends requests and probes to one incarnation of a target; it is safe for concurrent use.
type TargetClient struct {
	target  ident.Target
	address ident.Address
	pool    *pool.Pool
	clock   clock.Clock
	headers *Headers
	bodies  *BodyBudget
	// notify receives the notice in each response of the target, and an error if a part of it can't be read.
	notify func(Notice, error)
}

// NewTargetClient returns a client for the incarnation of a target to which the pool connects. The bodies that it reads
// share the budget b with others. It calls notify with the notice in each response header that it reads, unless the
// response belongs to another request, since such a response repeats an earlier one.
func NewTargetClient(
	t ident.Target, a ident.Address, p *pool.Pool, c clock.Clock, h *Headers, b *BodyBudget, notify func(Notice, error),
) *TargetClient {
	return &TargetClient{target: t, address: a, pool: p, clock: c, headers: h, bodies: b, notify: notify}
}

// Probe requests the health and load of the target. Besides the report it returns the connection if another request may
// use it, else nil. The caller must pass the connection to Do or Release.
func (d *TargetClient) Probe(ctx context.Context, path string) (Report, *pool.Conn, error) {
	n, err := d.pool.Get(ctx, unlimitedIdle)
	if err != nil {
		return Report{}, nil, fmt.Errorf("probe %s: %w", d.target, err)
	}
	stop := context.AfterFunc(ctx, func() { abortIO(n) })
	n.Sent = d.clock.Now()
	r, keep, err := d.probe(n, path)
	if !stop() {
		keep = false
	}
	if err != nil {
		d.pool.Discard(n)
		return Report{}, nil, fmt.Errorf("probe %s: %w", d.target, err)
	}
	if !keep {
		d.pool.Discard(n)
		return r, nil, nil
	}
	return r, n, nil
}

func (d *TargetClient) probe(n *pool.Conn, path string) (Report, bool, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n",
		path, d.address, d.headers.ExpectedIncarnation, d.target)
	if _, err := n.Write(b.Bytes()); err != nil {
		return Report{}, false, fmt.Errorf("write: %w", err)
	}
	n.SetReadLimit(maxHeaderBytes)
	p, err := readHeader(n, http.MethodGet)
	if err != nil {
		return Report{}, false, fmt.Errorf("read: %w", err)
	}
	defer func() { _ = p.Body.Close() }()
	if p.Header.Get(d.headers.RequestID) != "" {
		return Report{}, false, errWrongRequest
	}
	d.notice(p, fromProbe)
	if _, err := io.Copy(io.Discard, io.LimitReader(p.Body, int64(maxHeaderBytes))); err != nil {
		return Report{}, false, fmt.Errorf("read: %w", err)
	}
	if i := p.Header.Get(d.headers.Incarnation); i != "" && ident.Target(i) != d.target {
		return Report{}, false, errWrongTarget
	}
	r := parseReport(d.headers, p)
	r.At = n.Sent
	return r, reusable(n, p), nil
}

// Release gives a connection obtained from Probe back to the pool.
func (d *TargetClient) Release(n *pool.Conn) {
	if n != nil {
		d.pool.Put(n)
	}
}

// Do sends the call on the given connection, or on one from the pool if it is nil, and reads the complete response. Do
// calls check immediately before writing the first byte; if check returns a reason, the exchange ends as NeverWritten.
func (d *TargetClient) Do(ctx context.Context, n *pool.Conn, c *call.Call, check func() outcome.Reason) Result {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.clock.Now()))
	defer cancel()
	if n != nil && n.Carried(c.ID) {
		d.pool.Put(n)
		n = nil
	}
	if n == nil {
		var r outcome.Reason
		if n, r = d.connect(ctx, c); r != "" {
			return neverWritten(r)
		}
	}
	if ctx.Err() != nil {
		d.pool.PutUnused(n)
		return neverWritten(reasonOfContextEnd(ctx))
	}
	if r := check(); r != "" {
		d.pool.PutUnused(n)
		return neverWritten(r)
	}
	n.Sent = d.clock.Now()
	stop := context.AfterFunc(ctx, func() { abortIO(n) })
	r, keep := d.roundTrip(n, c)
	if !stop() {
		keep = false
		switch v := r.Event.(type) {
		case outcome.NeverWritten:
			// The abort made the write fail, which says nothing about the target.
			r.Event = outcome.NeverWritten{Reason: reasonOfContextEnd(ctx)}
		case outcome.Broken:
			if v.Reason == outcome.Silent {
				r.Event = outcome.Broken{Reason: reasonOfContextEnd(ctx)}
			}
		}
	}
	if keep {
		d.pool.Put(n)
	} else {
		d.pool.Discard(n)
	}
	return r
}

// connect returns a connection from the pool for a call, or the reason why there is none by the time at which the call
// is given up.
func (d *TargetClient) connect(ctx context.Context, c *call.Call) (*pool.Conn, outcome.Reason) {
	if c.SendBy != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.SendBy.Sub(d.clock.Now()))
		defer cancel()
	}
	n, err := d.pool.GetFor(ctx, maxIdleFor(c), c.ID)
	if err != nil {
		return nil, reasonOfGetError(ctx, err)
	}
	return n, ""
}

// roundTrip writes the call and reads its response. It reports whether the connection may be used again.
func (d *TargetClient) roundTrip(n *pool.Conn, c *call.Call) (Result, bool) {
	n.Carry(c.ID, c.Method)
	// The body is written from its only buffer.
	q := net.Buffers{d.encodeHeader(c)}
	if len(c.Body) > 0 {
		q = append(q, c.Body)
	}
	if written, err := q.WriteTo(n.Conn); err != nil {
		if written == 0 {
			return neverWritten(outcome.Unreachable), false
		}
		return broken(reasonOfIOError(err)), false
	}
	return d.readResponse(n, c)
}

// readResponse reads the response to the call, the only one on this connection with its ID. A duplicate response to an
// earlier request can precede it and is skipped if its end is known.
func (d *TargetClient) readResponse(n *pool.Conn, c *call.Call) (Result, bool) {
	for i := 0; ; i++ {
		n.SetReadLimit(maxHeaderBytes)
		p, err := readHeader(n, c.Method)
		if err != nil {
			return broken(reasonOfIOError(err)), false
		}
		own := d.belongsTo(p, c.ID)
		if own {
			d.notice(p, d.sourceOf(p))
		} else if i == maxMismatched || !skippable(n, p) {
			return broken(outcome.Crossed), false
		}
		n.SetReadLimit(d.bodies.maxResponseBytes())
		b, err := readBody(d.bodies, c, p)
		_ = p.Body.Close()
		if err != nil {
			return broken(reasonOfBodyError(err)), false
		}
		if own {
			// After one mismatched response there may be more of them, so the connection isn't used again.
			return d.result(p, b), i == 0 && reusable(n, p)
		}
	}
}

// belongsTo reports whether a response names the request with the given ID and no other one.
func (d *TargetClient) belongsTo(p *http.Response, id ident.Request) bool {
	v := p.Header.Values(d.headers.RequestID)
	return id != "" && len(v) > 0 && !slices.ContainsFunc(v, func(s string) bool { return s != string(id) })
}

// skippable reports whether it is certain where a response to another request ends, so that the response behind it can
// be read.
func skippable(n *pool.Conn, p *http.Response) bool {
	return !p.Close && hasFraming(p) && !n.CarriedHead()
}

// notice passes on the notice in a response, unless another target sent it.
func (d *TargetClient) notice(p *http.Response, s Source) {
	i := p.Header.Get(d.headers.Incarnation)
	if p.StatusCode == http.StatusMisdirectedRequest || i != "" && ident.Target(i) != d.target {
		return
	}
	n, err := parseNotice(d.headers, p)
	n.Source = s
	d.notify(n, err)
}

// sourceOf returns the source of a notice in a response to a request.
func (d *TargetClient) sourceOf(p *http.Response) Source {
	if p.Header.Get(d.headers.NotRun) != "" {
		return fromRefusal
	}
	return fromRun
}

func (d *TargetClient) result(p *http.Response, b []byte) Result {
	r := Result{Event: outcome.Completed{}, Status: p.StatusCode, Header: p.Header, Body: b}
	if p.Header.Get(d.headers.NotRun) != "" || p.StatusCode == http.StatusMisdirectedRequest {
		r.Event = outcome.Refused{Reason: outcome.Shed}
	}
	return r
}

// encodeHeader returns the request without its body as it is written to the connection.
func (d *TargetClient) encodeHeader(c *call.Call) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Path, c.Host)
	h := c.Header.Clone()
	h.Set(d.headers.RequestID, string(c.ID))
	h.Set(d.headers.TimeRemaining, strconv.FormatInt(max(c.Deadline.Sub(d.clock.Now()).Milliseconds(), 1), 10))
	h.Set(d.headers.ExpectedIncarnation, string(d.target))
	if c.Team != "" {
		h.Set(d.headers.Team, string(c.Team))
	}
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	// Writing to a bytes.Buffer doesn't fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// reusable reports whether the connection may carry another request after the response. Surplus bytes after the
// response belong to no request, so they rule it out.
func reusable(n *pool.Conn, p *http.Response) bool {
	return !p.Close && hasFraming(p) && n.Reader.Buffered() == 0
}

// OpenConnections returns the number of open connections to the target.
func (d *TargetClient) OpenConnections() int {
	return d.pool.OpenConnections()
}

// Close closes the idle connections now, and those in use when their requests end.
func (d *TargetClient) Close() {
	d.pool.Close()
}

// maxIdle is how long a pool keeps an idle connection to a target.
const maxIdle = 8 * time.Second

// NewPool returns the pool for the connections to a target.
func NewPool(a ident.Address, limit int, dial pool.Dial, c clock.Clock) *pool.Pool {
	return pool.New(a, limit, maxIdle, dial, c)
}
