package entry

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// metrics holds the metrics of callers' requests.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// durationBuckets are the upper bounds of the buckets of the request duration histogram, in seconds.
var durationBuckets = prometheus.ExponentialBuckets(0.0005, 2, 14)

// newMetrics registers the metrics of an entry process; those of its work as an owner are read from e.
func newMetrics(r prometheus.Registerer, e *Entry) *metrics {
	f := promauto.With(r)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthramp_entry_in_flight", Help: "Requests that this owner has in flight at upstreams.",
	}, func() float64 { return float64(e.dispatcher.InFlight()) })
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthramp_entry_lease_seconds", Help: "Time that is left of the owner lease; below zero it has lapsed.",
	}, func() float64 { return e.views.Get().LeaseUntil.Sub(e.clock.Now()).Seconds() })
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthramp_entry_configuration_version", Help: "Version of the configuration in force.",
	}, func() float64 { return float64(e.views.Get().Version) })
	f.NewCounterFunc(prometheus.CounterOpts{
		Name: "amaranthramp_entry_probe_slot_seconds_total", Help: "Slot time of targets that this owner's probes used.",
	}, func() float64 { return e.dispatcher.ProbeSlotTime().Seconds() })
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthramp_entry_requests_total", Help: "Callers' requests by service, class, outcome and reason.",
		}, []string{"service", "class", "outcome", "reason"}),
		duration: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "amaranthramp_entry_request_seconds", Help: "Time from a caller's request to its answer.",
			Buckets: durationBuckets,
		}, []string{"service", "class"}),
	}
}

// forwarder processes calls and returns their final answers.
type forwarder interface {
	Do(ctx context.Context, c *call.Call) call.Answer
}

// countingForwarder counts the calls that it passes to another forwarder and measures their duration.
type countingForwarder struct {
	next    forwarder
	metrics *metrics
	clock   clock.Clock
}

// Do returns the final answer of a call.
func (n *countingForwarder) Do(ctx context.Context, c *call.Call) call.Answer {
	b := n.clock.Now()
	a := n.next.Do(ctx, c)
	s, k := string(c.Service), string(c.Class)
	n.metrics.requests.WithLabelValues(s, k, string(a.Outcome), string(a.Reason)).Inc()
	n.metrics.duration.WithLabelValues(s, k).Observe(n.clock.Now().Sub(b).Seconds())
	return a
}
