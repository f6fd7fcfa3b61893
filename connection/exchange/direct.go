package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Headers are the names under which targets and callers know what a message tells besides its content.
type Headers struct {
	// RequestID names the request; a target repeats it.
	RequestID string
	// TimeLeft is how many milliseconds the sender will still wait.
	TimeLeft string
	// ExpectIncarnation names the incarnation of the target that alone may run the request.
	ExpectIncarnation string
	// NotRun marks an answer by which a target says that it did not run the request.
	NotRun string
	// Load tells the load of a target.
	Load string
	// Incarnation names the target that answered a probe.
	Incarnation string
	// WarmupLeft is how many milliseconds a target stays cold.
	WarmupLeft string
}

// The errors of a probe.
var (
	errForeign = errors.New("exchange: a probe was answered by another target")
	errCrossed = errors.New("exchange: the answer belongs to another request")
)

// maxCrossed is how many answers to other requests are passed over on the way to the right one.
const maxCrossed = 3

// Direct speaks to one incarnation of a target; it is safe for concurrent use.
type Direct struct {
	target  ident.Target
	address ident.Address
	pool    *pool.Pool
	clock   clock.Clock
	headers *Headers
}

// NewDirect returns an exchanger with the incarnation of a target that the pool connects to.
func NewDirect(t ident.Target, a ident.Address, p *pool.Pool, c clock.Clock, h *Headers) *Direct {
	return &Direct{target: t, address: a, pool: p, clock: c, headers: h}
}

// Probe asks the target for its health and load. With the report it returns the connection, if that may carry a
// request, which the caller has to pass to Do or to Release.
func (d *Direct) Probe(ctx context.Context, path string) (Report, *pool.Conn, error) {
	n, err := d.pool.Get(ctx, anyAge)
	if err != nil {
		return Report{}, nil, fmt.Errorf("probe %s: %w", d.target, err)
	}
	stop := context.AfterFunc(ctx, func() { interrupt(n) })
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

func (d *Direct) probe(n *pool.Conn, path string) (Report, bool, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n",
		path, d.address, d.headers.ExpectIncarnation, d.target)
	if _, err := n.Write(b.Bytes()); err != nil {
		return Report{}, false, fmt.Errorf("write: %w", err)
	}
	n.Allow(maxHeaderBytes)
	p, err := readHeader(n, http.MethodGet)
	if err != nil {
		return Report{}, false, fmt.Errorf("read: %w", err)
	}
	defer func() { _ = p.Body.Close() }()
	if p.Header.Get(d.headers.RequestID) != "" {
		return Report{}, false, errCrossed
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(p.Body, int64(maxHeaderBytes))); err != nil {
		return Report{}, false, fmt.Errorf("read: %w", err)
	}
	if i := p.Header.Get(d.headers.Incarnation); i != "" && ident.Target(i) != d.target {
		return Report{}, false, errForeign
	}
	r := reportOf(d.headers, p)
	r.At = n.Sent
	return r, usableAgain(n, p), nil
}

// Release gives back a connection that a probe returned.
func (d *Direct) Release(n *pool.Conn) {
	if n != nil {
		d.pool.Put(n)
	}
}

// Do sends the call, on the given connection or on one of its own, and reads the whole answer. Check is asked
// immediately before the first byte is written; its reason, unless empty, stops the exchange as never written.
func (d *Direct) Do(ctx context.Context, n *pool.Conn, c *call.Call, check func() outcome.Reason) Result {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.clock.Now()))
	defer cancel()
	if n == nil {
		var err error
		if n, err = d.pool.Get(ctx, freshness(c)); err != nil {
			return neverWritten(reasonOfGet(ctx, err))
		}
	}
	if ctx.Err() != nil {
		d.pool.Return(n)
		return neverWritten(reasonOfEnd(ctx))
	}
	if r := check(); r != "" {
		d.pool.Return(n)
		return neverWritten(r)
	}
	n.Sent = d.clock.Now()
	stop := context.AfterFunc(ctx, func() { interrupt(n) })
	r, keep := d.roundTrip(n, c)
	if !stop() {
		keep = false
		if v, ok := r.Event.(outcome.Broken); ok && v.Reason == outcome.Silent {
			r.Event = outcome.Broken{Reason: reasonOfEnd(ctx)}
		}
	}
	if keep {
		d.pool.Put(n)
	} else {
		d.pool.Discard(n)
	}
	return r
}

func (d *Direct) roundTrip(n *pool.Conn, c *call.Call) (Result, bool) {
	w := &countingWriter{w: n}
	if _, err := w.Write(d.message(c)); err != nil {
		if w.n == 0 {
			return neverWritten(outcome.Unreachable), false
		}
		return broken(reasonOf(err)), false
	}
	for i := 0; ; i++ {
		n.Allow(maxHeaderBytes)
		p, err := readHeader(n, c.Method)
		if err != nil {
			return broken(reasonOf(err)), false
		}
		n.Allow(maxBodyBytes)
		b, err := io.ReadAll(io.LimitReader(p.Body, call.MaxBody+1))
		_ = p.Body.Close()
		if err != nil {
			return broken(reasonOfBody(err)), false
		}
		if len(b) > call.MaxBody {
			return broken(outcome.TooLarge), false
		}
		if p.Header.Get(d.headers.RequestID) == string(c.ID) {
			// After a foreign answer there may be more of them.
			return d.result(p, b), i == 0 && usableAgain(n, p)
		}
		// A second answer to an earlier request can stand before the answer to this one.
		if p.Close || i == maxCrossed {
			return broken(outcome.Crossed), false
		}
	}
}

func (d *Direct) result(p *http.Response, b []byte) Result {
	r := Result{Event: outcome.Completed{}, Status: p.StatusCode, Header: p.Header, Body: b}
	if p.Header.Get(d.headers.NotRun) != "" || p.StatusCode == http.StatusMisdirectedRequest {
		r.Event = outcome.Refused{Reason: outcome.Shed}
	}
	return r
}

// message is the request as it goes over the connection, in one piece.
func (d *Direct) message(c *call.Call) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Path, c.Host)
	h := c.Header.Clone()
	h.Set(d.headers.RequestID, string(c.ID))
	h.Set(d.headers.TimeLeft, strconv.FormatInt(max(c.Deadline.Sub(d.clock.Now()).Milliseconds(), 1), 10))
	h.Set(d.headers.ExpectIncarnation, string(d.target))
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	// Writing to memory doesn't fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}

// usableAgain reports whether a connection may carry another request after the answer; bytes beyond it belong to none.
func usableAgain(n *pool.Conn, p *http.Response) bool {
	return !p.Close && delimited(p) && n.Reader.Buffered() == 0
}

// Open returns how many connections to the target are open.
func (d *Direct) Open() int {
	return d.pool.Open()
}

// Close closes the idle connections, and those in use when their requests end.
func (d *Direct) Close() {
	d.pool.Close()
}

// retention is how long a pool keeps a connection that it does not use.
const retention = 8 * time.Second

// NewPool returns the pool for a target's connections.
func NewPool(a ident.Address, limit int, dial pool.Dial, c clock.Clock) *pool.Pool {
	return pool.New(a, limit, retention, dial, c)
}
