package dispatch

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// TestProbes checks when a target is probed and how the result of a probe changes its state.
func TestProbes(t *testing.T) {
	const cost = 6 * time.Millisecond
	broken := func(ident.Address) exchange.Result {
		return exchange.Result{Event: outcome.NeverWritten{Reason: outcome.Unreachable}}
	}
	rows := []struct {
		name    string
		cost    time.Duration
		elapsed time.Duration
		leaving bool
		result  func(ident.Address) exchange.Result
		probes  int
		state   target.State
	}{
		{"idle and within the budget", cost, 2 * time.Second, false, completed, 1, target.Warm},
		{"recent answers", cost, time.Second / 2, false, completed, 0, target.Warm},
		{"probes not allowed", 0, 2 * time.Second, false, completed, 0, target.Warm},
		{"budget not earned yet", time.Second, 2 * time.Second, false, completed, 0, target.Warm},
		{"leaving", cost, 2 * time.Second, true, completed, 0, target.Leaving},
		{"failure", cost, 2 * time.Second, false, broken, 1, target.Suspect},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			b := newHarness(1)
			set := func() {
				b.setView(func(v *view.View) {
					v.Config.Service[0].ProbeCost = config.Duration(r.cost)
					v.Config.Budget.ProbeShare = 0.01
					v.LeavingUpstreams["notes-0"] = r.leaving
				}, 1)
			}
			for range 4 * minEvidence {
				b.setView(func(*view.View) {}, 1)
				b.call(true)
			}
			set()
			b.dispatcher.refreshAll()
			b.clock.Advance(r.elapsed)
			set()
			b.dispatcher.refreshAll()
			b.result = r.result
			o := b.dispatcher.allSchedulers()[0]
			l := b.dispatcher.dueProbes(o, "host", "/health")
			if len(l) != r.probes || len(b.dispatcher.dueProbes(o, "host", "/health")) != 0 {
				t.Fatalf("%d probes due, want %d, and none immediately afterwards", len(l), r.probes)
			}
			for _, p := range l {
				if n := b.dispatcher.InFlight(); n != 1 {
					t.Errorf("%d in flight during the probe, want 1", n)
				}
				b.dispatcher.runProbe(t.Context(), p)
			}
			if s := o.scheduler.targets[0].target.State(); s != r.state {
				t.Errorf("state %s of the target, want %s", s, r.state)
			}
		})
	}
}
