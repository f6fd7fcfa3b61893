package candidate

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// latencySmoothing is the weight of a new sample in the moving average; about the last 20 responses determine it.
const latencySmoothing = 0.1

// LatencyEstimator estimates, for each route, the base latency: how long a request takes on an idle target without
// slowdown. It is safe for concurrent use.
type LatencyEstimator struct {
	mu    sync.Mutex
	means map[ident.Route]float64
}

// NewLatencyEstimator returns an estimator without samples.
func NewLatencyEstimator() *LatencyEstimator {
	return &LatencyEstimator{means: map[ident.Route]float64{}}
}

// Observe adds a sample: a target with the given score took the given time for a request of the route.
func (e *LatencyEstimator) Observe(r ident.Route, score float64, took time.Duration) {
	if score <= 0 {
		return
	}
	n := float64(took) / score
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.means[r]
	if !ok {
		m = n
	}
	e.means[r] = m + latencySmoothing*(n-m)
}

// BaseLatency returns the estimated latency of a route on an idle target, or zero if there are no samples.
func (e *LatencyEstimator) BaseLatency(r ident.Route) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.means[r])
}
