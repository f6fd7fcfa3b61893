package exchange

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Limits on a response.
const (
	maxHeaderBytes   ident.Bytes = 64 << 10
	maxInformational             = 5
)

// maxResponseBytes bounds what is read for the body of a response. It leaves room for the chunked framing.
func (b *BodyBudget) maxResponseBytes() ident.Bytes {
	return 2 * b.maxBody(responseBody)
}

// Errors of a response header.
var (
	// errNoFinalResponse means that only informational (1xx) responses came, or one that switches protocols or names a
	// body.
	errNoFinalResponse = errors.New("exchange: no final response")
	errMalformedName   = errors.New("exchange: malformed name of a header field")
)

// roundTrip writes the request and reads its response. It reports whether the connection may be used again.
func (e *Exchanger) roundTrip(n *pool.Conn, c *call.Call, q *http.Request) (Result, bool) {
	w := &countingWriter{w: n}
	if err := q.Write(w); err != nil {
		if w.n == 0 || e.needsWhole {
			return neverWritten(outcome.Unreachable), false
		}
		return broken(reasonOfIOError(err)), false
	}
	return e.readResponse(n, c, q.Header.Get(call.HeaderExchangeID))
}

func (e *Exchanger) readResponse(n *pool.Conn, c *call.Call, id string) (Result, bool) {
	n.SetReadLimit(maxHeaderBytes)
	p, err := readHeader(n, c.Method)
	if err != nil {
		return broken(reasonOfIOError(err)), false
	}
	defer func() { _ = p.Body.Close() }()
	if e.echo && p.Header.Get(call.HeaderExchangeID) != id {
		return broken(outcome.Crossed), false
	}
	if !hasFraming(p) {
		return broken(outcome.Truncated), false
	}
	n.SetReadLimit(e.bodies.maxResponseBytes())
	b, err := readBody(e.bodies, c, p)
	if err != nil {
		return broken(reasonOfBodyError(err)), false
	}
	p.Header.Del(call.HeaderExchangeID)
	// Bytes after the response belong to no request, so the connection can't be trusted with another one.
	keep := !p.Close && n.Reader.Buffered() == 0
	return Result{Event: eventOf(p), Status: p.StatusCode, Header: p.Header, Body: b}, keep
}

// readHeader reads the header of the final response and skips informational (1xx) responses before it.
func readHeader(n *pool.Conn, method string) (*http.Response, error) {
	for range maxInformational + 1 {
		if err := checkStatusLine(n.Reader); err != nil {
			return nil, err
		}
		if err := checkOldVersion(n.Reader); err != nil {
			return nil, err
		}
		p, err := http.ReadResponse(n.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if hasMalformedName(p.Header) {
			return nil, errMalformedName
		}
		if p.StatusCode >= http.StatusOK {
			return p, nil
		}
		if p.StatusCode == http.StatusSwitchingProtocols || namesBody(p) {
			break
		}
	}
	return nil, errNoFinalResponse
}

// namesBody reports whether an informational response names a body, which it can't have: what follows its head may be
// meant as that body or as the next response.
func namesBody(p *http.Response) bool {
	n := p.Header.Get("Content-Length")
	return n != "" && n != "0" || len(p.TransferEncoding) > 0
}

// hasMalformedName reports whether the name of a header field contains a space. The parser lets such fields pass, but
// takes none of them for a length or a transfer encoding.
func hasMalformedName(h http.Header) bool {
	for n := range h {
		if strings.Contains(n, " ") {
			return true
		}
	}
	return false
}

// readBody reads the body of a response to a call. The memory for it counts as held by the call's request if that has
// an account, else it counts in the budget until the body has been read.
func readBody(b *BodyBudget, c *call.Call, p *http.Response) ([]byte, error) {
	n := p.ContentLength
	if p.Body == http.NoBody {
		n = 0
	}
	if c.Bodies != nil {
		return c.Bodies.ReadResponse(p.Body, n)
	}
	a := b.Open()
	defer a.Close()
	return a.ReadResponse(p.Body, n)
}

// hasFraming reports whether the response has a length or a transfer encoding, or answers HEAD, so that it has no body.
// A response that is delimited by the end of its connection can't be told from a truncated one.
func hasFraming(p *http.Response) bool {
	return p.Request.Method == http.MethodHead || p.ContentLength >= 0 || len(p.TransferEncoding) > 0
}

func broken(r outcome.Reason) Result {
	return Result{Event: outcome.Broken{Reason: r}}
}

func eventOf(p *http.Response) outcome.Event {
	if p.Header.Get(call.HeaderOutcome) == string(outcome.NotRun) {
		return outcome.Refused{Reason: outcome.Shed}
	}
	return outcome.Completed{}
}

// newRequest builds the request without its deadline header. Each attempt gets a new exchange id, even when the caller
// reuses the request id.
func newRequest(c *call.Call, h http.Header) (*http.Request, error) {
	if _, err := url.ParseRequestURI(c.Path); err != nil {
		return nil, fmt.Errorf("parse path: %w", err)
	}
	r, err := http.NewRequest(c.Method, "/", bytes.NewReader(c.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.URL = unchangedURL(c)
	r.Host = c.Host
	r.Header = h
	r.Header.Set(call.HeaderRequestID, string(c.ID))
	r.Header.Set(call.HeaderExchangeID, newExchangeID())
	r.Header.Set(call.HeaderAttempt, strconv.Itoa(int(c.Attempt)))
	return r, nil
}

// unchangedURL returns the URL with which the path of a call is written as it is. One that begins with two slashes is
// written in absolute form, since it would be taken for the name of a host.
func unchangedURL(c *call.Call) *url.URL {
	u := &url.URL{Scheme: "http", Host: c.Host, Opaque: c.Path}
	if strings.HasPrefix(c.Path, "//") {
		u.Opaque = "http://" + c.Host + c.Path
	}
	return u
}

func setDeadline(h http.Header, left time.Duration) {
	h.Set(call.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
}

func newExchangeID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func reasonOfIOError(err error) outcome.Reason {
	var t net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &t) && t.Timeout()) {
		return outcome.Silent
	}
	if errors.Is(err, pool.ErrReadLimit) || errors.Is(err, ErrBodyTooLarge) {
		return outcome.TooLarge
	}
	if errors.Is(err, ErrNoRoom) {
		return outcome.Overload
	}
	return outcome.Reset
}

// reasonOfBodyError returns Truncated for a body that was cut off. An error on this side, such as a timeout or the read
// limit, keeps its own reason.
func reasonOfBodyError(err error) outcome.Reason {
	if r := reasonOfIOError(err); r != outcome.Reset {
		return r
	}
	return outcome.Truncated
}

// countingWriter counts the bytes written to the connection.
type countingWriter struct {
	w io.Writer
	n ident.Bytes
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.n += ident.Bytes(n)
	return n, err
}
