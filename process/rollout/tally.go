package rollout

import (
	"maps"

	"github.com/amaranthramp/amaranthramp/wire"
)

// Tally counts the responses of a version.
type Tally struct {
	Responses, Failures int64
	// Timed is the number of responses that were compared with a slowness limit, and Slow how many exceeded it.
	Timed, Slow int64
}

func (t Tally) plus(o Tally) Tally {
	return Tally{
		Responses: t.Responses + o.Responses, Failures: t.Failures + o.Failures,
		Timed: t.Timed + o.Timed, Slow: t.Slow + o.Slow,
	}
}

func (t Tally) minus(o Tally) Tally {
	return Tally{
		Responses: t.Responses - o.Responses, Failures: t.Failures - o.Failures,
		Timed: t.Timed - o.Timed, Slow: t.Slow - o.Slow,
	}
}

// routeKey and zoneKey are the hashes of the names of a route and a data centre; zero stands for all others.
type (
	routeKey uint32
	zoneKey  uint32
)

// cellKey identifies the responses of one new target on one route.
type cellKey struct {
	route  routeKey
	target uint32
}

// sums holds the evidence of several members.
type sums struct {
	// routes and zones count the responses of old targets, by route and by data centre of the target.
	routes map[routeKey]Tally
	zones  map[zoneKey]Tally
	// cells counts the responses of new targets.
	cells map[cellKey]Tally
}

func newSums() *sums {
	return &sums{routes: map[routeKey]Tally{}, zones: map[zoneKey]Tally{}, cells: map[cellKey]Tally{}}
}

func (s *sums) clone() *sums {
	return &sums{routes: maps.Clone(s.routes), zones: maps.Clone(s.zones), cells: maps.Clone(s.cells)}
}

// since returns what has been added since the earlier state o.
func (s *sums) since(o *sums) *sums {
	d := newSums()
	for k, t := range s.routes {
		d.routes[k] = t.minus(o.routes[k])
	}
	for k, t := range s.zones {
		d.zones[k] = t.minus(o.zones[k])
	}
	for k, t := range s.cells {
		d.cells[k] = t.minus(o.cells[k])
	}
	return d
}

// old returns the responses of old targets on all routes, and fresh those of new targets.
func (s *sums) old() Tally {
	var sum Tally
	for _, t := range s.routes {
		sum = sum.plus(t)
	}
	return sum
}

func (s *sums) fresh() Tally {
	var sum Tally
	for _, t := range s.cells {
		sum = sum.plus(t)
	}
	return sum
}

// memberSums is the last known evidence of one process of a member.
type memberSums struct {
	sums
	latencies map[routeKey]histogram
}

func newMemberSums() memberSums {
	return memberSums{sums: *newSums(), latencies: map[routeKey]histogram{}}
}

// fleetSums holds the evidence of all members. Counts of earlier processes of a member remain in it.
type fleetSums struct {
	sums
	latencies map[routeKey]*histogram
	// zoneOf holds the data centres of the new targets.
	zoneOf map[uint32]zoneKey
}

func newFleetSums() *fleetSums {
	return &fleetSums{sums: *newSums(), latencies: map[routeKey]*histogram{}, zoneOf: map[uint32]zoneKey{}}
}

// maxCells limits the memory for the cells of the whole fleet; responses beyond it are counted without their target.
const maxCells = 2048

// add replaces what is known of a member's process by the counts in its report, and adds the difference to the sums.
func (f *fleetSums) add(m *memberSums, r *wire.RolloutReport) {
	for _, x := range r.GetRoutes() {
		k := routeKey(x.GetRoute())
		t := tallyOf(x)
		f.routes[k] = f.routes[k].plus(t.minus(m.routes[k]))
		m.routes[k] = t
		f.addLatencies(m, k, x.GetLatencies())
	}
	for _, x := range r.GetZones() {
		k := zoneKey(x.GetDataCentre())
		t := tallyOf(x)
		f.zones[k] = f.zones[k].plus(t.minus(m.zones[k]))
		m.zones[k] = t
	}
	for _, x := range r.GetCells() {
		k := cellKey{route: routeKey(x.GetRoute()), target: x.GetTarget()}
		if _, ok := f.cells[k]; !ok && len(f.cells) >= maxCells {
			k.target = 0
		}
		t := tallyOf(x)
		f.cells[k] = f.cells[k].plus(t.minus(m.cells[k]))
		m.cells[k] = t
		if z := x.GetZone(); z > 0 && int(z) <= len(r.GetZones()) && k.target != 0 {
			f.zoneOf[k.target] = zoneKey(r.GetZones()[z-1].GetDataCentre())
		}
	}
}

func (f *fleetSums) addLatencies(m *memberSums, k routeKey, encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	h := decodeHistogram(encoded)
	sum, ok := f.latencies[k]
	if !ok {
		sum = &histogram{}
		f.latencies[k] = sum
	}
	last := m.latencies[k]
	for i := range h {
		sum[i] += h[i] - last[i]
	}
	m.latencies[k] = h
}

// counted is implemented by the entries of a report.
type counted interface {
	GetResponses() uint32
	GetFailures() uint32
	GetTimed() uint32
	GetSlow() uint32
}

func tallyOf(c counted) Tally {
	return Tally{
		Responses: int64(c.GetResponses()), Failures: int64(c.GetFailures()),
		Timed: int64(c.GetTimed()), Slow: int64(c.GetSlow()),
	}
}
