package server

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// paddingBytes is the length of the padding that makes a response long enough to be truncated in the middle.
const paddingBytes = 256

// crossedID is the request id in a response that belongs to another request; no caller sends this id.
const crossedID ident.Request = "another-request"

// ResponseBody returns the complete response body for a request; load generators compare it with the body that they
// received.
func ResponseBody(id ident.Request) string {
	return string(id) + "\n" + strings.Repeat(".", paddingBytes) + "\n"
}

// responseFaults holds the faults of one response.
type responseFaults struct {
	cross, truncate, surplus, late bool
	lateBy                         time.Duration
}

// answer writes the response to a completed request, with the faults that are due.
func (s *Server) answer(w http.ResponseWriter, n *request) {
	f := s.takeFaults()
	id := n.id
	if f.late {
		time.Sleep(f.lateBy)
	}
	if f.cross {
		id = crossedID
		w.Header().Set(call.HeaderExchangeID, string(crossedID))
	}
	s.setHeaders(w, id)
	if f.cross {
		w.Header().Set(call.HeaderExchangeID, string(crossedID))
	}
	w.Header().Set(call.HeaderOutcome, string(outcome.Done))
	b := ResponseBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	switch {
	case f.truncate:
		_, _ = w.Write([]byte(b[:len(b)/2]))
		// Without the flush, the first half would never be sent.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case f.surplus:
		s.writeTwice(w, b)
	default:
		_, _ = w.Write([]byte(b))
	}
}

// takeFaults returns the faults of the next response and decrements their remaining counts.
func (s *Server) takeFaults() responseFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return responseFaults{
		cross: consume(&s.faults.crossLeft), truncate: consume(&s.faults.truncateLeft),
		surplus: consume(&s.faults.surplusLeft), late: consume(&s.faults.lateLeft), lateBy: s.faults.lateBy,
	}
}

// refuse responds that the request was not run.
func (s *Server) refuse(w http.ResponseWriter, n *request) {
	s.mu.Lock()
	s.report.Refused++
	s.mu.Unlock()
	s.setHeaders(w, n.id)
	w.Header().Set(call.HeaderOutcome, string(outcome.NotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setHeaders sets the headers of every response: request id, incarnation, load, and whether the upstream is leaving.
func (s *Server) setHeaders(w http.ResponseWriter, id ident.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := w.Header()
	h.Set(call.HeaderRequestID, string(id))
	h.Set(call.HeaderIncarnation, strconv.Itoa(s.incarnation.number))
	h.Set(call.HeaderLoad, strconv.Itoa(s.incarnation.loadHistory.get(s.clock.Now())))
	if s.faults.leavingSince != 0 {
		h.Set(call.HeaderLeaving, "true")
	}
}

// writeTwice writes the response twice, so that the second one belongs to no request.
func (s *Server) writeTwice(w http.ResponseWriter, b string) {
	h := w.Header().Clone()
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	for range 2 {
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n")
		_ = h.Write(buf)
		_, _ = fmt.Fprintf(buf, "\r\n%s", b)
	}
	_ = buf.Flush()
	// The connection stays open for a second, so that a client that reused it would read the surplus response.
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}
