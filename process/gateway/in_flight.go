package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// inFlight holds the requests of callers that are being handled. It is safe for concurrent use.
type inFlight struct {
	clock clock.Clock
	log   zerolog.Logger

	mu       sync.Mutex
	requests map[*flight]struct{}
	// panics counts the requests that ended with a panic, disconnected those whose caller was gone at their end, and
	// abandoned those that were in flight at the end of the grace time.
	panics, disconnected, abandoned uint64
}

// flight is a request that is being handled.
type flight struct {
	id, host, path string
	began          clock.Instant
}

func newInFlight(c clock.Clock, l zerolog.Logger) *inFlight {
	return &inFlight{clock: c, log: l, requests: map[*flight]struct{}{}}
}

// track returns a handler that handles requests with next and holds them meanwhile; header names their id. A request
// whose handler panics is answered all the same, since net/http would close its connection without an answer.
func (t *inFlight) track(header string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := &flight{id: r.Header.Get(header), host: r.Host, path: r.URL.Path, began: t.clock.Now()}
		t.begin(f)
		s := &statusWriter{ResponseWriter: w}
		defer func() {
			p := recover()
			t.end(f, r, p)
			if p != nil {
				s.writeInternalError(header, f.id)
			}
		}()
		next.ServeHTTP(s, r)
	})
}

func (t *inFlight) begin(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[f] = struct{}{}
}

// end removes a request, whose handler has ended with the panic p unless that is nil.
func (t *inFlight) end(f *flight, r *http.Request, p any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, f)
	switch {
	case p != nil:
		t.panics++
		t.describe(t.log.Error(), f).Str("Panic", fmt.Sprint(p)).Bytes("Stack", debug.Stack()).
			Msg("panic while handling a request")
	case errors.Is(context.Cause(r.Context()), errStopping):
		t.abandoned++
	case r.Context().Err() != nil:
		t.disconnected++
		t.describe(t.log.Info(), f).Msg("caller disconnected before its answer")
	}
}

// describe adds what identifies a request to a log line.
func (t *inFlight) describe(e *zerolog.Event, f *flight) *zerolog.Event {
	return e.Str("Request", f.id).Str("Host", f.host).Str("Path", f.path).Dur("Took", t.clock.Now().Sub(f.began))
}

// logRest logs the requests that are still being handled.
func (t *inFlight) logRest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.requests {
		t.describe(t.log.Warn(), f).Msg("request abandoned at the end of the planned stop")
	}
}

// inFlightCounts are the number of requests in flight and those of requests that ended without the answer of a target.
type inFlightCounts struct {
	requests                        int
	panics, disconnected, abandoned uint64
}

func (t *inFlight) counts() inFlightCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return inFlightCounts{
		requests: len(t.requests), panics: t.panics, disconnected: t.disconnected, abandoned: t.abandoned,
	}
}

// statusWriter knows whether the status of an answer has been written.
type statusWriter struct {
	http.ResponseWriter
	written bool
}

// WriteHeader writes the status.
func (w *statusWriter) WriteHeader(status int) {
	w.written = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the status 200 unless another one has been written.
func (w *statusWriter) Write(b []byte) (int, error) {
	w.written = true
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer behind this one, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// writeInternalError answers the request with the given id, which may have run. If an answer has begun it can't be
// completed, so that the connection is closed.
func (w *statusWriter) writeInternalError(header, id string) {
	if w.written {
		panic(http.ErrAbortHandler)
	}
	d := w.Header()
	clear(d)
	if id != "" {
		d.Set(header, id)
	}
	a := call.Unknown(outcome.InternalError)
	d.Set(call.HeaderOutcome, string(a.Outcome))
	d.Set(call.HeaderReason, string(a.Reason))
	w.WriteHeader(a.Status)
}
