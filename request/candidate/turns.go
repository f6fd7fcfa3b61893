package candidate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/admission"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// maxTurns is how many requests probe a saturated service at the same time while the attempts succeed. After a failed
// attempt it is one. On a busy VM an attempt takes up to twice reportWait, so that 16 turns allow 400 attempts per
// second; with 4 turns such VMs rejected requests that targets had room for.
const maxTurns = 16

// turns holds the requests that wait for their turn to probe a service. The lock of the limiter guards it.
type turns struct {
	service *admission.Service
	// held is the number of turns at present.
	held int
	// ready holds for each waiting request the channel that is closed when it gets its turn.
	ready map[*admission.Request]chan struct{}
	// timed is whether a timer is set for reprobeAt.
	timed bool
	// logged is the number of changes of the saturation that were logged.
	logged uint64
}

func newTurns() turns {
	return turns{service: admission.New(), ready: map[*admission.Request]chan struct{}{}}
}

// arrive returns what happens to a request that has arrived or looks for another target after an attempt.
func (l *probeLimiter) arrive(now clock.Instant, q *Query) admission.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.Admission == nil {
		q.Admission = &admission.Request{Arrived: now, Deadline: q.Deadline}
	}
	if q.Admission.Known() {
		l.turns.service.Again(now, q.Admission)
		return admission.Wait{}
	}
	return l.turns.service.Arrive(now, q.Admission, rand.Float64())
}

// finish records the end of the choice and reports whether the service is saturated.
func (l *probeLimiter) finish(now clock.Instant, q *Query, found bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns.service.Finish(now, q.Admission, found)
	return l.turns.service.Saturated(now)
}

// end records how a request ended at the chosen target.
func (l *probeLimiter) end(now clock.Instant, r ident.Route, e outcome.Event, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.(type) {
	case outcome.Completed:
		l.turns.service.Respond(r, took)
	case outcome.Refused:
		l.turns.service.Shed(now)
	}
}

// retryAfter returns the delay after which the caller of a rejected request may return.
func (l *probeLimiter) retryAfter(now clock.Instant, q *Query) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.service.RetryAfter(now, q.Admission, rand.Float64())
}

// waitUntil returns when the choice for a request fails at present. While the service is saturated, that is earlier.
func (l *probeLimiter) waitUntil(now clock.Instant, q *Query) clock.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limitWait(now, q)
}

// limitWait sets and returns when the choice fails, and which targets may be chosen; the lock must be held.
func (l *probeLimiter) limitWait(now clock.Instant, q *Query) clock.Instant {
	q.until = q.WaitUntil
	if l.turns.service.Saturated(now) {
		q.until = min(q.WaitUntil, q.Admission.Arrived.Add(q.Admission.Hold()))
	}
	q.room = l.turns.service.Room(now, q.Admission.Priority)
	return q.until
}

// acquireTurn waits for the right to probe if the service is saturated or the last attempt failed. The result ok is
// false if the request ended, or if it may wait no longer before it might probe; held means that the calling function
// must call releaseTurn.
func (l *probeLimiter) acquireTurn(ctx context.Context, c clock.Clock, q *Query) (ok, held bool) {
	ready := l.enqueue(c, q)
	if ready == nil {
		return true, false
	}
	for {
		d := l.waitUntil(c.Now(), q).Sub(c.Now())
		if d <= 0 {
			return l.abandon(q)
		}
		if hold := q.Admission.Arrived.Add(q.Admission.Hold()).Sub(c.Now()); hold > 0 {
			// The service may become saturated meanwhile.
			d = min(d, hold)
		} else {
			d = min(d, reprobeDelay)
		}
		t := time.NewTimer(d)
		select {
		case <-ready:
			t.Stop()
			return true, true
		case <-ctx.Done():
			t.Stop()
			return l.abandon(q)
		case <-t.C:
		}
	}
}

// enqueue adds a request to those that wait for their turn, and returns a channel that is closed when it gets it. It
// returns nil if the request needs none.
func (l *probeLimiter) enqueue(c clock.Clock, q *Query) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := c.Now()
	l.limitWait(now, q)
	if !l.failed && !l.turns.service.Saturated(now) {
		return nil
	}
	ready := make(chan struct{})
	l.turns.ready[q.Admission] = ready
	l.turns.service.Enqueue(now, q.Admission)
	l.dispatch(c)
	return ready
}

// abandon ends the wait of a request, and reports whether it has got its turn meanwhile.
func (l *probeLimiter) abandon(q *Query) (ok, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, waiting := l.turns.ready[q.Admission]
	delete(l.turns.ready, q.Admission)
	l.turns.service.Leave(q.Admission)
	return false, !waiting
}

// dispatch gives turns to the first requests in the order; the lock must be held.
func (l *probeLimiter) dispatch(c clock.Clock) {
	now := c.Now()
	for {
		most := 1
		if !l.failed && l.turns.service.Saturated(now) {
			most = maxTurns
		}
		if l.turns.held >= most || len(l.turns.ready) == 0 {
			return
		}
		if l.failed && l.reprobeAt > now {
			l.dispatchAt(c, l.reprobeAt.Sub(now))
			return
		}
		r := l.turns.service.Grant(now)
		if r == nil {
			return
		}
		l.turns.held++
		close(l.turns.ready[r])
		delete(l.turns.ready, r)
	}
}

// dispatchAt gives turns after the given time; the lock must be held.
func (l *probeLimiter) dispatchAt(c clock.Clock, d time.Duration) {
	if l.turns.timed {
		return
	}
	l.turns.timed = true
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.turns.timed = false
		l.dispatch(c)
	})
}

// releaseTurn ends the turn that acquireTurn granted.
func (l *probeLimiter) releaseTurn(c clock.Clock) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns.held--
	l.dispatch(c)
}

// saturationChange returns the load of the service, and whether it has become or ceased to be saturated since the last
// call.
func (l *probeLimiter) saturationChange(now clock.Instant) (admission.Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.turns.service.Changes(now)
	if n == l.turns.logged {
		return admission.Load{}, false
	}
	l.turns.logged = n
	return l.turns.service.Load(now), true
}

// ServiceLoad is the load of a service as this VM sees it.
type ServiceLoad struct {
	Service ident.Service
	admission.Load
}

// Loads returns the loads of all services for which this VM has chosen targets, in the order of their names.
func (c *Chooser) Loads() []ServiceLoad {
	now := c.clock.Now()
	c.limiters.mu.Lock()
	defer c.limiters.mu.Unlock()
	l := make([]ServiceLoad, 0, len(c.limiters.byPool))
	for p, n := range c.limiters.byPool {
		if p.pool == "" {
			l = append(l, ServiceLoad{Service: p.service, Load: n.load(now)})
		}
	}
	slices.SortFunc(l, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return l
}

func (l *probeLimiter) load(now clock.Instant) admission.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.service.Load(now)
}
