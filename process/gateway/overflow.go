package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/fleet"
	"github.com/amaranthramp/amaranthramp/request/overflow"
	"github.com/amaranthramp/amaranthramp/wire"
)

// loadInterval is the interval between the reports of a member, and how old a report of a target may be in them.
const loadInterval = time.Second

// loadExchange reports the loads of targets to the readers of the store, and keeps the shares of the requests that
// leave this VM's data centre. It is safe for concurrent use.
type loadExchange struct {
	home      ident.DataCentre
	catalog   *catalog.Catalog
	upstreams *upstream.Set
	clock     clock.Clock
	log       zerolog.Logger

	mu        sync.Mutex
	collector *overflow.Collector
	balancer  *overflow.Balancer
	// left counts the requests for which another data centre was considered first.
	left uint64
}

func newLoadExchange(
	home ident.DataCentre, g *catalog.Catalog, u *upstream.Set, c clock.Clock, l zerolog.Logger,
) *loadExchange {
	return &loadExchange{
		home: home, catalog: g, upstreams: u, clock: c, log: l, collector: overflow.NewCollector(),
		balancer: overflow.New(home),
	}
}

// run reports the loads until the context ends. A VM that has seen no load since the last report sends none.
func (e *loadExchange) run(ctx context.Context, f *fleet.Fleet) {
	for clock.Sleep(ctx, loadInterval) {
		if !e.severalDataCentres() {
			continue
		}
		if l := overflow.Sum(e.samples()); len(l) > 0 {
			f.ReportLoads(encodeLoads(l))
		}
	}
}

// severalDataCentres reports whether targets in another data centre are registered at all.
func (e *loadExchange) severalDataCentres() bool {
	for _, t := range e.catalog.Get().Roster.All() {
		if t.DataCentre != e.home {
			return true
		}
	}
	return false
}

// samples returns the latest reports of the targets that get requests.
func (e *loadExchange) samples() []overflow.Sample {
	now := e.clock.Now()
	v := e.catalog.Get()
	var l []overflow.Sample
	for _, u := range e.upstreams.All() {
		r := u.LastReport()
		if r.At == 0 || !r.HasLoad || !r.Healthy || r.WarmupLeft > 0 || now.Sub(r.At) > loadInterval ||
			!v.Roster.Accepts(u.Target.Service, u.Target.ID) {
			continue
		}
		l = append(l, overflow.Sample{
			Service: u.Target.Service, DataCentre: u.Target.DataCentre, Running: r.Running, Waiting: r.Waiting, Slots: r.Slots,
		})
	}
	return l
}

// Add takes the report of a member.
func (e *loadExchange) Add(m *wire.LoadReport, from ident.Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.collector.Add(e.clock.Now(), from, decodeLoads(m))
}

// Summary returns the sum of the reports; it is nil as long as all targets are in this data centre.
func (e *loadExchange) Summary() *wire.LoadReport {
	if !e.severalDataCentres() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return encodeLoads(e.collector.Summary(e.clock.Now()))
}

// Follow moves the shares by the sum that a reader has sent, and logs each service whose share has begun or ceased to
// leave.
func (e *loadExchange) Follow(m *wire.LoadReport) {
	if len(m.GetItems()) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for _, c := range e.balancer.Update(now, decodeLoads(m), e.catalog.Get().Roster.Evacuated(e.home)) {
		n := e.log.Info().Str("Service", string(c.Service)).Float64("HomeOccupancy", c.Home).
			Float64("LowestElsewhere", c.Away)
		for _, s := range c.Shares {
			n = n.Float64("To "+string(s.DataCentre), float64(s.Share))
		}
		n.Msg("share of requests to other data centres changed")
	}
}

// First returns the data centre whose targets are considered first for a request.
func (e *loadExchange) First(s ident.Service, body ident.Bytes) ident.DataCentre {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.balancer.Choose(e.clock.Now(), overflow.Request{Service: s, Body: body})
	if d != e.home {
		e.left++
	}
	return d
}

// shares returns the shares of the requests to a service that leave.
func (e *loadExchange) shares(s ident.Service) []overflow.Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.balancer.Shares(s)
}

// leftCount returns the number of requests for which another data centre was considered first.
func (e *loadExchange) leftCount() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}

func encodeLoads(l []overflow.Load) *wire.LoadReport {
	m := &wire.LoadReport{}
	for _, e := range l {
		m.Items = append(m.Items, &wire.LoadItem{
			Service: string(e.Service), DataCentre: string(e.DataCentre), Busy: uint32(e.Busy), Slots: uint32(e.Slots),
		})
	}
	return m
}

func decodeLoads(m *wire.LoadReport) []overflow.Load {
	l := make([]overflow.Load, 0, len(m.GetItems()))
	for _, e := range m.GetItems() {
		l = append(l, overflow.Load{
			Service: ident.Service(e.GetService()), DataCentre: ident.DataCentre(e.GetDataCentre()),
			Busy: float64(e.GetBusy()), Slots: float64(e.GetSlots()),
		})
	}
	return l
}
