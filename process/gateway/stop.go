package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// notReadyTime is how long the VM reports not ready at a planned stop before it stops accepting connections. The
	// platform's load balancer checks readiness once a second; the time covers two checks.
	notReadyTime = 2500 * time.Millisecond
	// abandonMargin is the part of the grace time that is left when the last requests in flight are abandoned, and
	// exitMargin the part that is left when the process ends.
	abandonMargin = 400 * time.Millisecond
	exitMargin    = 100 * time.Millisecond
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
	time.Sleep(min(notReadyTime, g.settings.Grace/2))
	err := s.close()
	if drainErr := g.drain(began.Add(g.settings.Grace-abandonMargin), s, forwarded); drainErr == nil {
		g.log.Info().Msg("planned stop ends")
		return err
	}
	g.inFlight.logRest()
	g.abandon(errStopping)
	drainErr := g.drain(began.Add(g.settings.Grace-exitMargin), s, forwarded)
	g.log.Warn().AnErr("Unanswered", drainErr).Msg("planned stop ends; requests in flight were abandoned")
	return err
}

// drain waits until all requests have been answered and their connections have ended; it fails at the deadline.
func (g *Gateway) drain(deadline time.Time, s *callerServer, forwarded *http.Server) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return errors.Join(s.shutdown(ctx), forwarded.Shutdown(ctx), g.listener.Load().Wait(ctx))
}
