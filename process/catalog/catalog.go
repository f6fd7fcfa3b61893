package catalog

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

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
	// Positions holds, for each kind, the state of the store up to which the catalog is current.
	Positions [KindCount]Position
	// Members are the VMs that have registered, including those that no longer run; MembersAt is the position of the last
	// change to them.
	Members   []roster.Member
	MembersAt Position
	// States holds the states of Members, in the same order, and Keepers those of them that may keep allowances.
	States  []MemberState
	Keepers []roster.Member
	// Unregistered holds those of Members whose registrations the store has lost by coming back from an older copy.
	Unregistered map[ident.VM]bool
	// Rollouts holds the orders of roll-outs by service; nil if they are not followed.
	Rollouts map[ident.Service]Rollout
	// Complete is true once every followed kind has been listed.
	Complete bool
}

// MemberState is what the store has of a VM beside its entry.
type MemberState struct {
	Standing Standing
	// Revision is the revision of the entry; zero if the store has lost it.
	Revision ident.Revision
}

// StateOf returns the state of a VM; false if it isn't registered.
func (v *View) StateOf(n ident.VM) (MemberState, bool) {
	for i := range v.Members {
		if v.Members[i].Name == n {
			return v.States[i], true
		}
	}
	return MemberState{}, false
}

// Catalog is a copy of the store's records and publishes the latest view of them; it is safe for concurrent use.
type Catalog struct {
	clock clock.Clock
	log   zerolog.Logger
	// kinds are the kinds that the catalog follows.
	kinds []Kind
	view  atomic.Pointer[View]

	mu      sync.Mutex
	table   *route.Table
	records [KindCount]map[string]Record
	asOf    [KindCount]Position
	// lastChange is the position of the last change of each kind, checksums are computed over its records, and history
	// holds its recent changes.
	lastChange [KindCount]Position
	checksums  [KindCount]uint64
	history    [KindCount]history
	// retentionEnds maps each target that was missing from the store right after an outage to the instant until which it
	// is retained nevertheless.
	retentionEnds map[string]clock.Instant
	// outageGraceEnd is the end of the grace period in which targets that expired in an outage can register again, and
	// eraGraceEnd that after a change of the era.
	outageGraceEnd, eraGraceEnd clock.Instant
	// served is when the store is known to have answered readers.
	served servedSpan
	// odd remembers which objects that can't be decoded are in the log.
	odd oddLog
	// carried holds what stays out of service although the store's new era does not say so.
	carried carriedOver
	// viewPublished is closed and replaced each time a view is published.
	viewPublished chan struct{}
}

// New returns an empty catalog that follows the kinds that each deployment has, and the given ones.
func New(c clock.Clock, l zerolog.Logger, more ...Kind) *Catalog {
	g := &Catalog{
		clock: c, log: l, kinds: slices.Concat(baseKinds, more), retentionEnds: map[string]clock.Instant{},
		viewPublished: make(chan struct{}), carried: newCarriedOver(),
	}
	g.view.Store(&View{Roster: roster.New(nil, nil)})
	return g
}

// Kinds returns the kinds that the catalog follows.
func (g *Catalog) Kinds() []Kind {
	return g.kinds
}

