package candidate

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestProbeRate checks that the probes of all VMs together stay within what the settings allow at a target.
func TestProbeRate(t *testing.T) {
	for _, allowed := range []float64{0, 5, 20, 60} {
		c := New(nil, nil, "vm", "a", nil, func() int { return 1 }, allowed, clock.NewFake(), zerolog.Nop())
		if c.probes <= 0 || allowed > 0 && c.probes > allowed {
			t.Errorf("%.0f probes a second where %.0f are allowed", c.probes, allowed)
		}
	}
}
