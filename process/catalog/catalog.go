package catalog

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// View is one consistent state of the catalog; it is never changed after it was published.
type View struct {
	// Table is nil until a configuration was read.
	Table  *route.Table
	Roster *roster.Roster
	// Revisions are the store's revisions that the kinds are known as of.
	Revisions [Kinds]ident.Revision
	// Members are the VMs that have registered, also those that are gone.
	Members []roster.Member
	// Complete tells that each kind was listed at least once.
	Complete bool
}

// Catalog is the newest view; it is safe for concurrent use.
type Catalog struct {
	clock clock.Clock
	log   zerolog.Logger
	view  atomic.Pointer[View]

	mu      sync.Mutex
	table   *route.Table
	records [Kinds]map[string]Record
	asOf    [Kinds]ident.Revision
	// changed is the revision of the last change of each kind, sums stand for its records, and history is what changed
	// before.
	changed [Kinds]ident.Revision
	sums    [Kinds]uint64
	history [Kinds]history
	// absent are targets that were missing right after an outage of the store, and until when they are kept.
	absent map[string]clock.Instant
	// keepUntil is the end of the time in which targets that the outage has made lapse register again.
	keepUntil clock.Instant
	// renewed is closed and replaced after each new view.
	renewed chan struct{}
}

// New returns an empty catalog.
func New(c clock.Clock, l zerolog.Logger) *Catalog {
	g := &Catalog{clock: c, log: l, absent: map[string]clock.Instant{}, renewed: make(chan struct{})}
	g.view.Store(&View{Roster: roster.New(nil, nil)})
	return g
}

// Get returns the newest view.
func (g *Catalog) Get() *View {
	return g.view.Load()
}

// Changed returns a channel that is closed at the next new view.
func (g *Catalog) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.renewed
}

// Regained notes that the store answers again after an outage. Targets that lapsed meanwhile have the given time to
// register again before they count as gone.
func (g *Catalog) Regained(keep time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keepUntil = max(g.keepUntil, g.clock.Now().Add(keep))
}

// Keep returns how long missing targets are still to be kept.
func (g *Catalog) Keep() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.keepUntil.Sub(g.clock.Now()), 0)
}

// Replace takes a whole listing of a kind.
func (g *Catalog) Replace(k Kind, records []Record, asOf ident.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.records[k] != nil && asOf < g.asOf[k] {
		return
	}
	old := g.records[k]
	n := make(map[string]Record, len(records))
	for _, r := range records {
		n[r.Name] = r
		g.note(k, r, old)
		delete(g.absent, r.Name)
	}
	if old == nil {
		g.log.Info().Str("Kind", k.String()).Int("Records", len(n)).Uint64("AsOf", uint64(asOf)).Msg("first listing read")
	}
	for name, r := range old {
		if _, ok := n[name]; !ok && !g.keep(k, r, n) {
			g.gone(k, r)
		}
	}
	if g.records[k] == nil || !sameRevisions(old, n) {
		g.changed[k] = asOf
		g.history[k].reset(asOf)
	}
	g.asOf[k] = asOf
	g.set(k, n)
}

func sameRevisions(a, b map[string]Record) bool {
	return maps.EqualFunc(a, b, func(x, y Record) bool { return x.Revision == y.Revision })
}

// Apply takes the changes of a kind since the revision that it is known as of.
func (g *Catalog) Apply(k Kind, b Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.AsOf < g.asOf[k] {
		return
	}
	if len(b.Changes) == 0 {
		g.asOf[k] = b.AsOf
		return
	}
	n := maps.Clone(g.records[k])
	for _, c := range b.Changes {
		if !c.Deleted {
			g.note(k, c.Record, n)
			n[c.Name] = c.Record
			delete(g.absent, c.Name)
			continue
		}
		r, ok := n[c.Name]
		delete(n, c.Name)
		if ok && !g.keep(k, r, n) {
			g.gone(k, r)
		}
	}
	g.asOf[k], g.changed[k] = b.AsOf, b.AsOf
	g.history[k].add(b, len(n))
	g.set(k, n)
}

