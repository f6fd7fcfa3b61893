package gateway

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/rollout"
)

// RolloutDump is the roll-out of a service as this VM sees it.
type RolloutDump struct {
	Service    ident.Service
	NewVersion ident.TargetVersion
	// State and Phase are the furthest status that this VM knows; State is empty before the first one.
	State rollout.Progress
	Phase rollout.Phase
	// Use names the targets that a request may use now.
	Use string
	// Stopped is the reason why the new version is not used any more; empty if it is.
	Stopped string
	Closed  bool
	// SentOld and SentNew are the requests of this VM since it learned of the order, BadNew the bad responses of the new
	// version among them, and InFlightOld its requests in flight to old targets.
	SentOld, SentNew, BadNew uint64
	InFlightOld              int
	// AcknowledgedMsAgo is the time since the deciders last allowed this VM the use of the new version; -1 if they never
	// did.
	AcknowledgedMsAgo int64
	// Decider is what this VM knows as one of the deciders; nil if it is none.
	Decider *RolloutDecider `json:",omitempty"`
}

// RolloutDecider is the knowledge of a decider.
type RolloutDecider struct {
	Rank int
	// Verdict is "Undecided", "Good" or "Bad", and Reason says why.
	Verdict, Reason string
	// Quorum is true if enough deciders are in touch to let the new version be used.
	Quorum    bool
	Reporting int
	Old, New  rollout.Tally
}

var useNames = map[rollout.Use]string{
	rollout.UseAny: "Any", rollout.UseOld: "Old", rollout.UseProbe: "Probe", rollout.UseNewFirst: "NewFirst",
	rollout.UseNew: "New",
}

var verdictNames = map[rollout.Verdict]string{
	rollout.Undecided: "Undecided", rollout.Good: "Good", rollout.Bad: "Bad",
}

// dump returns the roll-outs of all services that have an order, by service.
func (r *rollouts) dump() []RolloutDump {
	var l []RolloutDump
	for _, s := range r.all() {
		if s.hasOrder() {
			l = append(l, r.dumpService(s))
		}
	}
	slices.SortFunc(l, func(a, b RolloutDump) int { return cmp.Compare(a.Service, b.Service) })
	return l
}

func (r *rollouts) dumpService(s *serviceRollout) RolloutDump {
	now := r.clock.Now()
	n := s.state.Snapshot(now)
	d := RolloutDump{
		Service: s.service, NewVersion: n.Version, State: n.State, Phase: n.Phase, Use: useNames[n.Use],
		Stopped: n.Stopped, Closed: n.Closed, SentOld: n.SentOld, SentNew: n.SentNew, BadNew: n.BadNew,
		InFlightOld: n.InFlightOld, AcknowledgedMsAgo: n.SinceAcknowledgement.Milliseconds(),
	}
	if n.SinceAcknowledgement >= now.Sub(0) {
		d.AcknowledgedMsAgo = -1
	}
	if q := s.decider.Snapshot(now); q.Rank >= 0 {
		d.Decider = &RolloutDecider{
			Rank: q.Rank, Verdict: verdictNames[q.Verdict], Reason: q.Reason, Quorum: q.Quorum, Reporting: q.Reporting,
			Old: q.Old, New: q.New,
		}
	}
	return d
}

// loggedRollout is the part of a dump whose changes are logged.
type loggedRollout struct {
	version         ident.TargetVersion
	state           rollout.Progress
	phase           rollout.Phase
	stopped         string
	closed          bool
	verdict, reason string
}

// logChanges logs each change of the state of a service's roll-out, with the evidence.
func (r *rollouts) logChanges(s *serviceRollout) {
	d := r.dumpService(s)
	n := loggedRollout{version: d.NewVersion, state: d.State, phase: d.Phase, stopped: d.Stopped, closed: d.Closed}
	if q := d.Decider; q != nil {
		n.verdict, n.reason = q.Verdict, q.Reason
		if n.verdict == verdictNames[rollout.Undecided] {
			n.reason = ""
		}
	}
	s.mu.Lock()
	changed := n != s.logged
	s.logged = n
	s.mu.Unlock()
	if !changed {
		return
	}
	e := r.log.Info().Str("Service", string(d.Service)).Str("NewVersion", string(d.NewVersion)).
		Str("State", string(d.State)).Str("Phase", string(d.Phase)).Str("Use", d.Use).Str("Stopped", d.Stopped).
		Bool("Closed", d.Closed).Uint64("SentOld", d.SentOld).Uint64("SentNew", d.SentNew).Uint64("BadNew", d.BadNew).
		Int("InFlightOld", d.InFlightOld)
	if q := d.Decider; q != nil {
		e.Int("Rank", q.Rank).Str("Verdict", q.Verdict).Str("Why", q.Reason).Bool("Quorum", q.Quorum).
			Int("Reporting", q.Reporting).Interface("Old", q.Old).Interface("New", q.New)
	}
	e.Msg("state of roll-out changed")
}

// Descriptions of the metrics of roll-outs. They have values only for services with an order.
var (
	rolloutStateDesc = prometheus.NewDesc("amaranthramp_gateway_rollout_state",
		"1 for the state and phase of the roll-out of a service, as this VM knows them.",
		[]string{"service", "state", "phase"}, nil)
	rolloutRequestsDesc = prometheus.NewDesc("amaranthramp_gateway_rollout_requests",
		"Requests of this VM to targets of the old and the new version since it learned of the order.",
		[]string{"service", "version"}, nil)
	rolloutBadDesc = prometheus.NewDesc("amaranthramp_gateway_rollout_bad_responses",
		"Failed or slow responses of the new version to this VM since it learned of the order.", []string{"service"}, nil)
	rolloutEvidenceDesc = prometheus.NewDesc("amaranthramp_gateway_rollout_evidence",
		"Responses of all VMs by version, as this VM knows them as a decider of the service.",
		[]string{"service", "version", "result"}, nil)
)

// Describe sends the descriptions of the metrics.
func (r *rollouts) Describe(d chan<- *prometheus.Desc) {
	d <- rolloutStateDesc
	d <- rolloutRequestsDesc
	d <- rolloutBadDesc
	d <- rolloutEvidenceDesc
}

// Collect sends the metrics of all services with an order.
func (r *rollouts) Collect(m chan<- prometheus.Metric) {
	for _, d := range r.dump() {
		gauge := func(n *prometheus.Desc, v uint64, labels ...string) {
			m <- prometheus.MustNewConstMetric(n, prometheus.GaugeValue, float64(v),
				append([]string{string(d.Service)}, labels...)...)
		}
		gauge(rolloutStateDesc, 1, string(d.State), string(d.Phase))
		gauge(rolloutRequestsDesc, d.SentOld, "old")
		gauge(rolloutRequestsDesc, d.SentNew, "new")
		gauge(rolloutBadDesc, d.BadNew)
		if d.Decider == nil {
			continue
		}
		for version, t := range map[string]rollout.Tally{"old": d.Decider.Old, "new": d.Decider.New} {
			gauge(rolloutEvidenceDesc, uint64(t.Responses), version, "responses")
			gauge(rolloutEvidenceDesc, uint64(t.Failures), version, "failures")
			gauge(rolloutEvidenceDesc, uint64(t.Timed), version, "timed")
			gauge(rolloutEvidenceDesc, uint64(t.Slow), version, "slow")
		}
	}
}
