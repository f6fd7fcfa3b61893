package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/amaranthramp/amaranthramp/process/platform"
)

// callCounter is implemented by stores that count their calls.
type callCounter interface {
	Calls() platform.Calls
}

// newRegistry returns a registry with the metrics of this control process; the runtime's metrics are in the default
// registry.
func (c *Control) newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	gauge := func(name, help string, f func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "amaranthramp_" + name, Help: help}, f))
	}
	gauge("configuration_version", "Version of the configuration that the control process knows.", func() float64 {
		return float64(c.spread.State().Version)
	})
	gauge("members", "Members of the newest epoch that is known.", func() float64 { return float64(len(c.members())) })
	gauge("leaving_upstreams", "Upstreams that the platform lists as leaving.", func() float64 {
		return float64(len(c.leaving.get()))
	})
	if s, ok := c.store.(callCounter); ok {
		registerCallMetrics(r, s)
	}
	return r
}

// registerCallMetrics registers counters of the calls to the platform, by kind.
func registerCallMetrics(r *prometheus.Registry, s callCounter) {
	add := func(kind string, f func(platform.Calls) uint64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "amaranthramp_platform_calls_total", Help: "Calls to the platform; a watch is one.",
			ConstLabels: prometheus.Labels{"Kind": kind},
		}, func() float64 { return float64(f(s.Calls())) }))
	}
	add("Read", func(c platform.Calls) uint64 { return c.Reads })
	add("Write", func(c platform.Calls) uint64 { return c.Writes })
	add("Watch", func(c platform.Calls) uint64 { return c.Watches })
	add("Failed", func(c platform.Calls) uint64 { return c.Failed })
	add("Held", func(c platform.Calls) uint64 { return c.Held })
}
