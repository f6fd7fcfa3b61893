package exchange

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// minRecheckInterval is the least time between two checks of an exchange that still waits for its response after the
// response timeout.
const minRecheckInterval = 5 * time.Millisecond

// stallWatch watches one exchange and aborts it when its connection or its address no longer responds.
type stallWatch struct {
	exchanger *Exchanger
	conn      *pool.Conn
	// abortable is whether the request may be sent elsewhere.
	abortable bool
	// responseTimeout is how long the response may take before the connection is suspected to be stalled.
	// addressTimeout, half of the time to the deadline, is how long the address may go without any response before it
	// counts as unresponsive.
	responseTimeout, addressTimeout time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	aborted bool
}

// startStallWatch starts a watch that lasts until the deadline. It aborts only the first attempt of an idempotent
// request, since only that one can be sent elsewhere; other attempts wait for a late response.
func (e *Exchanger) startStallWatch(n *pool.Conn, c *call.Call) *stallWatch {
	left := c.Deadline.Sub(n.Sent)
	w := &stallWatch{
		exchanger: e, conn: n, abortable: c.Idempotent && c.Attempt <= 1,
		responseTimeout: e.latency.responseTimeout(), addressTimeout: left / 2,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d := min(w.responseTimeout, w.addressTimeout); d < left {
		w.timer = time.AfterFunc(d, w.onTimeout)
	}
	return w
}

// onTimeout runs when the response has taken longer than the timeout.
func (w *stallWatch) onTimeout() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.exchanger.pool.EvictSuspects(w.conn)
	w.exchanger.latency.backOff()
	if w.abortable {
		w.abortIfStalled()
	}
}

// recheck runs repeatedly after the timeout, until the watch stops or aborts the exchange.
func (w *stallWatch) recheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.abortIfStalled()
	}
}

// abortIfStalled aborts the exchange when the connection is stalled or the address is unresponsive, else it schedules a
// recheck. The connection is stalled when the response timeout is over and a request sent later on another connection
// has been answered. The address is unresponsive when it has responded to nothing for half of the time to the deadline.
// That opens the breaker, so that other requests go elsewhere; this request is aborted at once if another request had
// already opened the breaker, else after three quarters of the time. A target that responds slowly is not unresponsive.
func (w *stallWatch) abortIfStalled() {
	b := &w.exchanger.breaker
	now := w.exchanger.clock.Now()
	waited := now.Sub(w.conn.Sent)
	stalled := waited >= w.responseTimeout && w.exchanger.pool.HasLaterResponse(w.conn)
	if waited >= w.addressTimeout && !b.respondedSince(w.conn.Sent) {
		stalled = stalled || !b.recordTimeout(w.conn.Sent, now) || waited >= w.addressTimeout+w.addressTimeout/2
	}
	if stalled {
		w.aborted = true
		abortIO(w.conn)
		return
	}
	w.timer = time.AfterFunc(max(min(w.responseTimeout, w.addressTimeout)/2, minRecheckInterval), w.recheck)
}

// stop ends the watch and reports whether the exchange was not aborted.
func (w *stallWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return !w.aborted
}
