package target

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Defect is how a bad version misbehaves.
type Defect struct {
	// FailShare is the share of the responses that have status 500.
	FailShare float64
	// Slowness is how many times as long as normally a run takes; zero means that it is not slower.
	Slowness float64
	// After is the time from which the target is bad; zero means from the start.
	After time.Time
	// MinRunning is the number of requests that must run at the same time; zero means that the load does not matter.
	MinRunning int
	// Prefix is the prefix of the paths that are affected; empty means all.
	Prefix string
}

// SetDefect makes the target's version bad, or good again if d is nil.
func (t *Target) SetDefect(d *Defect) {
	t.defect.Store(d)
}

// Defect returns how the target's version is bad; nil if it is good.
func (t *Target) Defect() *Defect {
	return t.defect.Load()
}

// BadResponses returns how many responses have failed or been slow by the defect.
func (t *Target) BadResponses() int64 {
	return t.bad.Load()
}

// applyDefect returns by which factor the run of a request takes longer, and whether it fails.
func (t *Target) applyDefect(path string) (slower float64, fails bool) {
	d := t.defect.Load()
	if d == nil || time.Now().Before(d.After) || t.running.Load() < int64(d.MinRunning) ||
		!strings.HasPrefix(path, d.Prefix) {
		return 1, false
	}
	slower, fails = max(d.Slowness, 1), rand.Float64() < d.FailShare
	if slower > 1 || fails {
		t.bad.Add(1)
	}
	return slower, fails
}
