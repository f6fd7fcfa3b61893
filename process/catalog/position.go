package catalog

import (
	"cmp"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Position identifies a state of the store: the state at a revision in an era. The zero value is before all states.
type Position struct {
	Era      ident.Era
	Revision ident.Revision
}

// Compare returns -1, 0 or 1 if p is before, at or after q. Every state of an era comes before those of the next.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Compare(q) < 0
}

// Known reports whether p is a state that the store has confirmed, not the zero value.
func (p Position) Known() bool {
	return p.Revision != 0
}
