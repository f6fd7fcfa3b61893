package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// durationBuckets are the bounds of the histogram of durations, in seconds.
var durationBuckets = prometheus.ExponentialBuckets(0.005, 2, 11)

// metrics counts what callers get and what this VM believes.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

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
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "amaranthramp_gateway_log_lines_dropped_total", Help: "Log lines that were dropped for lack of room.",
	}, func() float64 { return float64(g.dropped()) })
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

func (m *metrics) observe(o *route.Route, a *call.Answer, d time.Duration) {
	m.requests.WithLabelValues(string(o.Name), string(a.Outcome), string(a.Reason)).Inc()
	m.duration.WithLabelValues(string(o.Name)).Observe(d.Seconds())
}
