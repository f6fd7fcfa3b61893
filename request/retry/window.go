package retry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// intervalCount is the number of intervals that a window is divided into for counting.
	intervalCount = 40
	// ringSize is the number of intervals that are kept: those of a window and a half, and the current one, which is still
	// being counted.
	ringSize = intervalCount + intervalCount/2 + 1
)

// SlidingWindow is a sliding-window limit: the retries of a service within any period of the window's length may not
// exceed a share of its requests plus a fixed slack. The requests that count are those of the period that began half a
// window earlier: when a retry is decided on, those that follow in its own period are not known yet, and after a burst
// they are fewer than before.
//
// The limit is additive: if each VM applies it to its own requests with its part of the slack, it also holds for all
// VMs together.
//
// A process does not know the retries of the process that ran before it on the same VM. It therefore makes no use of
// the slack in its first window, which may contain those retries; the share needs no such delay, since each process
// counts its own requests only.
//
// It is safe for concurrent use.
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

// counts holds two ring buffers with the requests and retries of one service in each interval.
type counts struct {
	current  int64
	requests [ringSize]int
	retries  [ringSize]int
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
	c.requests[c.index(c.current)]++
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
	slack := 0.0
	if w.clock.Now() >= w.slackFrom {
		slack = w.slack()
	}
	if !c.allows(float64(w.share), slack) {
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
	c.retries[c.index(c.current)] += n
}

// allows reports whether one more retry keeps the limit in each period that ends now or later: those that begin in the
// current interval or in one of the window before it. An interval lies only partly within a period that begins or ends
// in it; to keep the limit strict, its retries count in full and its requests not at all.
func (c *counts) allows(share, slack float64) bool {
	retries := c.pending + 1
	for first := c.current; first >= c.current-intervalCount; first-- {
		retries += c.retries[c.index(first)]
		requests := 0
		for i := first - intervalCount/2 + 1; i <= min(first+intervalCount/2-1, c.current); i++ {
			requests += c.requests[c.index(i)]
		}
		if float64(retries) > share*float64(requests)+slack {
			return false
		}
	}
	return true
}

// index returns the index of an interval in the ring buffers.
func (c *counts) index(interval int64) int64 {
	return (interval%ringSize + ringSize) % ringSize
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
		if now-c.current > ringSize {
			c.current = now - ringSize
		}
		c.requests[c.index(c.current+1)] = 0
		c.retries[c.index(c.current+1)] = 0
	}
	return c
}
