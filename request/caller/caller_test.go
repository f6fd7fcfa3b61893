package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// stubForwarder records the last call and returns a fixed response to it.
type stubForwarder struct {
	answer call.Answer
	got    *call.Call
}

func (f *stubForwarder) Do(_ context.Context, c *call.Call) call.Answer {
	f.got = c
	return f.answer
}

func serve(f Forwarder, r *http.Request) *http.Response {
	v := view.NewHolder()
	v.Set(&view.View{Config: &config.Config{Service: []config.Service{{
		Name: "s", Host: "book", Class: []config.Class{
			{Name: "Browse", Methods: []string{"GET", "HEAD"}, PathPrefix: "/", Idempotent: true, Deadline: 1e9},
			{Name: "Claim", Methods: []string{"POST"}, PathPrefix: "/claim", Deadline: 1e9},
		},
	}}}})
	w := httptest.NewRecorder()
	New(v, f, clock.NewFake()).ServeHTTP(w, r)
	return w.Result()
}

func done(h http.Header, body string) call.Answer {
	return call.Answer{Outcome: outcome.Done, Status: http.StatusOK, Header: h, Body: []byte(body)}
}

// TestResponse checks the status and headers that the caller receives for each kind of final response.
func TestResponse(t *testing.T) {
	refused := call.NotRun(outcome.Overload)
	refused.RetryAfter = 40 * time.Millisecond
	rows := []struct {
		name, method, path string
		answer             call.Answer
		status             int
		want               http.Header
	}{
		{"complete response", "GET", "/a", done(http.Header{"X": {"1"}}, "ok"), 200, http.Header{
			"X": {"1"}, call.HeaderOutcome: {"done"}, "Content-Length": {"2"}, "Via": {"1.1 amaranthramp"},
		}},
		{"HEAD keeps the length", "HEAD", "/a", done(http.Header{"Content-Length": {"7"}}, ""), 200,
			http.Header{"Content-Length": {"7"}}},
		{"internal and hop-by-hop headers are removed", "GET", "/a", done(http.Header{
			call.HeaderLoad: {"1"}, call.HeaderLeaving: {"true"}, call.HeaderEpoch: {"1"}, "Keep-Alive": {"5"},
		}, ""), 200, http.Header{call.HeaderLoad: nil, call.HeaderLeaving: nil, call.HeaderEpoch: nil, "Keep-Alive": nil}},
		{"refused with a retry delay", "GET", "/a", refused, 503, http.Header{
			call.HeaderOutcome: {"not-run"}, call.HeaderReason: {"overload"}, "Retry-After": {"1"},
			call.HeaderRetryAfterMs: {"40"},
		}},
		{"unknown outcome", "POST", "/claim", call.Unknown(outcome.Reset), 502, http.Header{call.HeaderOutcome: {"unknown"}}},
		{"no matching class", "DELETE", "/a", call.Answer{}, 404, http.Header{
			call.HeaderOutcome: {"not-run"}, call.HeaderReason: {"no-class"}, "Retry-After": nil,
		}},
		{"request body too large", "POST", "/claim", call.Answer{}, 413, http.Header{call.HeaderOutcome: {"not-run"}}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			body := ""
			if r.status == http.StatusRequestEntityTooLarge {
				body = strings.Repeat("x", call.MaxBody+1)
			}
			q := httptest.NewRequest(r.method, "http://book"+r.path, strings.NewReader(body))
			p := serve(&stubForwarder{answer: r.answer}, q)
			if p.StatusCode != r.status {
				t.Errorf("status %d, want %d", p.StatusCode, r.status)
			}
			for n, v := range r.want {
				if got := strings.Join(p.Header.Values(n), ","); got != strings.Join(v, ",") {
					t.Errorf("%s: %q, want %q", n, got, v)
				}
			}
		})
	}
}

// TestCall checks how the call that is forwarded is derived from the caller's request.
func TestCall(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "http://book/claim?lot=1", strings.NewReader("b"))
	r.RemoteAddr = "127.0.0.9:1"
	for n, v := range map[string]string{
		"X-Forwarded-For": "10.0.0.1", "Connection": "close, X-Hop", "X-Hop": "1", call.HeaderKey: "k",
		call.HeaderAttempt: "2", call.HeaderDeadline: "20", call.HeaderShard: "forged", call.HeaderRequestID: "mine",
	} {
		r.Header.Set(n, v)
	}
	f := &stubForwarder{answer: done(nil, "")}
	p := serve(f, r)
	c := f.got
	if c.Key != "k" || c.Attempt != 2 || c.ID != "mine" || c.Idempotent || c.Path != "/claim?lot=1" || c.Shard != "" {
		t.Errorf("call %+v, want key k, attempt 2, ID mine, path /claim?lot=1, no shard, not idempotent", c)
	}
	if left := c.Deadline.Sub(clock.NewFake().Now()); left != 20*time.Millisecond {
		t.Errorf("deadline is in %s, want 20ms", left)
	}
	want := http.Header{
		"X-Forwarded-For": {"10.0.0.1, 127.0.0.9"}, "Via": {"1.1 amaranthramp"}, "X-Hop": nil, "Connection": nil,
		call.HeaderShard: nil, call.HeaderKey: {"k"}, "X-Forwarded-Host": {"book"},
	}
	for n, v := range want {
		if got := strings.Join(c.Header.Values(n), ","); got != strings.Join(v, ",") {
			t.Errorf("%s: %q, want %q", n, got, v)
		}
	}
	if p.Header.Get(call.HeaderRequestID) != "mine" {
		t.Errorf("request ID in the response %q, want %q", p.Header.Get(call.HeaderRequestID), "mine")
	}
}