// Follows reports whether the catalog follows a kind.
func (g *Catalog) Follows(k Kind) bool {
	return slices.Contains(g.kinds, k)
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

// Replace replaces the records of a kind by a complete listing; a listing older than the catalog is ignored. A listing
// without a known position, whose content may be out of date, is used until one with a position arrives.
func (g *Catalog) Replace(k Kind, records []Record, asOf Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.records[k] != nil && (asOf.Before(g.asOf[k]) || !asOf.Known()) {
		return
	}
	old := g.records[k]
	n, odd := splitOdd(records)
	g.logOdd(k, odd)
	if old != nil && asOf.Era == g.asOf[k].Era && g.asOf[k].Known() {
		g.history[k].addGap(g.asOf[k], asOf)
		g.update(k, Batch{Changes: g.diff(k, n, odd), AsOf: asOf})
		// A member may have seen a change that was undone before this listing. It learns from the checksum whether it has.
		g.lastChange[k] = asOf
		return
	}
	if old != nil && g.asOf[k].Known() {
		g.changeEra(k, old, n)
	}
	g.log.Info().Str("Kind", k.String()).Int("Records", len(n)).Uint64("AsOf", uint64(asOf.Revision)).
		Uint64("Era", uint64(asOf.Era)).Msg("listing loaded")
	g.asOf[k], g.lastChange[k] = asOf, asOf
	g.history[k].reset(asOf)
	g.setRecords(k, n)
}

// changeEra prepares the first listing of a new era to replace the old records. Targets that it lacks may have
// registered after the copy was made, and have time to register again.
func (g *Catalog) changeEra(k Kind, old, listed map[string]Record) {
	now := g.clock.Now()
	g.carried.changeEra(now, k, old, listed)
	if k != Targets {
		return
	}
	clear(g.retentionEnds)
	g.eraGraceEnd = max(g.eraGraceEnd, now.Add(reregisterGrace))
	for name, r := range old {
		if _, ok := listed[name]; !ok {
			g.retainMissing(k, r, listed)
		}
	}
}

// diff returns the changes that turn the present records of a kind into the listed ones, both of one era. Retained
// targets are no records of the store, and their revisions may be those of an earlier era.
func (g *Catalog) diff(k Kind, listed, odd map[string]Record) []Change {
	var l []Change
	for name, r := range odd {
		if _, ok := g.records[k][name]; ok {
			l = append(l, Change{Record: r})
		}
	}
	for name, r := range listed {
		if o, ok := g.records[k][name]; !ok || o.Revision != r.Revision || g.isRetained(k, name) {
			l = append(l, Change{Record: r})
		}
	}
	for name, r := range g.records[k] {
		_, ok := listed[name]
		if _, isOdd := odd[name]; !ok && !isOdd && !g.isRetained(k, name) {
			l = append(l, Change{Record: r, Deleted: true})
		}
	}
	return l
}

// Apply applies a batch of changes since the revision up to which the kind is current. A batch that is older, or of
// another era, is ignored.
func (g *Catalog) Apply(k Kind, b Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.AsOf.Era != g.asOf[k].Era || b.AsOf.Before(g.asOf[k]) || !g.asOf[k].Known() {
		return
	}
	g.update(k, b)
}

// update applies changes to the records of a kind; the lock must be held.
func (g *Catalog) update(k Kind, b Batch) {
	g.asOf[k] = b.AsOf
	if len(b.Changes) == 0 {
		return
	}
	n := maps.Clone(g.records[k])
	g.logChanges(k, b.Changes, n)
	b.Changes = withoutUnknownOdd(b.Changes, n)
	if len(b.Changes) == 0 {
		return
	}
	for _, c := range b.Changes {
		g.carried.recordWrite(k, c.Name)
		r, ok := n[c.Name]
		switch {
		case c.Deleted:
			delete(n, c.Name)
			if ok && !g.retainMissing(k, r, n) {
				g.finishRemoval(k, r)
			}
		case isOdd(&c.Record):
			delete(n, c.Name)
			g.finishRemoval(k, r)
		default:
			n[c.Name] = c.Record
			delete(g.retentionEnds, c.Name)
		}
	}
	g.lastChange[k] = b.AsOf
	g.history[k].add(b, len(n))
	g.setRecords(k, n)
}

// RemoveExpired removes the missing targets that did not register again within the grace period after an outage, and
// ends what has been carried over from the previous era of the store for long enough.
func (g *Catalog) RemoveExpired() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	graceEnd := g.graceEnd()
	n := g.records[Targets]
	dropped := false
	for name, end := range g.retentionEnds {
		if now < min(end, graceEnd) {
			continue
		}
		delete(g.retentionEnds, name)
		if r, ok := n[name]; ok {
			n = maps.Clone(n)
			delete(n, name)
			g.finishRemoval(Targets, r)
			g.log.Info().Str("Kind", Targets.String()).Str("Name", name).Msg("object is gone")
			dropped = true
		}
	}
	if dropped {
		g.setRecords(Targets, n)
	}
	if g.carried.expire(now) {
		g.publish()
	}
}

// isRetained reports whether a record is a target that the store no longer has.
func (g *Catalog) isRetained(k Kind, name string) bool {
	_, ok := g.retentionEnds[name]
	return ok && k == Targets
}

// setRecords replaces the records of a kind, updates the checksum of those that the store has, and publishes a new
// view.
func (g *Catalog) setRecords(k Kind, n map[string]Record) {
	g.records[k] = n
	g.checksums[k] = 0
	for name, r := range n {
		if g.isRetained(k, name) {
			continue
		}
		g.checksums[k] ^= xxhash.Sum64String(name + "@" + strconv.FormatUint(uint64(r.Revision), 10))
	}
	g.publish()
}

// retainMissing puts a target that is missing right after an outage back into n, and reports whether it did.
func (g *Catalog) retainMissing(k Kind, r Record, n map[string]Record) bool {
	end := g.graceEnd()
	if k != Targets || g.clock.Now() >= end {
		return false
	}
	if e, ok := r.Entry.(Registration); !ok || e.Target.Draining {
		return false
	}
	n[r.Name] = r
	if _, ok := g.retentionEnds[r.Name]; !ok {
		g.retentionEnds[r.Name] = end
		g.log.Info().Str("Target", r.Name).
			Msg("target is missing after a store outage; retained until the grace period ends")
	}
	return true
}

// maxLoggedChanges is how many changes of one batch are logged one by one; a larger batch is logged in one line.
const maxLoggedChanges = 16

