package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Place is a position in an input file; line and column are counted from 1.
type Place struct {
	File   string
	Line   int
	Column int
}

// Finding is an error at a position; its text says what is wrong and what is expected.
type Finding struct {
	Place Place
	Text  string
}

// List contains the findings of one input; a non-empty list is an error.
type List []Finding

// String formats a finding as FILE:LINE:COLUMN: text.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.Place.File, f.Place.Line, f.Place.Column, f.Text)
}

// Error returns all findings, one per line.
func (l List) Error() string {
	b := make([]string, 0, len(l))
	for _, f := range l {
		b = append(b, f.String())
	}
	return strings.Join(b, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders the findings by position.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i].Place, l[j].Place
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// Merge returns both lists ordered by position. It omits those of others on a line with a finding of l, since that
// finding may be their cause.
func (l List) Merge(others List) List {
	lines := map[Place]bool{}
	for _, f := range l {
		lines[f.Place.withoutColumn()] = true
	}
	r := append(List{}, l...)
	for _, f := range others {
		if !lines[f.Place.withoutColumn()] {
			r = append(r, f)
		}
	}
	r.Sort()
	return r
}

func (p Place) withoutColumn() Place {
	return Place{File: p.File, Line: p.Line}
}
