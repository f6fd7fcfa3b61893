package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/amaranthramp/amaranthramp/request/admission"
	"github.com/amaranthramp/amaranthramp/request/candidate"
)

// Descriptions of the metrics of admission control. Priorities below the lowest one count as the lowest.
var (
	decisionsDesc = prometheus.NewDesc("amaranthramp_gateway_admission_decisions_total",
		"Requests by priority and decision: admitted at once, waited for a turn, rejected on arrival (full: the wait would "+
			"be too long; late: it would be late and others need the capacity), sent to a target, or gave up.",
		[]string{"priority", "decision"}, nil)
	waitDesc = prometheus.NewDesc("amaranthramp_gateway_admission_wait_seconds_total",
		"Time for which requests that were sent looked for a target, by priority.", []string{"priority"}, nil)
	saturatedDesc = prometheus.NewDesc("amaranthramp_gateway_saturated",
		"Whether a service is saturated.", []string{"service"}, nil)
	successDesc = prometheus.NewDesc("amaranthramp_gateway_admission_success_share",
		"Share of the attempts to find a target with capacity that succeeded, over about a second.", []string{"service"}, nil)
	waitingDesc = prometheus.NewDesc("amaranthramp_gateway_admission_waiting",
		"Requests that wait for a turn.", []string{"service"}, nil)
)

// admissionCollector exports the state of admission control.
type admissionCollector struct {
	chooser *candidate.Chooser
}

// Describe sends the descriptions of the metrics.
func (c *admissionCollector) Describe(d chan<- *prometheus.Desc) {
	for _, v := range []*prometheus.Desc{decisionsDesc, waitDesc, saturatedDesc, successDesc, waitingDesc} {
		d <- v
	}
}

// Collect sends the metrics of all services. The decisions of all services are counted together.
func (c *admissionCollector) Collect(m chan<- prometheus.Metric) {
	total := admission.Load{}
	for _, l := range c.chooser.Loads() {
		name := string(l.Service)
		saturated := 0.0
		if l.Saturated {
			saturated = 1
		}
		m <- prometheus.MustNewConstMetric(saturatedDesc, prometheus.GaugeValue, saturated, name)
		m <- prometheus.MustNewConstMetric(successDesc, prometheus.GaugeValue, float64(l.Success), name)
		m <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(l.Waiting), name)
		for i := range l.Classes {
			total.Classes[i].Add(&l.Classes[i])
		}
	}
	for i := range total.Classes {
		collectClass(m, strconv.Itoa(i), &total.Classes[i])
	}
}

func collectClass(m chan<- prometheus.Metric, priority string, s *admission.Stats) {
	if *s == (admission.Stats{}) {
		return
	}
	for _, v := range []struct {
		decision string
		count    uint64
	}{
		{"admitted", s.Admitted}, {"waited", s.Waited}, {"full", s.Full}, {"late", s.Late}, {"sent", s.Sent},
		{"gave-up", s.GaveUp},
	} {
		m <- prometheus.MustNewConstMetric(
			decisionsDesc, prometheus.CounterValue, float64(v.count), priority, v.decision)
	}
	m <- prometheus.MustNewConstMetric(
		waitDesc, prometheus.CounterValue, float64(s.WaitSum)/float64(time.Second), priority)
}
