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

// View is a consistent snapshot of the catalog; it is immutable once published.
type View struct {
	// Table is nil until the first configuration has been read.
	Table  *route.Table
	Roster *roster.Roster
	// Revisions holds, for each kind, the store revision up to which the catalog is current.
	Revisions [KindCount]ident.Revision
	// Members are the VMs that have registered, including those that no longer run.
	Members []roster.Member
	// Complete is true once every kind has been listed.
	Complete bool
}

// Catalog is a copy of the store's records and publishes the latest view of them; it is safe for concurrent use.
type Catalog struct {
	clock clock.Clock
	log   zerolog.Logger
	view  atomic.Pointer[View]

	mu      sync.Mutex
	table   *route.Table
	records [KindCount]map[string]Record
	asOf    [KindCount]ident.Revision
	// lastChange is the revision of the last change of each kind, checksums are computed over its records, and history
	// holds its recent changes.
	lastChange [KindCount]ident.Revision
	checksums  [KindCount]uint64
	history    [KindCount]history
	// retentionEnds maps each target that was missing from the store right after an outage to the instant until which it
	// is retained nevertheless.
	retentionEnds map[string]clock.Instant
	// graceEnd is the end of the grace period in which targets that expired in an outage can register again.
	graceEnd clock.Instant
	// viewPublished is closed and replaced each time a view is published.
	viewPublished chan struct{}
}

// New returns an empty catalog.
func New(c clock.Clock, l zerolog.Logger) *Catalog {
	g := &Catalog{clock: c, log: l, retentionEnds: map[string]clock.Instant{}, viewPublished: make(chan struct{})}
	g.view.Store(&View{Roster: roster.New(nil, nil)})
	return g
}

// Get returns the latest view.
func (g *Catalog) Get() *View {
	return g.view.Load()
}

// Changed returns a channel that is closed when the next view is published.
func (g *Catalog) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.viewPublished
}

// StoreRegained records that the store answers again after an outage. Targets whose registrations expired meanwhile
// have the given time to register again before they are removed.
func (g *Catalog) StoreRegained(retain time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.graceEnd = max(g.graceEnd, g.clock.Now().Add(retain))
}

// RetainFor returns how much longer missing targets are retained.
func (g *Catalog) RetainFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.graceEnd.Sub(g.clock.Now()), 0)
}

// Replace replaces the records of a kind by a complete listing; a listing older than the catalog is ignored.
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
		g.logChange(k, r, old)
		delete(g.retentionEnds, r.Name)
	}
	if old == nil {
		g.log.Info().Str("Kind", k.String()).Int("Records", len(n)).Uint64("AsOf", uint64(asOf)).Msg("initial listing loaded")
	}
	for name, r := range old {
		if _, ok := n[name]; !ok && !g.retainMissing(k, r, n) {
			g.finishRemoval(k, r)
		}
	}
	if g.records[k] == nil || !sameRevisions(old, n) {
		g.lastChange[k] = asOf
		g.history[k].reset(asOf)
	}
	g.asOf[k] = asOf
	g.setRecords(k, n)
}

func sameRevisions(a, b map[string]Record) bool {
	return maps.EqualFunc(a, b, func(x, y Record) bool { return x.Revision == y.Revision })
}

// Apply applies a batch of changes since the revision up to which the kind is current; an older batch is ignored.
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
			g.logChange(k, c.Record, n)
			n[c.Name] = c.Record
			delete(g.retentionEnds, c.Name)
			continue
		}
		r, ok := n[c.Name]
		delete(n, c.Name)
		if ok && !g.retainMissing(k, r, n) {
			g.finishRemoval(k, r)
		}
	}
	g.asOf[k], g.lastChange[k] = b.AsOf, b.AsOf
	g.history[k].add(b, len(n))
	g.setRecords(k, n)
}

// RemoveExpired removes the missing targets that did not register again within the grace period after an outage.
func (g *Catalog) RemoveExpired() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	n := g.records[Targets]
	dropped := false
	for name, end := range g.retentionEnds {
		if now < end {
			continue
		}
		delete(g.retentionEnds, name)
		if r, ok := n[name]; ok {
			n = maps.Clone(n)
			delete(n, name)
			g.finishRemoval(Targets, r)
			dropped = true
		}
	}
	if dropped {
		g.setRecords(Targets, n)
	}
}

// setRecords replaces the records of a kind, updates their checksum and publishes a new view.
func (g *Catalog) setRecords(k Kind, n map[string]Record) {
	g.records[k] = n
	g.checksums[k] = 0
	for name, r := range n {
		g.checksums[k] ^= xxhash.Sum64String(name + "@" + strconv.FormatUint(uint64(r.Revision), 10))
	}
	g.publish()
}

// retainMissing puts a target that is missing right after an outage back into n, and reports whether it did.
func (g *Catalog) retainMissing(k Kind, r Record, n map[string]Record) bool {
	if k != Targets || g.clock.Now() >= g.graceEnd {
		return false
	}
	if e, ok := r.Entry.(Registration); !ok || e.Target.Draining {
		return false
	}
	n[r.Name] = r
	if _, ok := g.retentionEnds[r.Name]; !ok {
		g.retentionEnds[r.Name] = g.graceEnd
		g.log.Info().Str("Target", r.Name).
			Msg("target is missing after a store outage; retained until the grace period ends")
	}
	return true
}

// logChange logs a new or changed record. The operator's explain command matches the texts of its messages.
func (g *Catalog) logChange(k Kind, r Record, old map[string]Record) {
	if old == nil && k != Configurations {
		// Replace logs the initial listing in one line.
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
	case Undecodable:
		e.Err(v.Err).Msg("object can't be decoded")
	}
}

// finishRemoval logs that a record has been removed, and stops retaining it if it was a target retained after an outage
// of the store.
func (g *Catalog) finishRemoval(k Kind, r Record) {
	delete(g.retentionEnds, r.Name)
	g.log.Info().Str("Kind", k.String()).Str("Name", r.Name).Msg("object is gone")
}

// publish builds a view from the records and publishes it. The table never reverts to an older version.
func (g *Catalog) publish() {
	v := &View{Revisions: g.asOf, Complete: true}
	for k := range KindCount {
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
	var evacuated []ident.DataCentre
	for _, r := range g.records[Members] {
		if e, ok := r.Entry.(Membership); ok {
			v.Members = append(v.Members, e.Member)
		}
	}
	for _, r := range g.records[Evacuations] {
		if e, ok := r.Entry.(Evacuation); ok {
			evacuated = append(evacuated, e.DataCentre)
		}
	}
	v.Roster = roster.New(targets, evacuated)
	g.view.Store(v)
	close(g.viewPublished)
	g.viewPublished = make(chan struct{})
}
