package candidate

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// workSmoothing is the part of each new sample in the mean: about the last twenty answers count.
const workSmoothing = 0.1

// Work learns how long the requests of each route take on an idle target at the usual pace; it is safe for concurrent
// use.
type Work struct {
	mu    sync.Mutex
	means map[ident.Route]float64
}

// NewWork returns an empty estimate.
func NewWork() *Work {
	return &Work{means: map[ident.Route]float64{}}
}

// Learn notes that a target with the score took the time for a request of the route.
func (w *Work) Learn(r ident.Route, score float64, took time.Duration) {
	if score <= 0 {
		return
	}
	n := float64(took) / score
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.means[r]
	if !ok {
		m = n
	}
	w.means[r] = m + workSmoothing*(n-m)
}

// Of returns the mean of a route, zero when nothing is known.
func (w *Work) Of(r ident.Route) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.means[r])
}
