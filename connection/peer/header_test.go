package peer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// TestCallRoundTrip checks that a forwarded call arrives as it was sent, and that the name of a class can't make a call
// idempotent that is not.
func TestCallRoundTrip(t *testing.T) {
	now := clock.NewFake().Now().Add(time.Minute)
	for _, class := range []ident.Class{"read", "a;b", "x;idempotent", "x;1;idempotent", ""} {
		for _, idempotent := range []bool{true, false} {
			c := &call.Call{
				ID: "id", Service: "s", Class: class, Idempotent: idempotent, Weight: 3, MaxAttempts: 2,
				Objective: now.Add(200 * time.Millisecond), Header: http.Header{"X-Own": {"1"}},
			}
			r := httptest.NewRequest(http.MethodGet, "/p", nil)
			r.Header = encodeCall(c, now)
			got := decodeCall(r, nil, now)
			if got.Class != class || got.Idempotent != idempotent || got.Weight != 3 || got.Service != "s" ||
				got.MaxAttempts != 2 || got.Objective != c.Objective {
				t.Errorf("call %+v, want %+v", got, c)
			}
			if got.Header.Get("X-Own") != "1" || got.Header.Get("User-Agent") != "" || got.Header.Get(call.HeaderClass) != "" {
				t.Errorf("header %v, want the caller's own only", got.Header)
			}
		}
	}
}
