package caller

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// The headers by which an upstream learns where a request came from.
const (
	headerForwardedFor  = "X-Forwarded-For"
	headerForwardedHost = "X-Forwarded-Host"
	headerVia           = "Via"
	via                 = "1.1 amaranthramp"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// upstreamHeaders tell the system about an upstream and mean nothing to callers.
var upstreamHeaders = []string{call.HeaderLeaving, call.HeaderIncarnation}

// StripHop removes the headers that concern one connection, also those that Connection names.
func StripHop(h http.Header) {
	for _, l := range h.Values("Connection") {
		for n := range strings.SplitSeq(l, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopHeaders {
		h.Del(n)
	}
}

// addOrigin adds the caller's address to those of the proxies before it.
func addOrigin(h http.Header, r *http.Request) {
	if a, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		l := append(h.Values(headerForwardedFor), a)
		h.Set(headerForwardedFor, strings.Join(l, ", "))
	}
	if h.Get(headerForwardedHost) == "" {
		h.Set(headerForwardedHost, r.Host)
	}
	h.Add(headerVia, via)
}

func write(w http.ResponseWriter, a *call.Answer) {
	h := w.Header()
	id := h.Get(call.HeaderRequestID)
	length := a.Header.Get("Content-Length")
	for n, v := range a.Header {
		h[n] = v
	}
	peer.StripHeaders(h)
	StripHop(h)
	for _, n := range upstreamHeaders {
		h.Del(n)
	}
	if id != "" {
		h.Set(call.HeaderRequestID, id)
	}
	h.Set(call.HeaderOutcome, string(a.Outcome))
	if a.Reason != "" {
		h.Set(call.HeaderReason, string(a.Reason))
	}
	if a.RetryAfter > 0 {
		h.Set(call.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
		h.Set(call.HeaderRetryAfterMs, strconv.FormatInt(a.RetryAfter.Milliseconds(), 10))
	}
	h.Add(headerVia, via)
	setLength(h, a, length)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// setLength keeps the length that an answer without a body tells of another one, as to HEAD.
func setLength(h http.Header, a *call.Answer, length string) {
	switch {
	case len(a.Body) > 0:
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	case a.Status == http.StatusNoContent:
	case length != "":
		h.Set("Content-Length", length)
	default:
		h.Set("Content-Length", "0")
	}
}
