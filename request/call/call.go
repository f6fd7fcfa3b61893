package call

import (
	"io"
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Call is a request from a caller that is to be sent to an upstream.
type Call struct {
	ID         ident.Request
	Service    ident.Service
	Class      ident.Class
	Shard      ident.Shard
	Idempotent bool
	Weight     ident.Weight
	// Attempt is greater than 1 if this is a retry by the caller or by the process that received the request from the
	// caller. The components that receive it then make no retries of their own.
	Attempt  ident.Attempt
	Key      ident.Key
	Deadline clock.Instant
	// SendBy is when the call is given up if it has not been written to a target, so that the answer arrives before the
	// deadline; zero means the deadline.
	SendBy clock.Instant
	// Objective is the time after which the response begins to lose value, and MaxAttempts is how many targets the call
	// may still be sent to; zero means that the receiver's own rules apply. A gateway sets them on a call that it sends
	// through another VM.
	Objective   clock.Instant
	MaxAttempts int
	// Team is the team of the caller; empty if the request has none.
	Team ident.Team
	// Credential is the API key of the caller. It is sent to other VMs, which check it again, but never to a target.
	Credential string
	// Waited is the estimated time since the caller's first attempt of the request; zero for a first attempt.
	Waited time.Duration
	// Priority is the priority of the caller's team or, without one, that of the route.
	Priority ident.Priority
	Method   string
	Path     string
	Host     string
	Header   http.Header
	Body     []byte
	// Bodies reads the bodies of the responses into memory that is held until the caller has its answer; if nil, the
	// sender's own bound applies.
	Bodies Bodies
}

// Bodies is the memory that the bodies of one request and of the responses to it hold.
type Bodies interface {
	// ReadResponse reads the body of a response of the given length in bytes, which is negative if it is unknown.
	ReadResponse(r io.Reader, length int64) ([]byte, error)
}

// Answer is the response to a call.
type Answer struct {
	Outcome outcome.Outcome
	// Event is the event that ended the last attempt.
	Event  outcome.Event
	Reason outcome.Reason
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is the delay after which the caller may retry; zero means that the response suggests no retry.
	RetryAfter time.Duration
	// Load is the number of queued requests per slot of the shard, as counted by the shard's owner at the time of the
	// response.
	Load float64
	// Epoch is the membership epoch of the shard's owner.
	Epoch ident.Epoch
	// Reached means that the request may have reached a target in any of its attempts. Only the relay sets it.
	Reached bool
	// Upstream is the upstream that sent the response, for the logs.
	Upstream ident.Upstream
}

// DefaultRetryAfter is the retry delay sent to callers with the responses of NotRun and Unknown.
const DefaultRetryAfter = time.Second

// NotRun returns the final response to a request that no upstream ran, with a retry delay.
func NotRun(r outcome.Reason) Answer {
	return Answer{
		Outcome:    outcome.NotRun,
		Event:      outcome.NeverWritten{Reason: r},
		Reason:     r,
		Status:     http.StatusServiceUnavailable,
		Header:     http.Header{},
		RetryAfter: DefaultRetryAfter,
	}
}

// Rejected returns the final response to a request that was rejected before it was sent to any upstream, for a reason
// that a retry would meet again.
func Rejected(r outcome.Reason, status int) Answer {
	return Answer{
		Outcome: outcome.NotRun, Event: outcome.Rejected{Reason: r}, Reason: r, Status: status, Header: http.Header{},
	}
}

// Unknown returns the final response to a request that an upstream may have run.
func Unknown(r outcome.Reason) Answer {
	return Answer{
		Outcome:    outcome.Unknown,
		Event:      outcome.Broken{Reason: r},
		Reason:     r,
		Status:     http.StatusBadGateway,
		Header:     http.Header{},
		RetryAfter: DefaultRetryAfter,
	}
}

// SetOutcome sets the outcome to that of all attempts of the request together. If the last attempt did not run but an
// earlier one may have, the response is replaced by that of Unknown.
func (a *Answer) SetOutcome(o outcome.Outcome) {
	if o == outcome.Unknown && a.Outcome == outcome.NotRun {
		u := Unknown(a.Reason)
		u.Load, u.Epoch, u.Upstream = a.Load, a.Epoch, a.Upstream
		*a = u
		return
	}
	a.Outcome = o
}
