package dispatch

import (
	"context"
	"time"
)

// refreshInterval is how often schedules follow the view when no request makes them.
const refreshInterval = 20 * time.Millisecond

// Run keeps the schedules up to date until the context ends.
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
