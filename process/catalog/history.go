package catalog

import "slices"

// The history of a kind is bounded by minHistoryChanges, or by historyChangesPerRecord times the number of its records
// if that is more, so that a member a few batches behind needs no complete listing while many records change at once.
const (
	minHistoryChanges       = 1000
	historyChangesPerRecord = 2
	// maxHistoryBytes bounds the texts of the objects in the history of a kind.
	maxHistoryBytes = 8 << 20
	// maxGaps bounds the listings in the history; with more, it begins anew.
	maxGaps = 64
)

// history holds the most recent batches of changes of one kind, and of each object only its last change: a member that
// is behind needs no earlier one.
type history struct {
	// completeSince is the position after which the history is complete.
	completeSince Position
	batches       []Batch
	changes       int
	// bytes is the size of the names and texts of the objects.
	bytes int
	// gaps are the spans between two listings, of which only the changes from end to end are known. A change that was
	// undone within a gap is missing, so the history covers nothing that starts within one.
	gaps []gap
}

// gap is the span between two positions, without either.
type gap struct{ from, to Position }

// addGap records a listing that replaced what was known at an earlier position.
func (h *history) addGap(from, to Position) {
	if !from.Before(to) {
		return
	}
	h.gaps = append(h.gaps, gap{from, to})
	if len(h.gaps) > maxGaps {
		h.reset(to)
	}
}

// reset empties the history after a complete listing.
func (h *history) reset(asOf Position) {
	*h = history{completeSince: asOf}
}

// add appends a batch, drops the changes that it supersedes, and then the oldest batches beyond the bounds; records is
// the number of records of the kind.
func (h *history) add(b Batch, records int) {
	h.supersede(b.Changes)
	h.batches = append(h.batches, b)
	h.count(b.Changes, 1)
	for len(h.batches) > 1 &&
		(h.changes > max(minHistoryChanges, historyChangesPerRecord*records) || h.bytes > maxHistoryBytes) {
		h.completeSince = h.batches[0].AsOf
		h.count(h.batches[0].Changes, -1)
		h.batches = slices.Delete(h.batches, 0, 1)
	}
	h.gaps = slices.DeleteFunc(h.gaps, func(g gap) bool { return !h.completeSince.Before(g.to) })
}

// supersede drops the earlier changes of the objects that have changed again.
func (h *history) supersede(l []Change) {
	names := make(map[string]struct{}, len(l))
	for i := range l {
		names[l[i].Name] = struct{}{}
	}
	for i := range h.batches {
		b := &h.batches[i]
		h.count(b.Changes, -1)
		b.Changes = slices.DeleteFunc(b.Changes, func(c Change) bool {
			_, again := names[c.Name]
			return again
		})
		h.count(b.Changes, 1)
	}
	h.batches = slices.DeleteFunc(h.batches, func(b Batch) bool { return len(b.Changes) == 0 })
}

// count adds changes to the size of the history, or subtracts them if sign is -1.
func (h *history) count(l []Change, sign int) {
	h.changes += sign * len(l)
	for i := range l {
		h.bytes += sign * (len(l[i].Name) + len(l[i].Raw))
	}
}

// since returns the changes after a position; it reports false if the history does not cover them.
func (h *history) since(p Position) ([]Change, bool) {
	if p.Era != h.completeSince.Era || p.Before(h.completeSince) {
		return nil, false
	}
	for _, g := range h.gaps {
		if g.from.Before(p) && p.Before(g.to) {
			return nil, false
		}
	}
	var l []Change
	for _, b := range h.batches {
		if p.Before(b.AsOf) {
			l = append(l, b.Changes...)
		}
	}
	return l, true
}

// Update holds the changes of one kind since a revision, or a complete listing of it.
type Update struct {
	// Whole means that the changes are a complete listing.
	Whole   bool
	Changes []Change
	AsOf    Position
}

// UpdateSince returns the update with the changes of a kind since a position, or a complete listing if the history no
// longer covers them.
func (g *Catalog) UpdateSince(k Kind, p Position) Update {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.history[k].since(p)
	if !ok || !p.Known() {
		return Update{Whole: true, Changes: g.listing(k), AsOf: g.asOf[k]}
	}
	return Update{Changes: l, AsOf: g.asOf[k]}
}

// listing returns all records of a kind that the store has, and the deletions in its present era that are still known;
// the lock must be held. A member that comes from an earlier era needs both: what it has carried over ends with a
// write.
func (g *Catalog) listing(k Kind) []Change {
	changed := map[string]Change{}
	for _, b := range g.history[k].batches {
		for _, c := range b.Changes {
			changed[c.Name] = c
		}
	}
	var l []Change
	for name, o := range g.records[k] {
		if !g.isRetained(k, name) {
			_, inEra := changed[name]
			l = append(l, Change{Record: o, InEra: inEra})
		}
	}
	for _, c := range changed {
		if c.Deleted {
			c.InEra = true
			l = append(l, c)
		}
	}
	return l
}

// ApplyUpdate applies an update that another member sent; k is the kind of the records in it.
func (g *Catalog) ApplyUpdate(k Kind, u Update) {
	if !u.Whole {
		g.Apply(k, Batch{Changes: u.Changes, AsOf: u.AsOf})
		return
	}
	records := make([]Record, 0, len(u.Changes))
	for _, c := range u.Changes {
		if !c.Deleted {
			records = append(records, c.Record)
		}
	}
	g.Replace(k, records, u.AsOf)
	g.endCarriedOver(k, u)
}

// endCarriedOver ends what has been carried over from an earlier era for the objects that a complete listing shows to
// have been written or deleted in its own.
func (g *Catalog) endCarriedOver(k Kind, u Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asOf[k].Era != u.AsOf.Era {
		return
	}
	for _, c := range u.Changes {
		if c.InEra {
			g.carried.recordWrite(k, c.Name)
		}
	}
	g.publish()
}

// Checksums returns a checksum of the names and revisions of the records of each kind.
func (g *Catalog) Checksums() [KindCount]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checksums
}

// ApplyDigest applies another member's digest of a kind: the position of the last change, the checksum of the records,
// and the position up to which that member is current. A catalog of the same era that has the same change, or the same
// records, is current up to that position too.
func (g *Catalog) ApplyDigest(k Kind, changed Position, sum uint64, asOf Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.asOf[k].Known() || asOf.Era != g.asOf[k].Era || !g.asOf[k].Before(asOf) {
		return
	}
	// The same records do not show a write that was undone, which ends what has been carried over.
	if !g.asOf[k].Before(changed) || sum == g.checksums[k] && !g.carried.holds(k) {
		g.asOf[k] = asOf
	}
}

// Listed reports whether a listing of the kind has been loaded.
func (g *Catalog) Listed(k Kind) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records[k] != nil
}

// ofOneEra reports whether every kind has been listed, all in the same era.
func (g *Catalog) ofOneEra() bool {
	_, asOf := g.Positions()
	for _, k := range g.kinds {
		if p := asOf[k]; !p.Known() || p.Era != asOf[Configurations].Era {
			return false
		}
	}
	return true
}

// Positions returns the position of the last change of each kind, and the one up to which each kind is current.
func (g *Catalog) Positions() (changed, asOf [KindCount]Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastChange, g.asOf
}
