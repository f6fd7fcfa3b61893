package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// TestPanicIsAnswered guards against requests whose connection is closed without an answer because their handler
// panicked.
func TestPanicIsAnswered(t *testing.T) {
	const header = "Request-Id"
	l := newInFlight(clock.New(), zerolog.Nop())
	s := httptest.NewUnstartedServer(l.track(header, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "10")
		switch r.URL.Path {
		case "/begun":
			w.WriteHeader(http.StatusOK)
		case "/written":
			w.Header().Del("Content-Length")
			_, _ = io.WriteString(w, "part")
		}
		panic("fault")
	})))
	s.Start()
	defer s.Close()
	get := func(c *http.Client, path string) (*http.Response, error) {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set(header, "r1")
		p, err := c.Do(q)
		if err != nil {
			return nil, err
		}
		defer func() { _ = p.Body.Close() }()
		_, err = io.ReadAll(p.Body)
		return p, err
	}
	p, err := get(http.DefaultClient, "/")
	if err != nil || p.StatusCode != http.StatusBadGateway || p.Header.Get(header) != "r1" ||
		p.Header.Get(call.HeaderReason) != "internal-error" || p.Close {
		t.Errorf("response %v, error %v, want 502 with the request id and the reason internal-error", p, err)
	}
	// Without keep-alive the client does not retry.
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, path := range []string{"/begun", "/written"} {
		if _, err := get(c, path); err == nil {
			t.Errorf("%s: an answer that had begun looks complete after a panic", path)
		}
	}
	if n := l.counts(); n.panics != 3 || n.requests != 0 {
		t.Errorf("%d panics and %d requests in flight, want 3 and none", n.panics, n.requests)
	}
}
