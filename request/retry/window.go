package retry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// intervalCount is the number of intervals that a window is divided into for counting.
const intervalCount = 20

// SlidingWindow is a sliding-window limit: within any period of the window's length, the retries of a service may not
// exceed a share of its requests in that period plus a fixed slack. The limit is additive: if each VM applies it to its
// own requests with its part of the slack, it also holds for all VMs together. It is safe for concurrent use.
//
// A process does not know the retries of the process that ran before it on the same VM. It therefore makes no use of the
// slack in its first window, which may contain those retries; the share needs no such delay, since each process counts
// its own requests only.
type SlidingWindow struct {
	clock clock.Clock
	share ident.Share
	// slack returns how many retries this VM may make in a window beyond the share.
	slack    func() float64
	interval time.Duration
	// slackFrom is the end of the first window of the process.
	slackFrom clock.Instant

	mu       sync.Mutex
	services map[ident.Service]*counts
}

// counts holds two ring buffers with the requests and retries of one service: one element per interval of the window,
// and one for the current interval, which is still being counted.
type counts struct {
	current  int64
	requests [intervalCount + 1]int
	retries  [intervalCount + 1]int
	// pending is the number of retries that are allowed but not sent yet.
	pending int
	// allowed and denied count the calls of Take since the start of the process.
	allowed, denied uint64
}

// Stats counts the retries of one service since the start of the process.
type Stats struct {
	Service ident.Service
	Allowed uint64
	// Denied is the number of retries that were not made because the limit was reached.
	Denied uint64
}

// Stats returns the counts of each service, ordered by name.
func (w *SlidingWindow) Stats() []Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := make([]Stats, 0, len(w.services))
	for s, c := range w.services {
		l = append(l, Stats{Service: s, Allowed: c.allowed, Denied: c.denied})
	}
	slices.SortFunc(l, func(a, b Stats) int { return cmp.Compare(a.Service, b.Service) })
	return l
}

// NewSlidingWindow returns a limit over windows of the given length; slack returns how many retries this VM may make in
// a window beyond the share.
func NewSlidingWindow(c clock.Clock, share ident.Share, slack func() float64, length time.Duration) *SlidingWindow {
	return &SlidingWindow{
		clock: c, share: share, slack: slack, interval: length / intervalCount, slackFrom: c.Now().Add(length),
		services: map[ident.Service]*counts{},
	}
}

// RecordFirstAttempt records the first attempt of a caller's request.
func (w *SlidingWindow) RecordFirstAttempt(s ident.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(s)
	c.requests[c.current%(intervalCount+1)]++
}

// Retry is a retry that a SlidingWindow has allowed. It must be sent or cancelled.
type Retry struct {
	window  *SlidingWindow
	service ident.Service
	ended   bool
}

// Take allows one retry, or returns nil if the limit is reached.
func (w *SlidingWindow) Take(s ident.Service) *Retry {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(s)
	requests, retries := 0, c.pending
	for i := range c.retries {
		retries += c.retries[i]
		// The oldest interval lies only partly within the window. To keep the limit strict, its retries count in full
		// and its requests not at all.
		if int64(i) != (c.current+1)%(intervalCount+1) {
			requests += c.requests[i]
		}
	}
	limit := float64(w.share) * float64(requests)
	if w.clock.Now() >= w.slackFrom {
		limit += w.slack()
	}
	if float64(retries+1) > limit {
		c.denied++
		return nil
	}
	c.allowed++
	c.pending++
	return &Retry{window: w, service: s}
}

// Sent records that the retry is sent now. It may have waited for a target since it was allowed, and occupies its place
// in the window from now on. Only the first call of Sent or Cancel has an effect, and none on a nil retry.
func (r *Retry) Sent() {
	r.end(1)
}

// Cancel gives the retry back, because it has not been sent.
func (r *Retry) Cancel() {
	r.end(0)
}

// end ends the pending state of the retry, which has been sent n times.
func (r *Retry) end(n int) {
	if r == nil {
		return
	}
	r.window.mu.Lock()
	defer r.window.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	c := r.window.advance(r.service)
	c.pending--
	c.retries[c.current%(intervalCount+1)] += n
}

// advance moves the counts of a service to the current interval, clearing those that have started since the last call.
func (w *SlidingWindow) advance(s ident.Service) *counts {
	now := int64(w.clock.Now()) / int64(w.interval)
	c, ok := w.services[s]
	if !ok {
		c = &counts{current: now}
		w.services[s] = c
	}
	for ; c.current < now; c.current++ {
		if now-c.current > intervalCount {
			c.current = now - intervalCount - 1
		}
		c.requests[(c.current+1)%(intervalCount+1)] = 0
		c.retries[(c.current+1)%(intervalCount+1)] = 0
	}
	return c
}
