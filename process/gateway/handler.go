package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/access"
	"github.com/amaranthramp/amaranthramp/request/allowance"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/caller"
	"github.com/amaranthramp/amaranthramp/request/credential"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/relay"
	"github.com/amaranthramp/amaranthramp/version/route"
	"github.com/amaranthramp/amaranthramp/version/team"
)

// handler serves callers' requests.
type handler struct {
	catalog *catalog.Catalog
	gate    *access.Gate
	limiter *allowance.Limiter
	relay   *relay.Relay
	ages    *caller.Ages
	// endsTooLate reports whether a request with a deadline and a time limit may last longer than a planned stop.
	endsTooLate func(clock.Instant, time.Duration) bool
	headers     *exchange.Headers
	bodies      *exchange.BodyBudget
	clock       clock.Clock
	metrics     *metrics
	log         zerolog.Logger
}

// ServeHTTP forwards one request to a target, or refuses it.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := h.clock.Now()
	t := h.catalog.Get().Table
	if t == nil {
		h.refuse(w, r, unavailable(outcome.NoService, http.StatusServiceUnavailable), "no configuration read yet")
		return
	}
	path, _, _ := strings.Cut(call.PathOf(r), "?")
	o, ok := t.Find(r.Host, path)
	if !ok {
		h.refuse(w, r, call.Rejected(outcome.NoService, http.StatusNotFound), "no route matches the request")
		return
	}
	k := credential.Parse(r.Header)
	m, reason, cause := h.checkKey(k, t, o)
	if a, refused := access.Refusal(reason); refused {
		h.metrics.countRejectedKey(cause)
		h.refuse(w, r, a, "API key: "+string(cause))
		return
	}
	l := h.bodies.Open()
	defer l.Close()
	b, reason := h.readBody(w, r, t, l)
	if reason != "" {
		h.refuseUnread(w, r, unreadAnswer(reason))
		return
	}
	c := h.newCall(r, t, b)
	c.Bodies = l
	if h.endsTooLate(c.Deadline, o.Timeout) {
		a := call.NotRun(outcome.Stopping)
		a.RetryAfter = stopRetryAfter
		h.refuse(w, r, a, "the VM stops before the request may end")
		return
	}
	identify(c, k, m, o)
	if c.Deadline != 0 {
		now := h.clock.Now()
		c.Waited = h.ages.Observe(now, o.Name, c.Deadline.Sub(now))
	}
	g, a, refused := h.takeToken(r.Context(), m, isLate(c, o))
	if refused {
		h.metrics.observe(o, m, &a, h.clock.Now().Sub(began))
		h.refuse(w, r, a, "allowance of the team")
		return
	}
	a = h.relay.Do(r.Context(), t, o, c)
	if m != nil && a.Outcome == outcome.NotRun && !a.Reached {
		h.limiter.Return(m.Name, g)
	}
	h.metrics.observe(o, m, &a, h.clock.Now().Sub(began))
	h.writeAnswer(w, r, a)
}

// lateShare is the share of the latency objective after which a caller that comes back is considered too late to be
// answered within it: targets need the rest for the request itself.
const lateShare = 0.5

// isLate reports whether a request can't meet its latency objective any more, because its caller has waited before.
func isLate(c *call.Call, o *route.Route) bool {
	return o.LatencyObjective > 0 && float64(c.Waited) > lateShare*float64(o.LatencyObjective)
}

// checkKey returns the team of a request with the given credential, which may be nil, or the reason to refuse the
// request, with a cause for logs and metrics.
func (h *handler) checkKey(k credential.Credential, t *route.Table, o *route.Route,
) (*team.Team, outcome.Reason, access.Cause) {
	switch d := h.gate.Decide(t.Teams, o.Public, k).(type) {
	case access.Admitted:
		return d.Team, "", ""
	case access.Denied:
		return nil, outcome.Unauthorized, d.Cause
	default:
		return nil, outcome.Unconfirmed, access.CopyTooOld
	}
}

// identify sets the team of a call, which may be nil, the team's key and the priority.
func identify(c *call.Call, k credential.Credential, m *team.Team, o *route.Route) {
	c.Priority = access.Priority(m, o)
	if m == nil {
		return
	}
	c.Team = m.Name
	if v, ok := k.(credential.Key); ok {
		c.Credential = string(v)
	}
}

// refuse answers a request that is not forwarded and logs why.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, a call.Answer, why string) {
	version := ident.Version(0)
	if t := h.catalog.Get().Table; t != nil {
		version = t.Version
	}
	h.log.Info().Str("Request", r.Header.Get(h.headers.RequestID)).Str("Host", r.Host).Str("Path", r.URL.Path).
		Uint64("Version", uint64(version)).Str("Why", why).Str("Outcome", string(a.Outcome)).
		Str("Reason", string(a.Reason)).Int("Status", a.Status).Msg("request answered")
	h.writeAnswer(w, r, a)
}

// newCall returns the call that corresponds to a request with the given body.
func (h *handler) newCall(r *http.Request, t *route.Table, b []byte) *call.Call {
	d := r.Header.Clone()
	c := &call.Call{
		ID: h.requestID(d), Method: r.Method, Path: call.PathOf(r), Host: r.Host, Header: d, Body: b,
	}
	if n := h.timeRemaining(d); n > 0 {
		c.Deadline = h.clock.Now().Add(n)
	}
	caller.StripHop(d)
	if t.Teams != nil {
		credential.Strip(d, h.headers.Team, call.HeaderCredential, call.HeaderTeamService)
	}
	return c
}

// requestID returns the request ID that the caller sent, or a random one if there is none, since targets require an ID.
func (h *handler) requestID(d http.Header) ident.Request {
	if id := d.Get(h.headers.RequestID); id != "" {
		return ident.Request(id)
	}
	var b [8]byte
	_, _ = rand.Read(b[:])
	return ident.Request(hex.EncodeToString(b[:]))
}

// writeAnswer sends an answer to the caller. The caller of a cancelled request has already disconnected.
func (h *handler) writeAnswer(w http.ResponseWriter, r *http.Request, a call.Answer) {
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
		// A nil value keeps net/http from guessing a type that the target did not send.
		d["Content-Type"] = nil
	}
	if r.Method != http.MethodHead || length == "" {
		length = strconv.Itoa(len(a.Body))
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		d.Set("Content-Length", length)
	}
	w.WriteHeader(a.Status)
	writeBody(w, a.Body)
}

// startupRetryAfter is the retry delay that a VM sends to callers before it has read a configuration: reading the store
// after a start takes about this long.
const startupRetryAfter = 200 * time.Millisecond

// unavailable returns an answer that tells the caller to retry after startupRetryAfter.
func unavailable(r outcome.Reason, status int) call.Answer {
	a := call.Rejected(r, status)
	a.RetryAfter = startupRetryAfter
	return a
}
