package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/amaranthramp/amaranthramp/request/access"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/detour"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/version/route"
	"github.com/amaranthramp/amaranthramp/version/team"
)

// durationBuckets are the upper bounds of the buckets for request durations, in seconds.
var durationBuckets = prometheus.ExponentialBuckets(0.005, 2, 11)

// metrics holds the metrics of callers' requests.
type metrics struct {
	requests *prometheus.CounterVec
	// forwarded counts the requests that other VMs have sent here.
	forwarded *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	// byTeam counts callers' requests by team, and rejectedKeys those that were refused for lack of a valid API key.
	byTeam       *prometheus.CounterVec
	rejectedKeys *prometheus.CounterVec
	// routes and teams are the label values of routes and teams.
	routes, teams *labels
}

// maxRouteLabels bounds the routes that have a label value of their own in metrics.
const maxRouteLabels = 1000

// newMetrics registers the metrics of callers' requests, and those that report the state of the gateway.
func newMetrics(r prometheus.Registerer, g *Gateway) *metrics {
	f := promauto.With(r)
	registerGauges(&f, g)
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "amaranthramp_gateway_news_fetched_total",
		Help: "Fetches of changes in the store from a VM that reads it, after a lost datagram or a start of this VM.",
	}, func() float64 { return float64(g.fleet.FetchCount()) })
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "amaranthramp_gateway_log_lines_dropped_total",
		Help: "Log lines that were dropped because the queue was full or the rate limit was reached.",
	}, func() float64 { return float64(g.droppedLines()) })
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "amaranthramp_gateway_requests_left_total",
		Help: "Requests for which targets in another data centre were considered first, because those here were full.",
	}, func() float64 { return float64(g.loads.leftCount()) })
	r.MustRegister(&retryCollector{retries: g.retries}, &detourCollector{detours: g.detours},
		&allowanceCollector{limiter: g.limiter}, &admissionCollector{chooser: g.chooser}, &connectionCollector{gateway: g})
	return &metrics{
		routes: newLabels(maxRouteLabels), teams: newLabels(maxTeamLabels),
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthramp_gateway_requests_total",
			Help: "Callers' requests by route, outcome and reason; " + otherLabel +
				" stands for the routes beyond the number of those with a value of their own.",
		}, []string{"route", "outcome", "reason"}),
		forwarded: f.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthramp_gateway_forwarded_requests_total",
			Help: "Requests of VMs without a path to the targets, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		duration: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "amaranthramp_gateway_request_seconds", Help: "Time from a caller's request to its answer.",
			Buckets: durationBuckets,
		}, []string{"route"}),
		byTeam: f.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthramp_gateway_team_requests_total",
			Help: "Callers' requests by team and outcome; " + otherLabel +
				" stands for the teams beyond the number of those with a value of their own.",
		}, []string{"team", "outcome"}),
		rejectedKeys: f.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthramp_gateway_keys_rejected_total",
			Help: "Callers' requests that were refused for lack of a valid API key, by cause.",
		}, []string{"cause"}),
	}
}

// registerGauges registers the gauges that report the state of the gateway.
func registerGauges(f *promauto.Factory, g *Gateway) {
	gauge := func(name, help string, v func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: "amaranthramp_gateway_" + name, Help: help}, v)
	}
	gauge("configuration_version", "Version of the configuration in force.", func() float64 {
		if t := g.catalog.Get().Table; t != nil {
			return float64(t.Version)
		}
		return 0
	})
	gauge("teams", "Teams of the configuration in force.", func() float64 { return float64(g.teamCount()) })
	gauge("targets", "Registered targets.", func() float64 { return float64(g.catalog.Get().Roster.Size()) })
	gauge("targets_ejected", "Targets that are ejected after failures, or on trial after an ejection.", func() float64 {
		return float64(g.countEjected())
	})
	gauge("targets_limited", "Targets that name a limit of the requests that they take.", func() float64 {
		n := 0
		for _, u := range g.upstreams.All() {
			if _, ok := u.Limit(); ok {
				n++
			}
		}
		return float64(n)
	})
	gauge("services_partitioned",
		"Services none of whose targets responds to this VM, as far as it has had to do with them.", func() float64 {
			return float64(g.detours.PartitionedCount())
		})
	gauge("members", "VMs that this VM knows to be registered in the fleet; at least 1.", func() float64 {
		return float64(g.fleet.Members())
	})
	gauge("suspect_requests", "Requests under which a target has died, including those that are quarantined.",
		func() float64 { return float64(g.quarantine.Len()) })
	gauge("store_age_seconds",
		"Seconds since this VM's copy of the store was last known to be current; -1 if it never was.", g.storeAge)
	gauge("reads_store", "Whether this VM reads the store for the others.", func() float64 {
		if reading, _ := g.follower.Reading(); reading {
			return 1
		}
		return 0
	})
}

