package overflow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// highOccupancy is the occupancy above which requests leave: targets slow down from 0.8 on.
	highOccupancy = 0.75
	// lowOccupancy is the occupancy up to which a data centre is sent requests from others, and below which a data centre
	// takes its own requests back. The gap to highOccupancy keeps two data centres from exchanging load.
	lowOccupancy = 0.6
	// gain is the part of the difference between the present share and the one that balances the loads by which the
	// share moves with each summary. With a summary every 300 ms that is up to 1 s old, 0.2 settles without overshoot;
	// 0.5 swings (see the replay of 120 VMs).
	gain = 0.2
	// maxShare leaves some requests at home, which show when its targets respond faster again.
	maxShare = 0.9
	// minShare is the share below which none leaves: a few requests are not worth connections to other data centres.
	minShare = 0.02
	// summaryTime is how long a summary is followed; without a newer one no share leaves.
	summaryTime = 3 * time.Second
	// largeBody is the size of a request from which on it leaves only if the service is evacuated or without targets at
	// home: the way of its bytes costs more than the wait that it saves.
	largeBody ident.Bytes = 64 << 10
)

// Share is the share of the requests that goes to a data centre.
type Share struct {
	DataCentre ident.DataCentre
	Share      ident.Share
}

// Change is a change of the shares of a service that leave, with the occupancy at home and the lowest elsewhere, which
// decided it.
type Change struct {
	Service    ident.Service
	Shares     []Share
	Home, Away float64
}

// state is the state of one service.
type state struct {
	shares []Share
	// credit holds, for each of shares, the fraction of a request that is due there.
	credit []float64
	// told is the total of the shares in the last Change.
	told float64
}

// toldStep is the least change of a service's total share that is returned as a Change, unless it begins or ends: the
// shares move a little with each summary.
const toldStep = 0.1

// Balancer holds the shares of all services that leave a VM's data centre. It is not safe for concurrent use.
type Balancer struct {
	home     ident.DataCentre
	services map[ident.Service]*state
	// evacuated means that operators have taken the VM's data centre out of service.
	evacuated bool
	updatedAt clock.Instant
}

// updateInterval is the least time between two moves of the shares: summaries of several readers of the store arrive
// in each digest interval of 300 ms, and each would move the shares by the gain.
const updateInterval = 250 * time.Millisecond

// New returns a balancer for a VM in the given data centre; nothing leaves until the first summary.
func New(home ident.DataCentre) *Balancer {
	return &Balancer{home: home, services: map[ident.Service]*state{}}
}

// Update moves the shares toward those that balance the loads, and returns the services whose shares have begun or
// ceased to leave or have changed by toldStep. The
// loads must not include targets that get no requests; evacuated means that all those of the VM's data centre are such.
func (b *Balancer) Update(now clock.Instant, loads []Load, evacuated bool) []Change {
	if now.Sub(b.updatedAt) < updateInterval && b.updatedAt != 0 {
		return nil
	}
	b.updatedAt, b.evacuated = now, evacuated
	byService := map[ident.Service][]Load{}
	for _, l := range loads {
		byService[l.Service] = append(byService[l.Service], l)
	}
	var changes []Change
	for s, l := range byService {
		if c, changed := b.updateService(s, l); changed {
			changes = append(changes, c)
		}
	}
	for s := range b.services {
		if _, ok := byService[s]; !ok {
			delete(b.services, s)
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Service, y.Service) })
	return changes
}

// updateService moves the shares of one service and reports whether they have changed.
func (b *Balancer) updateService(s ident.Service, l []Load) (Change, bool) {
	t, ok := b.services[s]
	if !ok {
		t = &state{}
		b.services[s] = t
	}
	c := Change{Service: s}
	wanted := b.wanted(l, t, &c)
	if b.evacuated {
		t.set(wanted)
	} else {
		t.approach(wanted)
	}
	c.Shares = slices.Clone(t.shares)
	total := t.total()
	if (total > 0) == (t.told > 0) && math.Abs(total-t.told) < toldStep {
		return c, false
	}
	t.told = total
	return c, true
}

