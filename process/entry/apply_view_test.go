package entry

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/settings"
	"github.com/amaranthramp/amaranthramp/wire"
)

// TestApplyViewLease checks that a lease is used only with the epoch and the member that it was granted for.
func TestApplyViewLease(t *testing.T) {
	const former, renewed = 100, 200
	for _, r := range []struct {
		name  string
		view  *wire.View
		epoch ident.Epoch
		lease clock.Instant
	}{
		{"renewal under the same epoch", &wire.View{Self: "m", EpochNumber: 5, LeaseUntil: renewed}, 5, renewed},
		{"renewal under an epoch that is not in use", &wire.View{Self: "m", EpochNumber: 6, LeaseUntil: renewed}, 5, former},
		{"renewal of another member", &wire.View{Self: "n", EpochNumber: 5, LeaseUntil: renewed}, 5, former},
		{"later epoch", viewOf("m", 6), 6, renewed},
		{"earlier epoch from a replaced link", viewOf("m", 4), 5, former},
		{"later epoch with an invalid configuration", &wire.View{
			Self: "m", Epoch: &wire.Epoch{Number: 6}, LeaseUntil: renewed, ConfigurationVersion: 2, Configuration: []byte("="),
		}, 6, renewed},
	} {
		t.Run(r.name, func(t *testing.T) {
			e := New(&settings.Settings{}, "i", clock.NewFake(), zerolog.Nop())
			v := viewOf("m", 5)
			v.LeaseUntil = former
			e.applyView(v)
			e.applyView(r.view)
			g := e.views.Get()
			if ident.Epoch(g.Epoch.GetNumber()) != r.epoch || g.LeaseUntil != r.lease {
				t.Errorf("got epoch %d and lease end %d, want %d and %d", g.Epoch.GetNumber(), g.LeaseUntil, r.epoch, r.lease)
			}
		})
	}
}

func viewOf(self string, epoch uint64) *wire.View {
	return &wire.View{Self: self, Epoch: &wire.Epoch{Number: epoch}, EpochNumber: epoch, LeaseUntil: 200}
}
