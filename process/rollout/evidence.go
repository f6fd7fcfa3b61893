package rollout

import (
	"cmp"
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The bounds on a report, which with them stays below 1400 bytes in a datagram. Histograms and cells that don't fit
// follow in the next reports.
const (
	maxReportRoutes     = 8
	maxReportZones      = 6
	maxReportHistograms = 2
	maxReportCells      = 12
	// maxMemberCells limits the memory for cells on one VM.
	maxMemberCells = 96
)

// evidence counts the responses that this VM has received since it learned of the order.
type evidence struct {
	memberSums
	// routeOrder, zoneOrder and cellOrder list the keys in the order in which they are reported.
	routeOrder []routeKey
	zoneOrder  []zoneKey
	cellOrder  []cellKey
	zoneOf     map[uint32]zoneKey
	// nextHistogram and nextCell are the positions at which the next report begins.
	nextHistogram, nextCell int
}

func newEvidence() *evidence {
	return &evidence{memberSums: newMemberSums(), zoneOf: map[uint32]zoneKey{}}
}

// limits holds the slowness limits of the routes: the first bucket that counts as slow.
type limits map[routeKey]bucket

func (e *evidence) record(r Responded, isNew bool, l limits) {
	k := e.routeKey(r.Route)
	t := Tally{Responses: 1}
	if r.Failed {
		t.Failures = 1
	} else if limit, ok := l[k]; ok {
		// A failure says nothing about slowness: it may be faster or, as a time-out, slower than any response.
		t.Timed = 1
		if bucketOf(r.Latency) >= limit {
			t.Slow = 1
		}
	}
	z := e.zoneKey(r.DataCentre)
	if isNew {
		c := e.cellKey(k, r.Target)
		e.cells[c] = e.cells[c].plus(t)
		e.zoneOf[c.target] = z
		return
	}
	e.routes[k] = e.routes[k].plus(t)
	e.zones[z] = e.zones[z].plus(t)
	if !r.Failed {
		h := e.latencies[k]
		h[bucketOf(r.Latency)]++
		e.latencies[k] = h
	}
}

func (e *evidence) routeKey(r ident.Route) routeKey {
	k := routeKey(hash32(string(r)))
	if slices.Contains(e.routeOrder, k) {
		return k
	}
	if len(e.routeOrder) >= maxReportRoutes-1 {
		k = 0
		if slices.Contains(e.routeOrder, k) {
			return k
		}
	}
	e.routeOrder = append(e.routeOrder, k)
	return k
}

func (e *evidence) zoneKey(d ident.DataCentre) zoneKey {
	k := zoneKey(hash32(string(d)))
	if slices.Contains(e.zoneOrder, k) {
		return k
	}
	if len(e.zoneOrder) >= maxReportZones-1 {
		k = 0
		if slices.Contains(e.zoneOrder, k) {
			return k
		}
	}
	e.zoneOrder = append(e.zoneOrder, k)
	return k
}

func (e *evidence) cellKey(r routeKey, t ident.Target) cellKey {
	c := cellKey{route: r, target: hash32(string(t))}
	if _, ok := e.cells[c]; ok {
		return c
	}
	if len(e.cells) >= maxMemberCells {
		c.target = 0
		if _, ok := e.cells[c]; ok {
			return c
		}
	}
	e.cellOrder = append(e.cellOrder, c)
	e.cells[c] = Tally{}
	return c
}

// fill adds the evidence to a report.
func (e *evidence) fill(r *wire.RolloutReport) {
	for _, k := range e.routeOrder {
		t := e.routes[k]
		r.Routes = append(r.Routes, &wire.RolloutRoute{
			Route: uint32(k), Responses: uint32(t.Responses), Failures: uint32(t.Failures),
			Timed: uint32(t.Timed), Slow: uint32(t.Slow),
		})
	}
	for range min(maxReportHistograms, len(r.Routes)) {
		x := r.Routes[e.nextHistogram%len(r.Routes)]
		h := e.latencies[routeKey(x.Route)]
		x.Latencies = h.encode()
		e.nextHistogram++
	}
	for _, k := range e.zoneOrder {
		t := e.zones[k]
		r.Zones = append(r.Zones, &wire.RolloutZone{
			DataCentre: uint32(k), Responses: uint32(t.Responses), Failures: uint32(t.Failures),
			Timed: uint32(t.Timed), Slow: uint32(t.Slow),
		})
	}
	for range min(maxReportCells, len(e.cellOrder)) {
		k := e.cellOrder[e.nextCell%len(e.cellOrder)]
		e.nextCell++
		t := e.cells[k]
		r.Cells = append(r.Cells, &wire.RolloutCell{
			Route: uint32(k.route), Target: k.target, Responses: uint32(t.Responses), Failures: uint32(t.Failures),
			Timed: uint32(t.Timed), Slow: uint32(t.Slow), Zone: uint32(slices.Index(e.zoneOrder, e.zoneOf[k.target]) + 1),
		})
	}
	slices.SortFunc(r.Cells, func(a, b *wire.RolloutCell) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
	})
}
