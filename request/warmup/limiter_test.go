package warmup

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// TestRestartDoesNotRenewWarmupRate checks, for senders that are restarted at random, that no second contains more
// requests to a cold target than there are senders, as long as each of them may send less than one a second.
func TestRestartDoesNotRenewWarmupRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		n := rapid.IntRange(1, 6).Draw(t, "senders")
		start := func() *Limiter { return New(c, func(ident.Target, float64) int { return n }) }
		var senders []*Limiter
		for range n {
			senders = append(senders, start())
		}
		g := &roster.Target{ID: "t"}
		s := &route.Service{WarmupRate: 0.8 * float64(n)}
		var sent []clock.Instant
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "sender")
			switch {
			case rapid.IntRange(0, 5).Draw(t, "restart") == 0:
				senders[i] = start()
			case senders[i].Take(g, s):
				sent = append(sent, c.Now())
			}
			inSecond := 0
			for _, at := range sent {
				if c.Now().Sub(at) < time.Second {
					inSecond++
				}
			}
			if inSecond > n {
				t.Fatalf("%d requests within a second from %d senders, want at most one each", inSecond, n)
			}
		}
	})
}
