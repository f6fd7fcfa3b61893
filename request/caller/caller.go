package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Forwarder handles calls and returns the final response to each.
type Forwarder interface {
	Do(ctx context.Context, c *call.Call) call.Answer
}

// Limits on how long a caller may take to send its request and to read its response.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
)

// maxIDBytes is the longest request ID accepted from a caller; a longer one is replaced by a generated ID.
const maxIDBytes = 128

// New returns an HTTP handler for callers' requests.
func New(v *view.Holder, f Forwarder, c clock.Clock) http.Handler {
	return &handler{views: v, forwarder: f, clock: c}
}

type handler struct {
	views     *view.Holder
	forwarder Forwarder
	clock     clock.Clock
}

// ServeHTTP reads a request, forwards it and writes the response.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	c, reason := h.read(r)
	// Clear the read deadline, so that the server can detect that the caller closes the connection while the request
	// runs.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if reason != "" {
		a := call.Rejected(reason, statusOf(reason))
		write(w, &a)
		return
	}
	a := h.forwarder.Do(r.Context(), c)
	w.Header().Set(call.HeaderRequestID, string(c.ID))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	write(w, &a)
}

// read returns the call that corresponds to a request, or the reason why there is none.
func (h *handler) read(r *http.Request) (*call.Call, outcome.Reason) {
	v := h.views.Get()
	s, ok := v.Config.FindServiceByHost(hostOf(r.Host))
	if !ok {
		return nil, outcome.NoService
	}
	path, _, _ := strings.Cut(call.PathOf(r), "?")
	k, ok := s.MatchClass(r.Method, path)
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
		Deadline:   h.clock.Now().Add(timeLimit(d, time.Duration(k.Deadline))),
		Method:     r.Method,
		Path:       call.PathOf(r),
		Host:       r.Host,
		Body:       b,
	}
	peer.StripHeaders(d)
	StripHop(d)
	addForwarding(d, r)
	c.Header = d
	return c
}

// requestID returns the caller's request ID, unless there is none or it is too long, so that the caller's logs can be
// correlated with those of the load balancer. Otherwise it generates an ID.
func requestID(h http.Header) ident.Request {
	if id := h.Get(call.HeaderRequestID); id != "" && len(id) <= maxIDBytes {
		return ident.Request(id)
	}
	var b [12]byte
	_, _ = rand.Read(b[:])
	return ident.Request(hex.EncodeToString(b[:]))
}

// attemptOf returns the attempt number that the caller states, or 1.
func attemptOf(h http.Header) ident.Attempt {
	n, err := strconv.Atoi(h.Get(call.HeaderAttempt))
	if err != nil || n < 1 {
		return 1
	}
	return ident.Attempt(n)
}

// timeLimit returns the time limit of the request. A caller can shorten that of its class but not extend it.
func timeLimit(h http.Header, d time.Duration) time.Duration {
	n, err := strconv.ParseInt(h.Get(call.HeaderDeadline), 10, 32)
	if err != nil {
		return d
	}
	return min(d, time.Duration(n)*time.Millisecond)
}

// statusOf returns the HTTP status for a request that is not forwarded.
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

// hostOf returns the value of a Host header without the port.
func hostOf(h string) string {
	n, _, err := net.SplitHostPort(h)
	if err != nil {
		return h
	}
	return n
}
