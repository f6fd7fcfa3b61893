package relay

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/candidate"
)

const (
	// watchdogDelayFactor determines how long an attempt may take before the watchdog probes its target: this multiple of
	// the estimated latency, but at least minWatchdogDelay.
	watchdogDelayFactor = 3
	// minWatchdogDelay is as long as two slow periods of a shared machine.
	minWatchdogDelay = 300 * time.Millisecond
	// probeTimeout is the timeout of the probe. Targets respond to probes immediately.
	probeTimeout = 100 * time.Millisecond
	// responseGrace is how long to wait for a response in transit after the target has reported that it runs no requests.
	responseGrace = 30 * time.Millisecond
)

// watchdog cancels an attempt of an idempotent request if the target does not run it: because its response was lost, or
// because the target could not queue it and never responds. An attempt that the target may still be running is
// cancelled only if this VM is partitioned from the service, so that no response can arrive.
func (r *Relay) watchdog(ctx context.Context, cancel context.CancelCauseFunc, s *requestState, h *candidate.Choice) {
	delay := max(time.Duration(watchdogDelayFactor*h.Score*float64(r.latency.BaseLatency(s.route.Name))), minWatchdogDelay)
	for {
		if !clock.Sleep(ctx, delay) {
			return
		}
		if r.detours.Partitioned(s.call.Service) {
			r.log.Info().Str("Request", string(s.call.ID)).Str("Target", string(h.Upstream.Target.ID)).
				Msg("attempt cancelled: no target of the service responds to this VM")
			cancel(exchange.ErrNoPath)
			return
		}
		if !r.confirmLost(ctx, s, h) || !clock.Sleep(ctx, responseGrace) {
			continue
		}
		r.log.Info().Str("Request", string(s.call.ID)).Str("Target", string(h.Upstream.Target.ID)).
			Msg("attempt cancelled: target does not run the request")
		cancel(exchange.ErrNotRunning)
		return
	}
}

// confirmLost probes the target and reports whether it certainly does not run the attempt. It does not probe a target
// that leaves or has asked for a pause. A failed probe proves
// nothing, since a target that runs requests may have no connection to spare.
func (r *Relay) confirmLost(ctx context.Context, s *requestState, h *candidate.Choice) bool {
	if !h.Upstream.Accepts() {
		return false
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	p, n, err := h.Upstream.Probe(c, s.service.HealthPath)
	h.Upstream.Release(n)
	if err != nil {
		r.log.Info().Str("Request", string(s.call.ID)).Str("Target", string(h.Upstream.Target.ID)).Err(err).
			Msg("probe failed; target may still run the request")
		return false
	}
	return p.HasLoad && p.Running+p.Waiting == 0
}
