package control

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/link"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// drainTimeout bounds how long a stopping control process waits for its member to leave and its entry process to
	// stop.
	drainTimeout = 35 * time.Second
	// drainPollInterval is the interval between checks whether this member has left the epoch.
	drainPollInterval = 50 * time.Millisecond
	// lingerTime is how long a control process still answers other members' questions about its lease after its member
	// has left.
	lingerTime = 500 * time.Millisecond
)

// drain removes this member from the epoch and keeps serving the entry process meanwhile.
//
// An entry process that is stopping too is served until it disconnects, which it does once its requests have ended. One
// that keeps running is served only until other members own its shards, since the requests that it has in flight need
// no control process.
func (c *Control) drain() {
	e := c.session()
	if e == nil {
		return
	}
	c.membership.Leave()
	limit := time.After(drainTimeout)
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for !c.membership.HasLeft() || c.entryStopping.Load() {
		select {
		case <-e.conn.Done():
			return
		case <-limit:
			c.log.Warn().Msg("drain timed out with the entry process still connected")
			return
		case <-t.C:
		}
	}
	time.Sleep(lingerTime)
}

// handleLeave removes this member from the epoch, so that other members own its shards while its entry process drains.
func (c *Control) handleLeave(n *link.Conn, _ *wire.Leave) {
	e := c.session()
	if e == nil || e.conn != n {
		return
	}
	c.entryStopping.Store(true)
	c.membership.Leave()
}
