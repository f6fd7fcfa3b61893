package membership

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// TestPastEpochs checks that past epochs are kept for the default retention of idempotency keys, and that the end of a
// dropped one is in PastCut, because a service may have a longer retention.
func TestPastEpochs(t *testing.T) {
	t.Parallel()
	const older = config.DefaultKeyRetention + time.Second
	start := time.UnixMilli(1_000_000_000)
	for _, c := range []struct {
		name   string
		ends   int
		pause  time.Duration
		kept   int
		oldest uint64
		cut    int64
	}{
		{"few", 3, time.Second, 3, 1, 0},
		{"as many as fit", maxPastEpochs, time.Second, maxPastEpochs, 1, 0},
		{"two more than fit", maxPastEpochs + 2, time.Second, maxPastEpochs, 3, start.Add(time.Second).UnixMilli()},
		{"older than the retention", 3, older, 1, 3, start.Add(older).UnixMilli()},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &wire.Epoch{}
			for i := range c.ends {
				n.Number = uint64(i + 1)
				addPastEpoch(n, start.Add(time.Duration(i)*c.pause))
			}
			if len(n.GetPast()) != c.kept || n.GetPast()[0].GetNumber() != c.oldest || n.GetPastCut() != c.cut {
				t.Errorf("got %d past epochs, the oldest %d, cut at %d; want %d, the oldest %d, cut at %d",
					len(n.GetPast()), n.GetPast()[0].GetNumber(), n.GetPastCut(), c.kept, c.oldest, c.cut)
			}
		})
	}
}

// TestEarlierEpochsAreBounded checks that the members don't change while too many earlier epochs have open tenures, and
// that all shards are served once these can be closed.
func TestEarlierEpochsAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	for i := range 30 {
		n := f.nodes[i%len(f.nodes)]
		n.kill()
		noError(t, f.advance(300*time.Millisecond))
		n.startControl()
		n.startEntry()
		if l := len(f.object.GetEarlier()); l > maxEarlierEpochs {
			t.Fatalf("the epoch object lists %d earlier epochs, want at most %d", l, maxEarlierEpochs)
		}
	}
	noError(t, f.advance(2*settleTime))
	if n := f.servedCount(); n != len(shards) || len(f.object.GetEarlier()) > 0 {
		t.Errorf("%d of %d shards are served and %d earlier epochs are listed, want all shards and no earlier epoch",
			n, len(shards), len(f.object.GetEarlier()))
	}
}
