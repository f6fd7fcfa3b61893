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

// Headers that tell an upstream where a request came from.
const (
	headerForwardedFor  = "X-Forwarded-For"
	headerForwardedHost = "X-Forwarded-Host"
	headerVia           = "Via"
	via                 = "1.1 amaranthramp"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection only and are never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// upstreamHeaders inform the load balancer about the state of an upstream and are not forwarded to callers.
var upstreamHeaders = []string{call.HeaderLeaving, call.HeaderIncarnation}

// StripHop removes hop-by-hop headers, including those named in the Connection header.
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

// addForwarding adds the headers that tell the upstream where the request came from. The caller's address is appended
// to those that earlier proxies added to X-Forwarded-For.
func addForwarding(h http.Header, r *http.Request) {
	if a, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		l := append(h.Values(headerForwardedFor), a)
		h.Set(headerForwardedFor, strings.Join(l, ", "))
	}
	if h.Get(headerForwardedHost) == "" {
		h.Set(headerForwardedHost, r.Host)
	}
	h.Add(headerVia, via)
}

// write writes the response without the headers that are not meant for callers.
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

// setLength sets the Content-Length. A response without a body keeps the length that the upstream stated, which for a
// HEAD request is the length of the body that GET would return.
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
