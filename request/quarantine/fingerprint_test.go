package quarantine

import (
	"testing"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// TestTeamsAreApart checks that a request of one team that crashes targets is quarantined although the same request of
// another team succeeds in between, and that the other one is not: the answers to any team ended the suspicion.
func TestTeamsAreApart(t *testing.T) {
	of := func(n ident.Team) Fingerprint {
		return FingerprintOf("h.example", &call.Call{Method: "GET", Path: "/plan/status", Team: n})
	}
	c := clock.NewFake()
	b := New(c, 3)
	for _, u := range []ident.Upstream{"t-1", "t-2", "t-3"} {
		c.Advance(1)
		b.Begin(of("a"), u)
		c.Advance(1)
		b.End(of("a"), u, died)
		b.Begin(of("b"), u)
		b.End(of("b"), u, done)
	}
	if !b.Quarantined(of("a")) || b.Quarantined(of("b")) || b.Quarantined(of("")) {
		t.Errorf("quarantined: team a %t, team b %t, no team %t; want team a alone", b.Quarantined(of("a")),
			b.Quarantined(of("b")), b.Quarantined(of("")))
	}
}