// wanted returns the shares that would balance the loads, from the excess at home and the room elsewhere. Data centres
// that are full divide the room of the others in proportion to their excess.
func (b *Balancer) wanted(l []Load, t *state, c *Change) []Share {
	var home *Load
	excess, room := 0.0, 0.0
	for i := range l {
		e := &l[i]
		excess += e.excess()
		if e.DataCentre == b.home {
			home = e
			continue
		}
		room += e.room()
		if o := e.occupancy(); c.Away == 0 || o < c.Away {
			c.Away = o
		}
	}
	if b.evacuated {
		return divide(l, b.home, 1, room, t)
	}
	if home == nil || home.Slots <= 0 {
		return nil
	}
	c.Home = home.occupancy()
	leaving := t.total()
	// What leaves now would be at home otherwise; it is the demand of this data centre that the shares refer to.
	demand := home.Busy / max(1-leaving, 1-maxShare)
	move := 0.0
	switch {
	case home.excess() > 0 && room > 0:
		move = home.excess() * min(room/excess, 1)
	case home.occupancy() < lowOccupancy:
		move = -(lowOccupancy - home.occupancy()) * home.Slots
	}
	if demand <= 0 {
		return nil
	}
	total := min(max(leaving+move/demand, 0), maxShare)
	return divide(l, b.home, total, room, t)
}

// divide divides a share among the data centres with room, in proportion to it; without room it keeps the proportions.
func divide(l []Load, home ident.DataCentre, total, room float64, t *state) []Share {
	var r []Share
	present := t.total()
	for i := range l {
		e := &l[i]
		if e.DataCentre == home {
			continue
		}
		part := 0.0
		switch {
		case room > 0:
			part = e.room() / room
		case present > 0:
			part = float64(t.share(e.DataCentre)) / present
		}
		r = append(r, Share{DataCentre: e.DataCentre, Share: ident.Share(total * part)})
	}
	return r
}

// excess returns the number of requests above highOccupancy.
func (l *Load) excess() float64 {
	return max(l.occupancy()-highOccupancy, 0) * l.Slots
}

// room returns the number of requests that fit below lowOccupancy.
func (l *Load) room() float64 {
	return max(lowOccupancy-l.occupancy(), 0) * l.Slots
}

// approach moves the shares by gain toward the wanted ones.
func (t *state) approach(wanted []Share) {
	var shares []Share
	var credit []float64
	total := 0.0
	for _, w := range wanted {
		s := float64(t.share(w.DataCentre))
		s += gain * (float64(w.Share) - s)
		total += s
		shares = append(shares, Share{DataCentre: w.DataCentre, Share: ident.Share(s)})
		credit = append(credit, t.creditOf(w.DataCentre))
	}
	if total < minShare && t.growth(wanted) <= 0 {
		t.shares, t.credit = nil, nil
		return
	}
	t.shares, t.credit = shares, credit
}

// set replaces the shares at once.
func (t *state) set(wanted []Share) {
	credit := make([]float64, 0, len(wanted))
	for _, w := range wanted {
		credit = append(credit, t.creditOf(w.DataCentre))
	}
	t.shares, t.credit = wanted, credit
}

// growth returns by how much the wanted shares exceed the present ones.
func (t *state) growth(wanted []Share) float64 {
	sum := -t.total()
	for _, w := range wanted {
		sum += float64(w.Share)
	}
	return sum
}

func (t *state) total() float64 {
	sum := 0.0
	for _, s := range t.shares {
		sum += float64(s.Share)
	}
	return sum
}

func (t *state) share(d ident.DataCentre) ident.Share {
	for _, s := range t.shares {
		if s.DataCentre == d {
			return s.Share
		}
	}
	return 0
}

func (t *state) creditOf(d ident.DataCentre) float64 {
	for i, s := range t.shares {
		if s.DataCentre == d {
			return t.credit[i]
		}
	}
	return 0
}

// Request is what a choice of the data centre depends on.
type Request struct {
	Service ident.Service
	// Body is the size of the request's body.
	Body ident.Bytes
}

// Choose returns the data centre whose targets are considered first for a request, and counts the request. It is the
// VM's own one unless a share of the service leaves.
func (b *Balancer) Choose(now clock.Instant, q Request) ident.DataCentre {
	t, ok := b.services[q.Service]
	if !ok || len(t.shares) == 0 || now.Sub(b.updatedAt) > summaryTime || (q.Body >= largeBody && !b.evacuated) {
		return b.home
	}
	best, due := -1, 0.0
	for i := range t.shares {
		t.credit[i] = min(t.credit[i]+float64(t.shares[i].Share), 2)
		if t.credit[i] >= 1 && t.credit[i] > due {
			best, due = i, t.credit[i]
		}
	}
	if best < 0 {
		return b.home
	}
	t.credit[best]--
	return t.shares[best].DataCentre
}

// Shares returns the shares of a service that leave.
func (b *Balancer) Shares(s ident.Service) []Share {
	t, ok := b.services[s]
	if !ok {
		return nil
	}
	return slices.Clone(t.shares)
}