// storeAge returns the seconds since this VM's copy of the store's content was last known to be current, or -1 if it
// never was.
func (g *Gateway) storeAge() float64 {
	at := g.fleet.ConfirmedAt()
	if at == 0 {
		return -1
	}
	return g.clock.Now().Sub(at).Seconds()
}

// countEjected returns the number of targets that aren't trusted: they are ejected or on trial.
func (g *Gateway) countEjected() int {
	n := 0
	for _, u := range g.upstreams.All() {
		if !u.Trusted() {
			n++
		}
	}
	return n
}

// observe records the answer to a request of a team, which may be nil, and the request's duration.
func (m *metrics) observe(o *route.Route, t *team.Team, a *call.Answer, d time.Duration) {
	name := m.routes.of(string(o.Name))
	m.requests.WithLabelValues(name, string(a.Outcome), string(a.Reason)).Inc()
	m.duration.WithLabelValues(name).Observe(d.Seconds())
	if t != nil {
		m.byTeam.WithLabelValues(m.teams.of(string(t.Name)), string(a.Outcome)).Inc()
	}
	switch a.Reason {
	case outcome.Unauthorized:
		m.countRejectedKey(access.Removed)
	case outcome.Unconfirmed:
		m.countRejectedKey(access.CopyTooOld)
	}
}

// countRejectedKey counts a request that was refused for lack of a valid API key.
func (m *metrics) countRejectedKey(c access.Cause) {
	m.rejectedKeys.WithLabelValues(string(c)).Inc()
}

// retriesDesc describes the counter of retries.
var retriesDesc = prometheus.NewDesc("amaranthramp_gateway_retries_total",
	"Retries by service: allowed, or denied because the service's limit was reached.", []string{"service", "result"}, nil)

// retryCollector exports the counts of retries.
type retryCollector struct {
	retries *retry.SlidingWindow
}

// Describe sends the description of the counter.
func (c *retryCollector) Describe(d chan<- *prometheus.Desc) {
	d <- retriesDesc
}

// Collect sends the counts of each service.
func (c *retryCollector) Collect(m chan<- prometheus.Metric) {
	for _, s := range c.retries.Stats() {
		m <- prometheus.MustNewConstMetric(
			retriesDesc, prometheus.CounterValue, float64(s.Allowed), string(s.Service), "allowed")
		m <- prometheus.MustNewConstMetric(
			retriesDesc, prometheus.CounterValue, float64(s.Denied), string(s.Service), "denied")
	}
}

// detoursDesc describes the counter of requests through other VMs.
var detoursDesc = prometheus.NewDesc("amaranthramp_gateway_detours_total",
	"Requests sent through other VMs: passed on, refused since the other VM was not reached or has no path either, or "+
		"lost without an answer.", []string{"result"}, nil)

// detourCollector exports the counts of requests through other VMs.
type detourCollector struct {
	detours *detour.Router
}

// Describe sends the description of the counter.
func (c *detourCollector) Describe(d chan<- *prometheus.Desc) {
	d <- detoursDesc
}

// Collect sends the counts.
func (c *detourCollector) Collect(m chan<- prometheus.Metric) {
	s := c.detours.Stats()
	for _, v := range []struct {
		result string
		count  uint64
	}{{"passed", s.Passed}, {"refused", s.Refused}, {"lost", s.Lost}} {
		m <- prometheus.MustNewConstMetric(detoursDesc, prometheus.CounterValue, float64(v.count), v.result)
	}
}
