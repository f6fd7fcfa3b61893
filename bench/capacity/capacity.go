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

// The shape of the generated deployments, which is that of the largest deployment that the system is designed for, and
// the repetitions of a measurement.
const (
	targetsPerService = 16_000.0 / 1_400
	dataCentres       = 27
	firstNetwork      = 200
	rounds            = 5
	gcRuns            = 3
)

// Sample holds the costs of a deployment of one size.
type Sample struct {
	Targets int
	// TextBytes is the length of the whole configuration file.
	TextBytes ident.Bytes
	// ParseTime is the time to parse the whole configuration once.
	ParseTime time.Duration
	// HeapBytes is the memory that the parsed configuration holds.
	HeapBytes ident.Bytes
	// ShardTime is the time to split all services into shards and to compute the owner of each shard.
	ShardTime time.Duration
	// DeltaBytes is the length of the delta that changes the state of one upstream.
	DeltaBytes ident.Bytes
	// DeltaTime is the time to parse and apply this delta.
	DeltaTime time.Duration
}

// Line is a straight line: the value at x is Intercept + Slope*x.
type Line struct {
	Intercept float64
	Slope     float64
}

// Run measures deployments of the given sizes, prints a row for each and then a fitted line for each cost.
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
			s.Targets, s.TextBytes, milliseconds(s.ParseTime), s.HeapBytes, milliseconds(s.ShardTime),
			s.DeltaBytes, milliseconds(s.DeltaTime))
	}
	printFit(w, "text bytes", l, func(s Sample) float64 { return float64(s.TextBytes) })
	printFit(w, "parse us", l, func(s Sample) float64 { return float64(s.ParseTime.Microseconds()) })
	printFit(w, "heap bytes", l, func(s Sample) float64 { return float64(s.HeapBytes) })
	printFit(w, "delta size bytes", l, func(s Sample) float64 { return float64(s.DeltaBytes) })
	printFit(w, "apply delta us", l, func(s Sample) float64 { return float64(s.DeltaTime.Microseconds()) })
	printFit(w, "owners us", l, func(s Sample) float64 { return float64(s.ShardTime.Microseconds()) })
	return nil
}

// Fit returns the least-squares line through the points.
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
		return Line{Intercept: sy / n}
	}
	b := (n*sxy - sx*sy) / d
	return Line{Intercept: (sy - b*sx) / n, Slope: b}
}

// Generate returns a configuration with the given number of targets. It has as many targets per service and as many
// data centres as the largest deployment that the system is designed for.
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
			Address:    ident.Address(fmt.Sprintf("127.%d.%d.%d:9000", firstNetwork+i>>16, i>>8&255, i&255)),
			DataCentre: dataCentre(i % dataCentres),
			State:      config.In,
		})
	}
	return c
}

// measure measures a deployment of one size.
func measure(targets, members int) (Sample, error) {
	b, err := Generate(targets).Format()
	if err != nil {
		return Sample{}, err
	}
	s := Sample{Targets: targets, TextBytes: ident.Bytes(len(b))}
	before := heapBytes()
	c, err := config.Parse(b)
	if err != nil {
		return Sample{}, err
	}
	s.HeapBytes = ident.Bytes(heapBytes() - before)
	s.ParseTime = minTime(func() { _, _ = config.Parse(b) })
	m := newMembers(members)
	s.ShardTime = minTime(func() { computeOwners(c, m) })
	runtime.KeepAlive(c)
	return s, s.measureDelta(c, b)
}

// measureDelta measures a delta that takes one upstream out, which is the most frequent change.
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
	s.DeltaTime = minTime(func() {
		d, err := delta.Parse(b)
		if err == nil {
			_, _ = d.Apply(1, c)
		}
	})
	return nil
}

// computeOwners computes the owner of each shard of all services.
func computeOwners(c *config.Config, m []*wire.Member) {
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

// minTime returns the shortest time of several calls, which is the one least affected by other load on the machine.
func minTime(f func()) time.Duration {
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

// heapBytes returns the size of the live heap. It runs the garbage collector more than once, since pools release their
// buffers only at the second collection.
func heapBytes() int64 {
	for range gcRuns {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// printFit prints the line fitted through one cost of the samples.
func printFit(w io.Writer, name string, l []Sample, f func(Sample) float64) {
	x := make([]float64, 0, len(l))
	y := make([]float64, 0, len(l))
	for _, s := range l {
		x = append(x, float64(s.Targets))
		y = append(y, f(s))
	}
	r := Fit(x, y)
	_, _ = fmt.Fprintf(w, "%-16s %14.1f + %10.4f for each target\n", name, r.Intercept, r.Slope)
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
