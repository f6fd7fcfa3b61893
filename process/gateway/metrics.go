package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// durationBuckets are the upper bounds of the buckets for request durations, in seconds.
var durationBuckets = prometheus.ExponentialBuckets(0.005, 2, 11)

// metrics holds the metrics of callers' requests.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// newMetrics registers the metrics of callers' requests, and those that report the state of the gateway.
func newMetrics(r prometheus.Registerer, g *Gateway) *metrics {
	f := promauto.With(r)
	gauge := func(name, help string, v func() float64) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Name: "amaranthramp_gateway_" + name, Help: help}, v)
	}
	gauge("configuration_version", "Version of the configuration in force.", func() float64 {
		if t := g.catalog.Get().Table; t != nil {
			return float64(t.Version)
		}
		return 0
	})
	gauge("targets", "Registered targets.", func() float64 { return float64(g.catalog.Get().Roster.Size()) })
	gauge("targets_ejected", "Targets that are not trusted.", func() float64 { return float64(g.countEjected()) })
	gauge("members", "VMs of the fleet, as far as is known.", func() float64 { return float64(g.fleet.Members()) })
	gauge("store_age_seconds", "Time since the store last confirmed what is known; -1 if it never did.", g.storeAge)
	gauge("reads_store", "Whether this VM reads the store for the others.", func() float64 {
		if reading, _ := g.follower.Reading(); reading {
			return 1
		}
		return 0
	})
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "amaranthramp_gateway_news_fetched_total", Help: "Updates that were fetched from a reader of the store.",
	}, func() float64 { return float64(g.fleet.Fetched()) })
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "amaranthramp_gateway_log_lines_dropped_total", Help: "Log lines that were dropped for lack of room.",
	}, func() float64 { return float64(g.droppedLines()) })
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthramp_gateway_requests_total", Help: "Callers' requests by what became of them.",
		}, []string{"route", "outcome", "reason"}),
		duration: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "amaranthramp_gateway_request_seconds", Help: "Time from a caller's request to its answer.",
			Buckets: durationBuckets,
		}, []string{"route"}),
	}
}

// storeAge returns the seconds since the store last confirmed the state of this VM, or -1 if it never did.
func (g *Gateway) storeAge() float64 {
	at := g.fleet.Confirmed()
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

// observe records the answer to a request and its duration.
func (m *metrics) observe(o *route.Route, a *call.Answer, d time.Duration) {
	m.requests.WithLabelValues(string(o.Name), string(a.Outcome), string(a.Reason)).Inc()
	m.duration.WithLabelValues(string(o.Name)).Observe(d.Seconds())
}