// logChanges logs a batch of changes to the given records. The operator's explain command matches the texts of the
// messages on single records.
func (g *Catalog) logChanges(k Kind, l []Change, old map[string]Record) {
	odd := map[string]Record{}
	removed, written := 0, 0
	for i := range l {
		switch c := &l[i]; {
		case c.Deleted:
			removed++
		case isOdd(&c.Record):
			odd[c.Name] = c.Record
		default:
			written++
		}
	}
	g.logOdd(k, odd)
	if removed+written > maxLoggedChanges && k != Configurations {
		g.log.Info().Str("Kind", k.String()).Int("Written", written).Int("Removed", removed).Msg("many objects changed")
		return
	}
	for i := range l {
		switch c := &l[i]; {
		case c.Deleted:
			g.log.Info().Str("Kind", k.String()).Str("Name", loggedName(c.Name)).Msg("object is gone")
		case !isOdd(&c.Record):
			g.logChange(k, c.Record, old)
		}
	}
}

// maxLoggedName bounds the length of a name in the log, which another writer may have chosen.
const maxLoggedName = 100

// loggedName returns the beginning of a name.
func loggedName(n string) string {
	if len(n) > maxLoggedName {
		return n[:maxLoggedName] + "..."
	}
	return n
}

// logChange logs a new or changed record.
func (g *Catalog) logChange(k Kind, r Record, old map[string]Record) {
	o := old[r.Name]
	e := g.log.Info().Str("Kind", k.String()).Str("Name", loggedName(r.Name)).Uint64("Revision", uint64(r.Revision))
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
		g.logFindings(v)
	case Evacuation:
		e.Msg("data centre taken out")
	case Membership:
		g.log.Debug().Str("Name", r.Name).Str("Address", string(v.Member.Address)).Msg("member registered")
	case Rollout:
		e.Str("NewVersion", string(v.NewVersion)).Dur("Duration", v.Duration).Str("State", string(v.Status.State)).
			Str("Phase", string(v.Status.Phase)).Msg("roll-out changed")
	}
}

// logFindings logs which entries of a configuration can't be used, the first maxLoggedChanges one by one.
func (g *Catalog) logFindings(c Configuration) {
	for i, err := range c.Findings {
		e := g.log.Warn().Uint64("Version", uint64(c.Table.Version))
		if i == maxLoggedChanges {
			e.Int("Entries", len(c.Findings)-i).Msg("many entries of the configuration can't be used")
			return
		}
		e.Err(err).Msg("entry of the configuration can't be used")
	}
}

// finishRemoval remembers that a record has been removed, and stops retaining it if it was a target retained after an
// outage of the store.
func (g *Catalog) finishRemoval(k Kind, r Record) {
	delete(g.retentionEnds, r.Name)
	if k == Targets {
		g.carried.recordRemoval(g.clock.Now(), r)
	}
}

// publish builds a view from the records and publishes it. The table never reverts to an older version; one of the same
// number replaces it, since the store has it in its place.
func (g *Catalog) publish() {
	v := &View{Positions: g.asOf, MembersAt: g.lastChange[Members], Complete: true}
	for _, k := range g.kinds {
		v.Complete = v.Complete && g.records[k] != nil
	}
	for _, r := range g.records[Configurations] {
		if c, ok := r.Entry.(Configuration); ok && (g.table == nil || c.Table.Version >= g.table.Version) {
			g.table = c.Table
		}
	}
	v.Table = g.table
	var targets []roster.Target
	for _, r := range g.records[Targets] {
		if e, ok := r.Entry.(Registration); ok {
			if _, leaving := g.carried.leaving[e.Target.Incarnation()]; leaving {
				e.Target.Draining = true
			}
			targets = append(targets, e.Target)
		}
	}
	var evacuated []ident.DataCentre
	for _, r := range g.records[Members] {
		if e, ok := r.Entry.(Membership); ok {
			v.Members = append(v.Members, e.Member)
			v.States = append(v.States, MemberState{Standing: e.Standing, Revision: r.Revision})
			if e.Standing != Absent {
				v.Keepers = append(v.Keepers, e.Member)
			}
		}
	}
	v.Unregistered = map[ident.VM]bool{}
	for name, m := range g.carried.members {
		v.Members = append(v.Members, m.member)
		v.States = append(v.States, MemberState{Standing: m.standing})
		if m.standing != Absent {
			v.Keepers = append(v.Keepers, m.member)
		}
		v.Unregistered[name] = true
	}
	for _, r := range g.records[Evacuations] {
		if e, ok := r.Entry.(Evacuation); ok {
			evacuated = append(evacuated, e.DataCentre)
		}
	}
	for d := range g.carried.evacuated {
		evacuated = append(evacuated, d)
	}
	if g.Follows(Rollouts) {
		v.Rollouts = g.rollouts()
	}
	v.Roster = roster.New(targets, evacuated)
	g.view.Store(v)
	close(g.viewPublished)
	g.viewPublished = make(chan struct{})
}

// rollouts returns the orders by service, with those carried over from an earlier era; the lock must be held.
func (g *Catalog) rollouts() map[ident.Service]Rollout {
	m := map[ident.Service]Rollout{}
	for s, o := range g.carried.rollouts {
		m[s] = o.order
	}
	for _, r := range g.records[Rollouts] {
		if e, ok := r.Entry.(Rollout); ok {
			m[e.Service] = e
		}
	}
	return m
}
