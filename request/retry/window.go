package retry

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// slices is how many parts a window is counted in.
const slices = 20

// Window bounds the retries of each service within any span of its length to a share of the requests in that span and a
// fixed slack. Shares of several VMs add up to that of all; it is safe for concurrent use.
type Window struct {
	clock clock.Clock
	share ident.Share
	slack func() float64
	part  time.Duration

	mu       sync.Mutex
	services map[ident.Service]*counts
}

// counts holds the requests and retries of one service, a slot for each part of the window and one that is filling.
type counts struct {
	at       int64
	requests [slices + 1]int
	retries  [slices + 1]int
}

// NewWindow returns a window of the given length; slack is what this VM may retry beyond the share.
func NewWindow(c clock.Clock, share ident.Share, slack func() float64, length time.Duration) *Window {
	return &Window{
		clock: c, share: share, slack: slack, part: length / slices, services: map[ident.Service]*counts{},
	}
}

// First notes a request of a caller.
func (w *Window) First(s ident.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(s)
	c.requests[c.at%(slices+1)]++
}

// Take spends one retry and reports false when none is left.
func (w *Window) Take(s ident.Service) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(s)
	requests, retries := 0, 0
	for i := range c.retries {
		retries += c.retries[i]
		// The oldest part is only partly in the window; what is left of it counts for retries, not for requests.
		if int64(i) != (c.at+1)%(slices+1) {
			requests += c.requests[i]
		}
	}
	if float64(retries+1) > float64(w.share)*float64(requests)+w.slack() {
		return false
	}
	c.retries[c.at%(slices+1)]++
	return true
}

// advance empties the parts that have passed since the last call.
func (w *Window) advance(s ident.Service) *counts {
	now := int64(w.clock.Now()) / int64(w.part)
	c, ok := w.services[s]
	if !ok {
		c = &counts{at: now}
		w.services[s] = c
	}
	for ; c.at < now; c.at++ {
		if now-c.at > slices {
			c.at = now - slices - 1
		}
		c.requests[(c.at+1)%(slices+1)] = 0
		c.retries[(c.at+1)%(slices+1)] = 0
	}
	return c
}
