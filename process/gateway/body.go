package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/route"
)

const (
	// bodyTimeout is how long a caller that names no time limit may take to send a body, and how long any caller may take
	// to receive one, since the memory for it is held meanwhile.
	bodyTimeout = 30 * time.Second
	// roomRetryAfter is the retry delay sent with the refusal of a request whose body finds no room.
	roomRetryAfter = 500 * time.Millisecond
	// discardTime is how long the body of a refused request is read and dropped, so that a caller that reads the answer
	// only once it has sent all of the body gets it.
	discardTime = 2 * time.Second
)

// readBody reads the body of a request, up to the size limit of the configuration. It returns a reason if it can't.
func (h *handler) readBody(
	w http.ResponseWriter, r *http.Request, t *route.Table, l *exchange.BodyAccount,
) ([]byte, outcome.Reason) {
	limit := ident.Bytes(call.MaxBody)
	if n := t.Limits.BodyBytes; n > 0 {
		limit = n
	}
	if r.ContentLength == 0 {
		return []byte{}, ""
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(h.timeToRead(r.Header)))
	b, err := l.ReadRequest(r.Body, r.ContentLength, limit)
	if err != nil {
		// The deadline stays, so that the server doesn't wait for the rest of the body.
		return nil, reasonOfBodyError(err)
	}
	_ = c.SetReadDeadline(time.Time{})
	return b, ""
}

// reasonOfBodyError returns the reason to refuse a request whose body can't be read.
func reasonOfBodyError(err error) outcome.Reason {
	switch {
	case errors.Is(err, exchange.ErrBodyTooLarge):
		return outcome.TooLarge
	case errors.Is(err, exchange.ErrNoRoom):
		return outcome.Overload
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.Expired
	default:
		return outcome.BadRequest
	}
}

// unreadAnswer returns the answer to a request whose body can't be read. The caller may repeat the request, unless the
// body is too large or can't be understood.
func unreadAnswer(r outcome.Reason) call.Answer {
	switch r {
	case outcome.Overload:
		a := call.Rejected(r, http.StatusServiceUnavailable)
		a.RetryAfter = roomRetryAfter
		return a
	case outcome.Expired:
		return call.Rejected(r, http.StatusRequestTimeout)
	case outcome.TooLarge:
		return call.Rejected(r, http.StatusRequestEntityTooLarge)
	default:
		return call.Rejected(r, http.StatusBadRequest)
	}
}

// refuseUnread answers a request whose body has not been read to its end, and closes the connection.
func (h *handler) refuseUnread(w http.ResponseWriter, r *http.Request, a call.Answer) {
	c := http.NewResponseController(w)
	// The answer is sent before the rest of the body is read.
	_ = c.EnableFullDuplex()
	h.refuse(&closingWriter{w}, r, a, "body of the request not read")
	_ = c.Flush()
	if a.Reason != outcome.Overload && a.Reason != outcome.TooLarge || r.Header.Get("Expect") != "" {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, r.Body)
}

// closingWriter tells the caller that the connection closes after the answer.
type closingWriter struct{ http.ResponseWriter }

// WriteHeader sends the header with Connection: close.
func (w *closingWriter) WriteHeader(status int) {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(status)
}

// writeBody sends the body of an answer. The caller of a large one, for which memory is held, has limited time to
// receive it.
func writeBody(w http.ResponseWriter, b []byte) {
	if len(b) > exchange.SmallBody {
		c := http.NewResponseController(w)
		_ = c.SetWriteDeadline(time.Now().Add(bodyTimeout))
		defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	}
	// The caller may have disconnected; the HTTP server detects that itself.
	_, _ = w.Write(b)
}

// timeToRead returns how long the caller of a request with the given header may take to send its body.
func (h *handler) timeToRead(d http.Header) time.Duration {
	if n := h.timeRemaining(d); n > 0 {
		return min(n, bodyTimeout)
	}
	return bodyTimeout
}

// timeRemaining returns how long the caller of a request will wait; zero if it does not say so.
func (h *handler) timeRemaining(d http.Header) time.Duration {
	n, err := strconv.ParseInt(d.Get(h.headers.TimeRemaining), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
