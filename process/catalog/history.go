package catalog

import (
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
)

// The history of a kind is bounded by minHistoryChanges, or by historyChangesPerRecord times the number of its records
// if that is more, so that a member a few batches behind needs no complete listing while many records change at once.
const (
	minHistoryChanges       = 1000
	historyChangesPerRecord = 2
)

// history holds the most recent batches of changes of one kind.
type history struct {
	// completeSince is the revision after which the history is complete.
	completeSince ident.Revision
	batches       []Batch
	changes       int
}

// reset empties the history after a complete listing.
func (h *history) reset(asOf ident.Revision) {
	*h = history{completeSince: asOf}
}

// add appends a batch and drops the oldest batches beyond the bound; records is the number of records of the kind.
func (h *history) add(b Batch, records int) {
	h.batches = append(h.batches, b)
	h.changes += len(b.Changes)
	for h.changes > max(minHistoryChanges, historyChangesPerRecord*records) && len(h.batches) > 1 {
		h.completeSince = h.batches[0].AsOf
		h.changes -= len(h.batches[0].Changes)
		h.batches = slices.Delete(h.batches, 0, 1)
	}
}

// since returns the changes after a revision; it reports false if the history no longer covers them.
func (h *history) since(r ident.Revision) ([]Change, bool) {
	if r < h.completeSince {
		return nil, false
	}
	var l []Change
	for _, b := range h.batches {
		if b.AsOf > r {
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
	AsOf    ident.Revision
}

// UpdateSince returns the update with the changes of a kind since a revision, or a complete listing if the history no
// longer covers them.
func (g *Catalog) UpdateSince(k Kind, r ident.Revision) Update {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.history[k].since(r)
	if !ok || r == 0 {
		l = nil
		for _, o := range g.records[k] {
			l = append(l, Change{Record: o})
		}
		return Update{Whole: true, Changes: l, AsOf: g.asOf[k]}
	}
	return Update{Changes: l, AsOf: g.asOf[k]}
}

// ApplyUpdate applies an update that another member sent; k is the kind of the records in it.
func (g *Catalog) ApplyUpdate(k Kind, u Update) {
	if !u.Whole {
		g.Apply(k, Batch{Changes: u.Changes, AsOf: u.AsOf})
		return
	}
	records := make([]Record, 0, len(u.Changes))
	for _, c := range u.Changes {
		records = append(records, c.Record)
	}
	g.Replace(k, records, u.AsOf)
}

// Checksums returns a checksum of the names and revisions of the records of each kind.
func (g *Catalog) Checksums() [KindCount]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checksums
}

// ApplyDigest applies another member's digest of a kind: the revision of the last change, the checksum of the records,
// and the revision up to which that member is current. A catalog that has the same change, or the same records, is
// current up to that revision too.
func (g *Catalog) ApplyDigest(k Kind, changed ident.Revision, sum uint64, asOf ident.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.records[k] != nil && (changed <= g.asOf[k] || sum == g.checksums[k]) {
		g.asOf[k] = max(g.asOf[k], asOf)
	}
}

// Revisions returns the revision of the last change of each kind, and the one up to which each kind is current.
func (g *Catalog) Revisions() (changed, asOf [KindCount]ident.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastChange, g.asOf
}
