package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// notReadyTime is how long the VM reports not ready at a planned stop before it stops accepting connections. The
	// platform's load balancer checks readiness once a second; the time covers two checks.
	notReadyTime = 2500 * time.Millisecond
	// acceptedTime is how long the connections that were accepted last have to send their first request.
	acceptedTime = 300 * time.Millisecond
	// maxAbandonMargin bounds the part of the grace time that is left when the last requests in flight are abandoned, and
	// maxExitMargin the part that is left when the process ends. Both are smaller if the grace time is short, so that
	// requests are abandoned in the last sixth of it.
	maxAbandonMargin = 400 * time.Millisecond
	maxExitMargin    = 100 * time.Millisecond
)

// errStopping is the cause with which requests are abandoned near the end of the grace time.
var errStopping = errors.New("gateway: the grace time of the planned stop ends")

// stop performs the planned stop: it reports not ready, accepts connections for as long as the platform's load balancer
// may still send some, then finishes the requests in flight, those from other VMs too. Those that last too long get an
// answer that says whether they may have run.
func (g *Gateway) stop(s *callerServer, forwarded *http.Server) error {
	began := time.Now()
	g.draining.Store(true)
	g.log.Info().Msg("planned stop begins")
	d := g.settings.Grace
	time.Sleep(min(notReadyTime, d/2))
	err := s.close()
	time.Sleep(min(acceptedTime, d/20))
	abandonAt := began.Add(d - min(maxAbandonMargin, d/8))
	g.abandonAt.Store(int64(g.clock.Now().Add(time.Until(abandonAt))))
	if g.drain(abandonAt, s, forwarded) != nil {
		g.inFlight.logRest()
		g.abandon(errStopping)
		drainErr := g.drain(began.Add(d-min(maxExitMargin, d/40)), s, forwarded)
		g.log.Info().AnErr("Drain", drainErr).Msg("requests in flight were abandoned, or connections have not ended")
	}
	g.log.Info().Msg("planned stop ends")
	return err
}

// stopRetryAfter is the retry delay sent with the refusal of a request that may last longer than the planned stop. All
// other VMs take it at once.
const stopRetryAfter = 10 * time.Millisecond

// endsTooLate reports whether a request that has been read late in a planned stop may still be running when the last
// ones are abandoned, because of its deadline, which is zero if the caller names none, and the time limit of its
// route.
func (g *Gateway) endsTooLate(deadline clock.Instant, limit time.Duration) bool {
	end := clock.Instant(g.abandonAt.Load())
	if end == 0 {
		return false
	}
	if limit > 0 {
		if d := g.clock.Now().Add(limit); deadline == 0 || d < deadline {
			deadline = d
		}
	}
	return deadline == 0 || deadline > end
}

// drain waits until all requests have been answered and their connections have ended; it fails at the deadline.
func (g *Gateway) drain(deadline time.Time, s *callerServer, forwarded *http.Server) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	s.finish(ctx)
	return errors.Join(s.shutdown(ctx), forwarded.Shutdown(ctx), g.listener.Load().Wait(ctx))
}
