package catalog

import (
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
)

// The changes of one kind that are kept for other members are bounded by minHistory, or by historyFactor times its
// records if these are more: a member that is a few batches behind must not need all records while many change at once.
const (
	minHistory    = 1000
	historyFactor = 2
)

// history is the latest batches of changes of one kind.
type history struct {
	// from is the revision after which all changes are known.
	from    ident.Revision
	batches []Batch
	changes int
}

func (h *history) reset(asOf ident.Revision) {
	*h = history{from: asOf}
}

// add keeps a batch; records is how many the kind has.
func (h *history) add(b Batch, records int) {
	h.batches = append(h.batches, b)
	h.changes += len(b.Changes)
	for h.changes > max(minHistory, historyFactor*records) && len(h.batches) > 1 {
		h.from = h.batches[0].AsOf
		h.changes -= len(h.batches[0].Changes)
		h.batches = slices.Delete(h.batches, 0, 1)
	}
}

// since returns the changes after a revision and reports false when they are no longer known.
func (h *history) since(r ident.Revision) ([]Change, bool) {
	if r < h.from {
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

// News is what one kind has become since a revision.
type News struct {
	// Whole means that the changes are all records that there are.
	Whole   bool
	Changes []Change
	AsOf    ident.Revision
}

// Since returns what a kind has become since a revision.
func (g *Catalog) Since(k Kind, r ident.Revision) News {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.history[k].since(r)
	if !ok || r == 0 {
		l = nil
		for _, o := range g.records[k] {
			l = append(l, Change{Record: o})
		}
		return News{Whole: true, Changes: l, AsOf: g.asOf[k]}
	}
	return News{Changes: l, AsOf: g.asOf[k]}
}

// Take takes what another member knows of a kind.
func (g *Catalog) Take(k Kind, n News) {
	if !n.Whole {
		g.Apply(k, Batch{Changes: n.Changes, AsOf: n.AsOf})
		return
	}
	records := make([]Record, 0, len(n.Changes))
	for _, c := range n.Changes {
		records = append(records, c.Record)
	}
	g.Replace(k, records, n.AsOf)
}

// Sums returns a checksum of the names and revisions of each kind's records.
func (g *Catalog) Sums() [Kinds]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sums
}

// Told notes what another member says of a kind: the revision of its last change, the checksum of its records, and the
// revision that it knows them as of. Whoever has that change, or the same records, knows the kind as of the same.
func (g *Catalog) Told(k Kind, changed ident.Revision, sum uint64, asOf ident.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.records[k] != nil && (changed <= g.asOf[k] || sum == g.sums[k]) {
		g.asOf[k] = max(g.asOf[k], asOf)
	}
}

// Revisions returns the revisions of the last change of each kind, and those that the kinds are known as of.
func (g *Catalog) Revisions() (changed, asOf [Kinds]ident.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed, g.asOf
}
