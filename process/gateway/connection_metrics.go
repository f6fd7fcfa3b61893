package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/amaranthramp/amaranthramp/connection/listener"
)

var (
	inFlightDesc = prometheus.NewDesc("amaranthramp_gateway_requests_in_flight",
		"Callers' requests that are being handled.", nil, nil)
	unansweredDesc = prometheus.NewDesc("amaranthramp_gateway_requests_unanswered_total",
		"Callers' requests whose handling ended without an answer that the caller could read: the handler panicked, or the "+
			"caller had disconnected.", []string{"cause"}, nil)
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
	d <- unansweredDesc
	d <- connectionErrorsDesc
}

// Collect sends the counts.
func (c *connectionCollector) Collect(m chan<- prometheus.Metric) {
	count := func(d *prometheus.Desc, n uint64, label string) {
		m <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), label)
	}
	n, panics, disconnected := c.gateway.inFlight.counts()
	m <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(n))
	count(unansweredDesc, panics, "panic")
	count(unansweredDesc, disconnected, "disconnected")
	var s listener.Stats
	if l := c.gateway.listener.Load(); l != nil {
		s = l.Stats()
	}
	count(connectionErrorsDesc, s.FailedAccepts, "accept")
	count(connectionErrorsDesc, s.FailedWrites, "write")
	count(connectionErrorsDesc, s.Unread, "unread")
}
