package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/bench/plot"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// series holds the points of one variant at all loads.
type series struct {
	name   string
	points []*point
}

func writeHeader(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-24s %5s %8s %8s %8s %9s %8s %7s %7s %6s %8s %10s\n", "Policy", "Load", "p50 ms", "p99 ms",
		"p99.9 ms", "Requests", "Goodput", "Refused", "Unknown", "Cut", "Probes %", "Violations")
}

func (p *point) write(w io.Writer, name string) {
	t := p.result.Total()
	n := load.Violations(load.CheckInvariants(p.result, p.verdict))
	_, _ = fmt.Fprintf(w, "%-24s %4.0f%% %8.1f %8.1f %8.1f %9d %8.4f %7d %7d %6d %8.3f %10d\n", name, 100*p.load,
		load.Milliseconds(t.Quantile(50)), load.Milliseconds(t.Quantile(99)), load.Milliseconds(t.Quantile(99.9)),
		t.Requests, p.result.Goodput(), t.Outcomes[outcome.NotRun], t.Outcomes[outcome.Unknown], t.Outcomes[load.Cut],
		100*p.probeShare(), n)
}

// probeShare returns the slot time spent on probes as a share of all slot time.
func (p *point) probeShare() float64 {
	var probes, all time.Duration
	for i := range p.verdict.Upstream {
		u := &p.verdict.Upstream[i]
		probes += u.ProbeTime
		all += u.Up * time.Duration(u.Slots)
	}
	if all == 0 {
		return 0
	}
	return float64(probes) / float64(all)
}

// writeChart writes a chart of the 99th percentile of the latency over the load.
func writeChart(dir, title string, lines []series) error {
	c := plot.Chart{Title: title + ": p99 of answers", XLabel: "load in percent", YLabel: "ms"}
	for _, l := range lines {
		n := plot.Line{Name: l.name}
		for _, p := range l.points {
			n.Points = append(n.Points, plot.Point{
				X: 100 * p.load, Y: load.Milliseconds(p.result.Total().Quantile(99)),
			})
		}
		c.Lines = append(c.Lines, n)
	}
	name := strings.NewReplacer(" ", "-", ",", "").Replace(title) + "-p99.svg"
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return fmt.Errorf("create chart: %w", err)
	}
	defer func() { _ = f.Close() }()
	return c.WriteSVG(f)
}
