package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/amaranthramp/amaranthramp/connection/listener"
)

var (
	inFlightDesc = prometheus.NewDesc("amaranthramp_gateway_requests_in_flight",
		"Callers' requests that are being handled.", nil, nil)
	givenUpDesc = prometheus.NewDesc("amaranthramp_gateway_requests_given_up_total",
		"Callers' requests that were given up: the handler panicked, the caller had disconnected, or the grace time of a "+
			"planned stop ended.", []string{"cause"}, nil)
	connectionErrorsDesc = prometheus.NewDesc("amaranthramp_gateway_caller_connection_errors_total",
		"What went wrong with callers' connections: accepting one failed, writing failed, or the connection was closed "+
			"with unread bytes.", []string{"error"}, nil)
)

// connectionCollector exports what became of callers' connections and of the requests on them.
type connectionCollector struct {
	gateway *Gateway
}

// Describe sends the descriptions of the metrics.
func (c *connectionCollector) Describe(d chan<- *prometheus.Desc) {
	d <- inFlightDesc
	d <- givenUpDesc
	d <- connectionErrorsDesc
}

// Collect sends the counts.
func (c *connectionCollector) Collect(m chan<- prometheus.Metric) {
	count := func(d *prometheus.Desc, n uint64, label string) {
		m <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), label)
	}
	n := c.gateway.inFlight.counts()
	m <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(n.requests))
	count(givenUpDesc, n.panics, "panic")
	count(givenUpDesc, n.disconnected, "disconnected")
	count(givenUpDesc, n.abandoned, "stop")
	var s listener.Stats
	if l := c.gateway.listener.Load(); l != nil {
		s = l.Stats()
	}
	count(connectionErrorsDesc, s.FailedAccepts, "accept")
	count(connectionErrorsDesc, s.FailedWrites, "write")
	count(connectionErrorsDesc, s.Unread, "unread")
}
