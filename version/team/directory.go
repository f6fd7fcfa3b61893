package team

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Directory finds teams by their API keys and names; it is immutable after New.
type Directory struct {
	// teams are sorted by name.
	teams []Team
	// byKey holds the index in teams of each key's team.
	byKey map[Digest]uint32
}

// New returns the directory of the teams that can be used. Its error lists every finding, with the number of the team
// and of the key in the input, counted from 1, and without any key. A team whose name can't be used is left out, and so
// is a key that is empty or belongs to an earlier team; the keys of a further team of the same name go to the first. A
// number below zero counts as zero.
func New(teams []Team) (*Directory, error) {
	b := builder{byName: make(map[ident.Team]*Team, len(teams)), numbers: make(map[ident.Team]int, len(teams)),
		owners: map[Digest]ident.Team{}}
	for i := range teams {
		b.add(i+1, teams[i])
	}
	return b.directory(), errors.Join(b.errs...)
}

// builder collects the teams of a directory.
type builder struct {
	byName map[ident.Team]*Team
	// numbers holds the number of each team in the input, and owners the team of each key.
	numbers map[ident.Team]int
	owners  map[Digest]ident.Team
	errs    []error
}

// add adds a team, or its keys to an earlier one of the same name.
func (b *builder) add(n int, t Team) {
	nameErr := checkName(n, t.Name)
	if nameErr != nil {
		b.errs = append(b.errs, nameErr)
	}
	b.errs = append(b.errs, checkNumbers(n, &t)...)
	if nameErr != nil {
		return
	}
	keys := t.Keys
	if first, ok := b.numbers[t.Name]; ok {
		b.errs = append(b.errs, fmt.Errorf("team %d: name %q is that of team %d, which gets its keys", n, t.Name, first))
	} else {
		t.Keys, t.Priority, t.Rate, t.Burst = nil, max(t.Priority, 0), max(t.Rate, 0), max(t.Burst, 0)
		b.byName[t.Name], b.numbers[t.Name] = &t, n
	}
	empty := DigestOf("")
	for i, k := range keys {
		o, taken := b.owners[k]
		switch {
		case k == empty:
			b.errs = append(b.errs, fmt.Errorf("team %d (%q): API key %d is empty", n, t.Name, i+1))
		case taken && o != t.Name:
			b.errs = append(b.errs, fmt.Errorf("team %d (%q): API key %d is also a key of team %d (%q)", n, t.Name, i+1,
				b.numbers[o], o))
		default:
			b.owners[k] = t.Name
		}
	}
}

// directory returns the directory of what has been added.
func (b *builder) directory() *Directory {
	d := &Directory{teams: make([]Team, 0, len(b.byName)), byKey: make(map[Digest]uint32, len(b.owners))}
	for _, t := range b.byName {
		d.teams = append(d.teams, *t)
	}
	slices.SortFunc(d.teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	index := make(map[ident.Team]uint32, len(d.teams))
	for i := range d.teams {
		index[d.teams[i].Name] = uint32(i)
	}
	for k, n := range b.owners {
		d.byKey[k] = index[n]
	}
	return d
}

// checkName returns what is wrong with the name of the team with number n.
func checkName(n int, name ident.Team) error {
	switch {
	case name == "":
		return fmt.Errorf("team %d: name is missing", n)
	// A control character could end the header that carries the name to targets.
	case strings.ContainsFunc(string(name), func(r rune) bool { return r < ' ' || r == 0x7f }):
		return fmt.Errorf("team %d: name %.40q has control characters", n, name)
	}
	return nil
}

// checkNumbers returns the findings on the numbers of the team with number n.
func checkNumbers(n int, t *Team) []error {
	var errs []error
	if t.Priority < 0 {
		errs = append(errs, fmt.Errorf("team %d (%q): priority is %d; it must not be below zero", n, t.Name, t.Priority))
	}
	if t.Rate < 0 {
		errs = append(errs, fmt.Errorf("team %d (%q): rate is %g; it must not be below zero", n, t.Name, t.Rate))
	}
	if t.Burst < 0 {
		errs = append(errs, fmt.Errorf("team %d (%q): burst is %g; it must not be below zero", n, t.Name, t.Burst))
	}
	return errs
}

// Find returns the team that an API key belongs to.
func (d *Directory) Find(key string) (*Team, bool) {
	i, ok := d.byKey[DigestOf(key)]
	if !ok {
		return nil, false
	}
	return &d.teams[i], true
}

// Named returns the team with the given name.
func (d *Directory) Named(name ident.Team) (*Team, bool) {
	i, ok := slices.BinarySearchFunc(d.teams, name, func(t Team, n ident.Team) int { return cmp.Compare(t.Name, n) })
	if !ok {
		return nil, false
	}
	return &d.teams[i], true
}

// Size returns the number of teams.
func (d *Directory) Size() int {
	return len(d.teams)
}
