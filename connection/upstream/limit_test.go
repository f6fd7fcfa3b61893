package upstream

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

func newLimitedUpstream(c clock.Clock) *Upstream {
	s := NewSet(c, zerolog.Nop(), &exchange.Headers{}, exchange.NewBodyBudget(0), pool.DialTCP, partition.New())
	return s.Get(roster.Target{ID: "t", Service: "s", Address: "127.0.0.1:1"}, 0)
}

// TestLimitKeepsGap checks, for random waits and changes of the limit, that no two requests to a target that names a
// limit are closer together than the gap, and that the first one comes within a gap.
func TestLimitKeepsGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		u := newLimitedUpstream(c)
		gap := func(_ ident.Target, r ident.Rate) time.Duration {
			return time.Duration(float64(time.Second) / float64(r))
		}
		if ok, counted := u.TakeLimit(gap); !ok || counted || u.LimitWait(gap) != 0 {
			t.Fatal("request to a target without a limit denied or counted, want neither")
		}
		rate := ident.Rate(1)
		u.recordNotice(exchange.Notice{Limited: true, Limit: rate}, nil)
		named, last := c.Now(), clock.Instant(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "changed") == 0 {
				rate = ident.Rate(rapid.IntRange(1, 5).Draw(t, "rate"))
				u.recordNotice(exchange.Notice{Limited: true, Limit: rate}, nil)
			}
			waiting := u.LimitWait(gap) > 0
			ok, counted := u.TakeLimit(gap)
			if ok == waiting || counted != ok {
				t.Fatalf("allowed %t, counted %t, has to wait %t, want the third to differ from the others", ok, counted, waiting)
			}
			if ok && last != 0 && c.Now().Sub(last) < gap("t", rate) {
				t.Fatalf("two requests %s apart, want at least %s", c.Now().Sub(last), gap("t", rate))
			}
			if !ok && last == 0 && c.Now().Sub(named) > time.Second {
				t.Fatalf("no request allowed within %s, want one within the first gap", c.Now().Sub(named))
			}
			if ok {
				last = c.Now()
			}
		}
	})
}

// TestFirstSendsAreSpread checks that VMs that learn of a limit at the same time don't all send at once.
func TestFirstSendsAreSpread(t *testing.T) {
	const vms, gap = 200, 10 * time.Second
	c := clock.NewFake()
	early := 0
	for range vms {
		u := newLimitedUpstream(c)
		u.recordNotice(exchange.Notice{Limited: true, Limit: 1}, nil)
		if u.LimitWait(func(ident.Target, ident.Rate) time.Duration { return gap }) < gap/4 {
			early++
		}
	}
	// A quarter is expected; twice as many are next to impossible.
	if early == 0 || early > vms/2 {
		t.Errorf("%d of %d VMs may send in the first quarter of the gap, want about a quarter", early, vms)
	}
}

// TestLimitOutlivesRegistration checks that a target that comes back after its registration has expired is still known
// to have named a limit.
func TestLimitOutlivesRegistration(t *testing.T) {
	s := NewSet(clock.NewFake(), zerolog.Nop(), &exchange.Headers{}, exchange.NewBodyBudget(0), pool.DialTCP,
		partition.New())
	g := roster.Target{ID: "t", Service: "s", Address: "127.0.0.1:1", StartedAtMs: 7}
	s.Get(g, 0).recordNotice(exchange.Notice{Limited: true, Limit: 2}, nil)
	s.RetainRegistered(roster.New(nil, nil))
	if r, ok := s.Get(g, 0).Limit(); !ok || r != 2 {
		t.Errorf("limit %.1f, limited %t after the registration came back, want 2", r, ok)
	}
}
