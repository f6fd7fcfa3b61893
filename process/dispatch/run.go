package dispatch

import (
	"context"
	"time"
)

// refreshInterval is how often schedulers apply the newest view when no request makes them do so.
const refreshInterval = 20 * time.Millisecond

// Run refreshes the schedulers and starts probes until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.refreshAll()
			d.startProbes(ctx)
		}
	}
}
