package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// TestRouteLabelsAreBounded checks that routes whose names change with each configuration don't add up in the metrics:
// each route that was ever asked for kept a counter and a histogram until the process ended.
func TestRouteLabelsAreBounded(t *testing.T) {
	m := &metrics{
		routes:   newLabels(maxRouteLabels),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "r"}, []string{"route", "outcome", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "d"}, []string{"route"}),
	}
	for i := range 3 * maxRouteLabels {
		o := &route.Route{Name: ident.Route(fmt.Sprint("route-", i))}
		m.observe(o, nil, &call.Answer{Outcome: outcome.Done}, time.Millisecond)
	}
	c := make(chan prometheus.Metric, 10*maxRouteLabels)
	m.requests.Collect(c)
	m.duration.Collect(c)
	if n := len(c); n != 2*(maxRouteLabels+1) {
		t.Errorf("%d series after %d routes, want %d", n, 3*maxRouteLabels, 2*(maxRouteLabels+1))
	}
}
