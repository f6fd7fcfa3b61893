package probe

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestBudget checks that the probes of successive owners together never use more than their share of the slot time, and
// that an owner that tries often enough uses at least half of its share.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := clock.NewFake()
		r := Rate{
			Cost:  time.Duration(rapid.IntRange(0, 20).Draw(t, "cost")) * time.Millisecond,
			Share: ident.Share(rapid.Float64Range(0, 0.1).Draw(t, "share")), Slots: 2,
		}
		start, b, used := f.Now(), NewBudget(f.Now()), time.Duration(0)
		owners := rapid.IntRange(1, 3).Draw(t, "owners")
		for range owners {
			b = NewBudget(f.Now())
			for range 300 {
				f.Advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				if b.TryTake(f.Now(), r) {
					used += r.Cost
				}
				if d := f.Now().Sub(start); float64(used) > float64(d)*float64(r.Share)*float64(r.Slots)+1 {
					t.Fatalf("probes used %v of slot time within %v, want at most their share", used, d)
				}
			}
		}
		if b.Used() > b.Allowed(f.Now(), r)+1 {
			t.Fatalf("used %v of slot time, want at most the %v allowed", b.Used(), b.Allowed(f.Now(), r))
		}
		often := r.allowedSlotTime(100*time.Millisecond) < r.Cost/2
		if e := b.Allowed(f.Now(), r); often && e > 10*r.Cost && b.Used() < e/2 {
			t.Fatalf("used %v of slot time, want at least half of the %v allowed", b.Used(), e)
		}
	})
}
