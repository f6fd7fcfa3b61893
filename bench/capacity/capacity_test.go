package capacity

import (
	"math"
	"testing"
)

// TestFit fits a line through points that lie on one.
func TestFit(t *testing.T) {
	l := Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	if math.Abs(l.Intercept-3) > 1e-9 || math.Abs(l.Slope-2) > 1e-9 {
		t.Errorf("Fit = %+v, want 3 + 2x", l)
	}
}

// TestGenerate checks that a generated configuration has the requested number of targets.
func TestGenerate(t *testing.T) {
	n := 0
	for _, s := range Generate(1000).Service {
		n += len(s.Upstream)
	}
	if n != 1000 {
		t.Errorf("targets = %d, want 1000", n)
	}
}