// Sweep drops the targets that have not come back after an outage.
func (g *Catalog) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	n := g.records[Targets]
	dropped := false
	for name, until := range g.absent {
		if now < until {
			continue
		}
		delete(g.absent, name)
		if r, ok := n[name]; ok {
			n = maps.Clone(n)
			delete(n, name)
			g.gone(Targets, r)
			dropped = true
		}
	}
	if dropped {
		g.set(Targets, n)
	}
}

// set replaces the records of a kind.
func (g *Catalog) set(k Kind, n map[string]Record) {
	g.records[k] = n
	g.sums[k] = 0
	for name, r := range n {
		g.sums[k] ^= xxhash.Sum64String(name + "@" + strconv.FormatUint(uint64(r.Revision), 10))
	}
	g.publish()
}

// keep holds on to a target that is missing right after an outage.
func (g *Catalog) keep(k Kind, r Record, n map[string]Record) bool {
	if k != Targets || g.clock.Now() >= g.keepUntil {
		return false
	}
	if e, ok := r.Entry.(Registration); !ok || e.Target.Draining {
		return false
	}
	n[r.Name] = r
	if _, ok := g.absent[r.Name]; !ok {
		g.absent[r.Name] = g.keepUntil
		g.log.Info().Str("Target", r.Name).Msg("target is missing after an outage of the store, kept for now")
	}
	return true
}

// note logs what a record changes.
func (g *Catalog) note(k Kind, r Record, old map[string]Record) {
	if old == nil && k != Configurations {
		// The first listing is told in one line.
		return
	}
	o, known := old[r.Name]
	if known && o.Revision == r.Revision {
		return
	}
	e := g.log.Info().Str("Kind", k.String()).Str("Name", r.Name).Uint64("Revision", uint64(r.Revision))
	switch v := r.Entry.(type) {
	case Registration:
		if was, ok := o.Entry.(Registration); ok && was.Target.Draining == v.Target.Draining &&
			was.Target.Address == v.Target.Address {
			return
		}
		e.Str("Service", string(v.Target.Service)).Str("Address", string(v.Target.Address)).
			Bool("Draining", v.Target.Draining).Msg("target registered")
	case Configuration:
		e.Uint64("Version", uint64(v.Table.Version)).Int("Routes", v.Table.Routes()).Msg("configuration read")
	case Evacuation:
		e.Msg("data centre taken out")
	case Membership:
		g.log.Debug().Str("Name", r.Name).Str("Address", string(v.Member.Address)).Msg("member registered")
	case Unreadable:
		e.Err(v.Err).Msg("object can't be used")
	}
}

func (g *Catalog) gone(k Kind, r Record) {
	delete(g.absent, r.Name)
	g.log.Info().Str("Kind", k.String()).Str("Name", r.Name).Msg("object is gone")
}

// publish makes a view of the records. The table never goes back to an older version.
func (g *Catalog) publish() {
	v := &View{Revisions: g.asOf, Complete: true}
	for k := range Kinds {
		v.Complete = v.Complete && g.records[k] != nil
	}
	for _, r := range g.records[Configurations] {
		if c, ok := r.Entry.(Configuration); ok && (g.table == nil || c.Table.Version > g.table.Version) {
			g.table = c.Table
		}
	}
	v.Table = g.table
	var targets []roster.Target
	for _, r := range g.records[Targets] {
		if e, ok := r.Entry.(Registration); ok {
			targets = append(targets, e.Target)
		}
	}
	var out []ident.DataCentre
	for _, r := range g.records[Members] {
		if e, ok := r.Entry.(Membership); ok {
			v.Members = append(v.Members, e.Member)
		}
	}
	for _, r := range g.records[Evacuations] {
		if e, ok := r.Entry.(Evacuation); ok {
			out = append(out, e.DataCentre)
		}
	}
	v.Roster = roster.New(targets, out)
	g.view.Store(v)
	close(g.renewed)
	g.renewed = make(chan struct{})
}
