package peer

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// idempotentSuffix marks a call of an idempotent class in the class header.
const idempotentSuffix = ";idempotent"

// internalHeaders are the headers used between members, which neither callers nor upstreams may set or see.
var internalHeaders = []string{
	call.HeaderService, call.HeaderClass, call.HeaderShard, call.HeaderEpoch, call.HeaderEvent, call.HeaderMember,
	call.HeaderLoad, call.HeaderAttempt, call.HeaderDeadline, call.HeaderRequestID,
	call.HeaderExchangeID, call.HeaderObjective, call.HeaderMaxAttempts,
	call.HeaderMessage, call.HeaderRetryAfterMs, call.HeaderCredential, call.HeaderTeamService,
}

// StripHeaders removes the headers that only the load balancer's own processes may set.
func StripHeaders(h http.Header) {
	for _, n := range internalHeaders {
		h.Del(n)
	}
}

func encodeCall(c *call.Call, now clock.Instant) http.Header {
	h := c.Header.Clone()
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding one of its own, which would reach the upstream.
		h["User-Agent"] = []string{""}
	}
	encodeService(c, h)
	k := string(c.Class) + ";" + strconv.Itoa(int(c.Weight))
	if c.Idempotent {
		k += idempotentSuffix
	}
	h.Set(call.HeaderClass, k)
	h.Set(call.HeaderShard, string(c.Shard))
	if c.Objective != 0 {
		h.Set(call.HeaderObjective, strconv.FormatInt(max(c.Objective.Sub(now).Milliseconds(), 0), 10))
	}
	if c.MaxAttempts > 0 {
		h.Set(call.HeaderMaxAttempts, strconv.Itoa(c.MaxAttempts))
	}
	return h
}

// encodeService sets the headers of the service and of the API key, in place of any that the caller has sent.
func encodeService(c *call.Call, h http.Header) {
	for _, n := range []string{call.HeaderService, call.HeaderCredential, call.HeaderTeamService} {
		h.Del(n)
	}
	if c.Credential == "" {
		h.Set(call.HeaderService, string(c.Service))
		return
	}
	h.Set(call.HeaderTeamService, string(c.Service))
	h.Set(call.HeaderCredential, c.Credential)
}

// parseClass parses the class header. The name of a class may contain the separator itself.
func parseClass(v string) (n ident.Class, w ident.Weight, idempotent bool) {
	v, idempotent = strings.CutSuffix(v, idempotentSuffix)
	i := strings.LastIndex(v, ";")
	if i < 0 {
		return ident.Class(v), 0, idempotent
	}
	return ident.Class(v[:i]), ident.Weight(atoi(v[i+1:])), idempotent
}

func decodeCall(r *http.Request, body []byte, now clock.Instant) *call.Call {
	h := r.Header.Clone()
	class, weight, idempotent := parseClass(h.Get(call.HeaderClass))
	c := &call.Call{
		ID:         ident.Request(h.Get(call.HeaderRequestID)),
		Service:    ident.Service(h.Get(call.HeaderService)),
		Class:      class,
		Weight:     weight,
		Shard:      ident.Shard(h.Get(call.HeaderShard)),
		Idempotent: idempotent,
		Attempt:    ident.Attempt(atoi(h.Get(call.HeaderAttempt))),
		Key:        ident.Key(h.Get(call.HeaderKey)),
		Deadline:   now.Add(time.Duration(atoi(h.Get(call.HeaderDeadline))) * time.Millisecond),
		Method:     r.Method,
		Path:       call.PathOf(r),
		Host:       r.Host,
		Body:       body,
	}
	if v := h.Get(call.HeaderObjective); v != "" {
		c.Objective = now.Add(time.Duration(atoi(v)) * time.Millisecond)
	}
	c.MaxAttempts = atoi(h.Get(call.HeaderMaxAttempts))
	if v := h.Get(call.HeaderCredential); v != "" {
		c.Credential, c.Service = v, ident.Service(h.Get(call.HeaderTeamService))
	}
	StripHeaders(h)
	c.Header = h
	return c
}

func encodeAnswer(a *call.Answer, h http.Header) {
	for n, v := range a.Header {
		h[n] = v
	}
	StripHeaders(h)
	h.Set(call.HeaderOutcome, string(a.Outcome))
	h.Set(call.HeaderReason, string(a.Reason))
	h.Set(call.HeaderEvent, eventName(a.Event))
	h.Set(call.HeaderLoad, strconv.FormatFloat(a.Load, 'f', 3, 64))
	h.Set(call.HeaderEpoch, a.Epoch.String())
	h.Set(call.HeaderMember, string(a.Upstream))
	h.Set(call.HeaderRetryAfterMs, strconv.FormatInt(a.RetryAfter.Milliseconds(), 10))
	for _, n := range []string{"Connection", "Keep-Alive"} {
		// They concern the upstream's connection.
		h.Del(n)
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type that the upstream did not send.
		h["Content-Type"] = nil
	}
}

func decodeAnswer(status int, h http.Header, body []byte) call.Answer {
	r := outcome.Reason(h.Get(call.HeaderReason))
	a := call.Answer{
		Outcome:  outcome.Outcome(h.Get(call.HeaderOutcome)),
		Event:    parseEvent(h.Get(call.HeaderEvent), r),
		Reason:   r,
		Status:   status,
		Epoch:    ident.Epoch(atoi(h.Get(call.HeaderEpoch))),
		Upstream: ident.Upstream(h.Get(call.HeaderMember)),
		Body:     body,
	}
	if l, err := strconv.ParseFloat(h.Get(call.HeaderLoad), 64); err == nil {
		a.Load = l
	}
	a.RetryAfter = time.Duration(atoi(h.Get(call.HeaderRetryAfterMs))) * time.Millisecond
	StripHeaders(h)
	a.Header = h
	return a
}

func eventName(e outcome.Event) string {
	switch e.(type) {
	case outcome.Completed:
		return "Completed"
	case outcome.NeverWritten:
		return "NeverWritten"
	case outcome.Refused:
		return "Refused"
	case outcome.Rejected:
		return "GivenUp"
	default:
		return "Broken"
	}
}

// parseEvent returns the event, which says how the attempt ended, from its name in a header and its reason. An unknown
// name counts as Broken, the worst case: the request may have run.
func parseEvent(n string, r outcome.Reason) outcome.Event {
	switch n {
	case "Completed":
		return outcome.Completed{}
	case "NeverWritten":
		return outcome.NeverWritten{Reason: r}
	case "Refused":
		return outcome.Refused{Reason: r}
	case "GivenUp":
		return outcome.Rejected{Reason: r}
	default:
		return outcome.Broken{Reason: r}
	}
}

// atoi parses a number in a header; anything else counts as zero.
func atoi(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}
