package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Forwarder returns the final answer of a call.
type Forwarder interface {
	Do(ctx context.Context, c *call.Call) call.Answer
}

// The bounds on how long a caller may take to send its request and to read its answer.
const (
	readLimit  = 10 * time.Second
	writeLimit = 30 * time.Second
)

// maxIDBytes bounds the length of a caller's own request id; a longer one is replaced.
const maxIDBytes = 128

// New returns the handler of callers' requests.
func New(v *view.Holder, f Forwarder, c clock.Clock) http.Handler {
	return &handler{views: v, forwarder: f, clock: c}
}

type handler struct {
	views     *view.Holder
	forwarder Forwarder
	clock     clock.Clock
}

// ServeHTTP answers one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readLimit))
	c, reason := h.read(r)
	// Without a deadline again, so that the end of the connection is noticed while the request runs.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if reason != "" {
		a := call.GivenUp(reason, statusOf(reason))
		write(w, &a)
		return
	}
	a := h.forwarder.Do(r.Context(), c)
	w.Header().Set(call.HeaderRequestID, string(c.ID))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeLimit))
	write(w, &a)
}

func (h *handler) read(r *http.Request) (*call.Call, outcome.Reason) {
	v := h.views.Get()
	s, ok := v.Config.FindHost(hostOf(r.Host))
	if !ok {
		return nil, outcome.NoService
	}
	k, ok := s.FindClass(r.Method, r.URL.Path)
	if !ok {
		return nil, outcome.NoClass
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, call.MaxBody+1))
	if err != nil {
		return nil, outcome.BadRequest
	}
	if len(b) > call.MaxBody {
		return nil, outcome.TooLarge
	}
	return h.newCall(r, s, k, b), ""
}

func (h *handler) newCall(r *http.Request, s *config.Service, k *config.Class, b []byte) *call.Call {
	d := r.Header.Clone()
	c := &call.Call{
		ID:         requestID(d),
		Service:    s.Name,
		Class:      k.Name,
		Idempotent: k.Idempotent,
		Weight:     k.Weight,
		Attempt:    attemptOf(d),
		Key:        ident.Key(d.Get(call.HeaderKey)),
		Deadline:   h.clock.Now().Add(deadlineOf(d, time.Duration(k.Deadline))),
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Host:       r.Host,
		Body:       b,
	}
	peer.StripHeaders(d)
	StripHop(d)
	addOrigin(d, r)
	c.Header = d
	return c
}

// requestID keeps the caller's own id, so that its logs and ours can be joined.
func requestID(h http.Header) ident.Request {
	if id := h.Get(call.HeaderRequestID); id != "" && len(id) <= maxIDBytes {
		return ident.Request(id)
	}
	var b [12]byte
	_, _ = rand.Read(b[:])
	return ident.Request(hex.EncodeToString(b[:]))
}

func attemptOf(h http.Header) ident.Attempt {
	n, err := strconv.Atoi(h.Get(call.HeaderAttempt))
	if err != nil || n < 1 {
		return 1
	}
	return ident.Attempt(n)
}

// deadlineOf lets a caller shorten the deadline of its class, never lengthen it.
func deadlineOf(h http.Header, d time.Duration) time.Duration {
	n, err := strconv.ParseInt(h.Get(call.HeaderDeadline), 10, 32)
	if err != nil {
		return d
	}
	return min(d, time.Duration(n)*time.Millisecond)
}

func statusOf(r outcome.Reason) int {
	switch r {
	case outcome.NoService, outcome.NoClass:
		return http.StatusNotFound
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.BadRequest:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// hostOf drops the port of a Host header.
func hostOf(h string) string {
	n, _, err := net.SplitHostPort(h)
	if err != nil {
		return h
	}
	return n
}
