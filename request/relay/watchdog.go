package relay

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/candidate"
)

const (
	// silenceFactor is how many times its estimate an attempt may take before its target is asked whether it runs.
	silenceFactor = 3
	// minSilence is the least of that time: two spells in which a shared machine is slow.
	minSilence = 300 * time.Millisecond
	// askTimeout bounds the question; targets answer probes at once.
	askTimeout = 100 * time.Millisecond
	// answerGrace is how long an answer that is on its way may take after the target has shown that it runs nothing.
	answerGrace = 30 * time.Millisecond
)

// watchdog gives up an attempt of an idempotent request that its target does not run: one whose answer was lost, or
// one that the target could not queue and never answers. A target that may run it is not hurried.
func (r *Relay) watchdog(ctx context.Context, giveUp context.CancelCauseFunc, s *attempts, h *candidate.Choice) {
	silence := max(time.Duration(silenceFactor*h.Score*float64(r.work.Of(s.route.Name))), minSilence)
	for {
		if !clock.Sleep(ctx, silence) {
			return
		}
		if !r.lost(ctx, s, h) || !clock.Sleep(ctx, answerGrace) {
			continue
		}
		r.log.Info().Str("Request", string(s.call.ID)).Str("Target", string(h.Upstream.Target.ID)).
			Msg("attempt given up, its target does not run it")
		giveUp(exchange.ErrLost)
		return
	}
}

// lost asks the target and reports whether it surely does not run the attempt. No answer is no proof: a target at work
// may have no connection to spare.
func (r *Relay) lost(ctx context.Context, s *attempts, h *candidate.Choice) bool {
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	p, n, err := h.Upstream.Probe(c, s.service.HealthPath)
	h.Upstream.Release(n)
	if err != nil {
		r.log.Info().Str("Request", string(s.call.ID)).Str("Target", string(h.Upstream.Target.ID)).Err(err).
			Msg("target does not say whether it runs the request")
		return false
	}
	return p.HasLoad && p.Running+p.Waiting == 0
}
