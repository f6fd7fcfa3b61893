package catalog

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
)

// maxOddLogged is how many objects that can't be decoded are remembered as logged.
const maxOddLogged = 1024

// oddLog holds the revision of each object that can't be decoded and is in the log, by the hash of its kind and name.
// The objects themselves are not kept: other writers decide how many there are.
type oddLog map[uint64]ident.Revision

// isNew records an object and reports whether this revision of it has not been recorded yet.
func (o *oddLog) isNew(k Kind, r *Record) bool {
	h := xxhash.Sum64String(k.String() + "/" + r.Name)
	if at, ok := (*o)[h]; ok && at == r.Revision {
		return false
	}
	if *o == nil || len(*o) >= maxOddLogged {
		*o = oddLog{}
	}
	(*o)[h] = r.Revision
	return true
}

// isOdd reports whether a record is an object that can't be decoded.
func isOdd(r *Record) bool {
	_, odd := r.Entry.(Undecodable)
	return odd
}

// withoutUnknownOdd returns the changes without the objects that can't be decoded and have no record, which change
// nothing.
func withoutUnknownOdd(l []Change, records map[string]Record) []Change {
	return slices.DeleteFunc(slices.Clone(l), func(c Change) bool {
		_, known := records[c.Name]
		return isOdd(&c.Record) && !c.Deleted && !known
	})
}

// splitOdd splits the records of a listing into those that can be used and those that can't be decoded, by name.
func splitOdd(l []Record) (usable, odd map[string]Record) {
	usable, odd = make(map[string]Record, len(l)), map[string]Record{}
	for i := range l {
		if isOdd(&l[i]) {
			odd[l[i].Name] = l[i]
			continue
		}
		usable[l[i].Name] = l[i]
	}
	return usable, odd
}

// logOdd logs the objects that can't be decoded, each revision once: the first maxLoggedChanges one by one, and how
// many there are beyond them.
func (g *Catalog) logOdd(k Kind, odd map[string]Record) {
	n := 0
	for _, name := range slices.Sorted(maps.Keys(odd)) {
		r := odd[name]
		if !g.odd.isNew(k, &r) {
			continue
		}
		if n++; n <= maxLoggedChanges {
			g.log.Info().Str("Kind", k.String()).Str("Name", loggedName(name)).Uint64("Revision", uint64(r.Revision)).
				Err(r.Entry.(Undecodable).Err).Msg("object can't be decoded")
		}
	}
	if n > maxLoggedChanges {
		g.log.Info().Str("Kind", k.String()).Int("Objects", n).Msg("many objects can't be decoded")
	}
}
