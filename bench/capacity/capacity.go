package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/delta"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The shape of the target size.
const (
	targetsPerService = 16_000.0 / 1_400
	dataCentres       = 27
	network           = 200
	rounds            = 5
	collections       = 3
)

// Sample is what one size costs.
type Sample struct {
	Targets int
	// TextBytes is the length of the whole configuration.
	TextBytes ident.Bytes
	// ParseTime is the processor time to parse the whole configuration once.
	ParseTime time.Duration
	// HeapBytes is the memory that the parsed configuration holds.
	HeapBytes ident.Bytes
	// ShardTime is the time to divide all services into shards and to compute every owner.
	ShardTime time.Duration
	// DeltaBytes is the length of a change of one upstream's state.
	DeltaBytes ident.Bytes
	// DeltaTime is the processor time to parse and apply such a change.
	DeltaTime time.Duration
}

// Line is a straight line through samples.
type Line struct {
	Fixed float64
	Slope float64
}

// Run measures some sizes and prints a row for each, then the slopes.
func Run(w io.Writer, sizes []int, members int) error {
	l := make([]Sample, 0, len(sizes))
	_, _ = fmt.Fprintf(w, "%8s %12s %12s %12s %12s %12s %12s\n",
		"Targets", "Text bytes", "Parse ms", "Heap bytes", "Owners ms", "Delta bytes", "Delta ms")
	for _, n := range sizes {
		s, err := measure(n, members)
		if err != nil {
			return err
		}
		l = append(l, s)
		_, _ = fmt.Fprintf(w, "%8d %12d %12.2f %12d %12.2f %12d %12.2f\n",
			s.Targets, s.TextBytes, millis(s.ParseTime), s.HeapBytes, millis(s.ShardTime),
			s.DeltaBytes, millis(s.DeltaTime))
	}
	printLine(w, "text bytes", l, func(s Sample) float64 { return float64(s.TextBytes) })
	printLine(w, "parse us", l, func(s Sample) float64 { return float64(s.ParseTime.Microseconds()) })
	printLine(w, "heap bytes", l, func(s Sample) float64 { return float64(s.HeapBytes) })
	printLine(w, "delta bytes", l, func(s Sample) float64 { return float64(s.DeltaBytes) })
	printLine(w, "delta us", l, func(s Sample) float64 { return float64(s.DeltaTime.Microseconds()) })
	printLine(w, "owners us", l, func(s Sample) float64 { return float64(s.ShardTime.Microseconds()) })
	return nil
}

// Fit returns the line with the least squared error through the points.
func Fit(x, y []float64) Line {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Fixed: sy / n}
	}
	b := (n*sxy - sx*sy) / d
	return Line{Fixed: (sy - b*sx) / n, Slope: b}
}

// Generate returns a configuration with the given number of targets in the shape of the target size.
func Generate(targets int) *config.Config {
	c := &config.Config{Budget: config.Budget{ProbeShare: 0.01, RetryShare: 0.1, HedgeShare: 0.01}}
	for d := range dataCentres {
		c.DataCentre = append(c.DataCentre, config.DataCentre{Name: dataCentre(d), State: config.In})
	}
	services := max(1, int(float64(targets)/targetsPerService))
	for i := range services {
		n := fmt.Sprintf("service-%04d", i)
		c.Service = append(c.Service, config.Service{
			Name: ident.Service(n), Host: n + ".example", Shards: 1, Slots: 2, ColdLimit: 1, Connections: 200,
			ProbePath: "/health", KeyRetention: config.Duration(time.Minute),
			Class: []config.Class{{
				Name: "Read", Methods: []string{"GET"}, PathPrefix: "/", Idempotent: true, Weight: 1,
				Deadline: config.Duration(time.Second),
			}},
		})
	}
	for i := range targets {
		s := &c.Service[i%services]
		s.Upstream = append(s.Upstream, config.Upstream{
			Name:       ident.Upstream(fmt.Sprintf("%s-%d", s.Name, len(s.Upstream))),
			Address:    ident.Address(fmt.Sprintf("127.%d.%d.%d:9000", network+i>>16, i>>8&255, i&255)),
			DataCentre: dataCentre(i % dataCentres),
			State:      config.In,
		})
	}
	return c
}

func measure(targets, members int) (Sample, error) {
	b, err := Generate(targets).Format()
	if err != nil {
		return Sample{}, err
	}
	s := Sample{Targets: targets, TextBytes: ident.Bytes(len(b))}
	before := heap()
	c, err := config.Parse(b)
	if err != nil {
		return Sample{}, err
	}
	s.HeapBytes = ident.Bytes(heap() - before)
	s.ParseTime = fastest(func() { _, _ = config.Parse(b) })
	m := newMembers(members)
	s.ShardTime = fastest(func() { ownAll(c, m) })
	runtime.KeepAlive(c)
	return s, s.measureDelta(c, b)
}

// measureDelta takes one upstream out, which is the most frequent change.
func (s *Sample) measureDelta(c *config.Config, text []byte) error {
	n, err := config.Parse(text)
	if err != nil {
		return err
	}
	n.Service[0].Upstream[0].State = config.Out
	b, err := delta.Between(1, c, 2, n).Format()
	if err != nil {
		return err
	}
	s.DeltaBytes = ident.Bytes(len(b))
	s.DeltaTime = fastest(func() {
		d, err := delta.Parse(b)
		if err == nil {
			_, _ = d.Apply(1, c)
		}
	})
	return nil
}

func ownAll(c *config.Config, m []*wire.Member) {
	for i := range c.Service {
		for _, h := range shard.Split(&c.Service[i]) {
			_, _ = shard.Owner(h.ID, h.DataCentre, m)
		}
	}
}

func newMembers(n int) []*wire.Member {
	l := make([]*wire.Member, 0, n)
	for i := range n {
		l = append(l, &wire.Member{
			Id: fmt.Sprintf("entry-%d.0123456789abcdef.0123456789abcdef", i), DataCentre: string(dataCentre(i % dataCentres)),
		})
	}
	return l
}

func dataCentre(i int) ident.DataCentre {
	return ident.DataCentre(fmt.Sprintf("dc-%02d", i))
}

// fastest returns the least time of some rounds, which other load on the machine disturbs least.
func fastest(f func()) time.Duration {
	var r time.Duration
	for i := range rounds {
		a := time.Now()
		f()
		d := time.Since(a)
		if i == 0 || d < r {
			r = d
		}
	}
	return r
}

// heap collects more than once, since pools give up their buffers only at the second collection.
func heap() int64 {
	for range collections {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func printLine(w io.Writer, name string, l []Sample, f func(Sample) float64) {
	x := make([]float64, 0, len(l))
	y := make([]float64, 0, len(l))
	for _, s := range l {
		x = append(x, float64(s.Targets))
		y = append(y, f(s))
	}
	r := Fit(x, y)
	_, _ = fmt.Fprintf(w, "%-12s %14.1f + %10.4f for each target\n", name, r.Fixed, r.Slope)
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
