package upstream

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// TestNotices plays random notices and waits against an oracle that holds all pauses: a target accepts requests again
// when the last pause is over, and never once it has announced that it leaves.
func TestNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		n := notices{}
		leaving := false
		var ends []clock.Instant
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "waits") {
				c.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			} else {
				r := exchange.Notice{
					Leaving:  rapid.IntRange(0, 19).Draw(t, "leaving") == 0,
					QuietFor: time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond,
				}
				n = n.record(c.Now(), r)
				leaving = leaving || r.Leaving
				ends = append(ends, c.Now().Add(r.QuietFor))
			}
			want := !leaving
			for _, e := range ends {
				want = want && c.Now() >= e
			}
			if got := n.accepts(c.Now()); got != want {
				t.Fatalf("accepts = %t, want %t", got, want)
			}
		}
	})
}

// TestNoticesOutliveRegistration checks that a target that has announced that it leaves gets no requests after its
// registration has expired and come back, but that its next incarnation does.
func TestNoticesOutliveRegistration(t *testing.T) {
	s := NewSet(clock.NewFake(), zerolog.Nop(), &exchange.Headers{}, exchange.NewBodyBudget(0), pool.DialTCP,
		partition.New())
	g := roster.Target{ID: "t", Service: "s", Address: "127.0.0.1:1", StartedAtMs: 7}
	s.Get(g, 0).recordNotice(exchange.Notice{Leaving: true}, nil)
	s.RetainRegistered(roster.New(nil, nil))
	if s.Get(g, 0).Accepts() {
		t.Error("leaving target accepts requests after its registration came back, want none")
	}
	g.StartedAtMs = 8
	if !s.Get(g, 0).Accepts() {
		t.Error("next incarnation does not accept requests, want it to")
	}
	for i := range 2 * maxDeparted {
		g.StartedAtMs = int64(100 + i)
		s.Get(g, 0).recordNotice(exchange.Notice{Leaving: true}, nil)
		s.RetainRegistered(roster.New(nil, nil))
	}
	if n := len(s.departed); n != maxDeparted || len(s.departures) != maxDeparted {
		t.Errorf("notices of %d departed targets are kept, want %d", n, maxDeparted)
	}
}
