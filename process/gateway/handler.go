package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/caller"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/relay"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// handler answers callers' requests.
type handler struct {
	catalog *catalog.Catalog
	relay   *relay.Relay
	headers *exchange.Headers
	clock   clock.Clock
	metrics *metrics
	log     zerolog.Logger
}

// ServeHTTP answers one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := h.clock.Now()
	t := h.catalog.Get().Table
	if t == nil {
		h.refuse(w, r, refused(outcome.NoService, http.StatusServiceUnavailable), "no configuration is known yet")
		return
	}
	o, ok := t.Find(r.Host, r.URL.Path)
	if !ok {
		h.refuse(w, r, call.GivenUp(outcome.NoService, http.StatusNotFound), "no route matches")
		return
	}
	c, reason := h.read(r, t)
	if reason != "" {
		h.refuse(w, r, call.GivenUp(reason, statusOf(reason)), "the request can't be read")
		return
	}
	a := h.relay.Do(r.Context(), t, o, c)
	h.metrics.observe(o, &a, h.clock.Now().Sub(began))
	h.write(w, r, a)
}

// refuse answers a request that follows no route.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, a call.Answer, why string) {
	version := ident.Version(0)
	if t := h.catalog.Get().Table; t != nil {
		version = t.Version
	}
	h.log.Info().Str("Request", r.Header.Get(h.headers.RequestID)).Str("Host", r.Host).Str("Path", r.URL.Path).
		Uint64("Version", uint64(version)).Str("Why", why).Str("Outcome", string(a.Outcome)).
		Str("Reason", string(a.Reason)).Int("Status", a.Status).Msg("request answered")
	h.write(w, r, a)
}

func (h *handler) read(r *http.Request, t *route.Table) (*call.Call, outcome.Reason) {
	limit := int64(call.MaxBody)
	if n := int64(t.Limits.BodyBytes); n > 0 {
		limit = n
	}
	b, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, outcome.TooLarge
		}
		return nil, outcome.BadRequest
	}
	d := r.Header.Clone()
	c := &call.Call{
		ID: h.requestID(d), Method: r.Method, Path: r.URL.RequestURI(), Host: r.Host, Header: d, Body: b,
	}
	if n, err := strconv.ParseInt(d.Get(h.headers.TimeLeft), 10, 32); err == nil && n > 0 {
		c.Deadline = h.clock.Now().Add(time.Duration(n) * time.Millisecond)
	}
	caller.StripHop(d)
	return c, ""
}

// requestID returns the caller's own id; one without gets an id, which targets need.
func (h *handler) requestID(d http.Header) ident.Request {
	if id := d.Get(h.headers.RequestID); id != "" {
		return ident.Request(id)
	}
	var b [8]byte
	_, _ = rand.Read(b[:])
	return ident.Request(hex.EncodeToString(b[:]))
}

// write sends the answer; the caller of a request that was cancelled is gone.
func (h *handler) write(w http.ResponseWriter, r *http.Request, a call.Answer) {
	d := w.Header()
	for n, v := range a.Header {
		d[n] = v
	}
	length := d.Get("Content-Length")
	caller.StripHop(d)
	if id := r.Header.Get(h.headers.RequestID); id != "" {
		d.Set(h.headers.RequestID, id)
	}
	if a.Outcome != outcome.Done {
		d.Set(call.HeaderOutcome, string(a.Outcome))
		d.Set(call.HeaderReason, string(a.Reason))
	}
	if a.RetryAfter > 0 {
		d.Set(call.HeaderRetryAfter, strconv.FormatFloat(math.Ceil(a.RetryAfter.Seconds()*1000)/1000, 'f', 3, 64))
	}
	if _, ok := d["Content-Type"]; !ok {
		// Keeps the server from guessing a type that the target did not state.
		d["Content-Type"] = nil
	}
	if r.Method != http.MethodHead || length == "" {
		length = strconv.Itoa(len(a.Body))
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		d.Set("Content-Length", length)
	}
	w.WriteHeader(a.Status)
	// The caller may have left; the server notices by itself.
	_, _ = w.Write(a.Body)
}

// startingRetryAfter is when a caller is told to come back to a VM that has just started: reading the store takes about
// as long.
const startingRetryAfter = 200 * time.Millisecond

func refused(r outcome.Reason, status int) call.Answer {
	a := call.GivenUp(r, status)
	a.RetryAfter = startingRetryAfter
	return a
}

func statusOf(r outcome.Reason) int {
	if r == outcome.TooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
