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

// New returns the directory of the teams. Its error lists every finding, with the number of the team and of the key in
// the input, counted from 1, and without any key.
func New(teams []Team) (*Directory, error) {
	var errs []error
	keys := 0
	names := make(map[ident.Team]int, len(teams))
	for i := range teams {
		errs = append(errs, check(i+1, &teams[i])...)
		if first, ok := names[teams[i].Name]; ok {
			errs = append(errs, fmt.Errorf("team %d: name %q is that of team %d", i+1, teams[i].Name, first))
		} else {
			names[teams[i].Name] = i + 1
		}
		keys += len(teams[i].Keys)
	}
	errs = append(errs, checkKeys(teams, keys)...)
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	d := &Directory{teams: slices.Clone(teams), byKey: make(map[Digest]uint32, keys)}
	slices.SortFunc(d.teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	for i := range d.teams {
		for _, k := range d.teams[i].Keys {
			d.byKey[k] = uint32(i)
		}
		d.teams[i].Keys = nil
	}
	return d, nil
}

// Empty returns a directory without teams.
func Empty() *Directory {
	return &Directory{}
}

// check returns the findings of one team, whose number is n.
func check(n int, t *Team) []error {
	var errs []error
	if t.Name == "" {
		errs = append(errs, fmt.Errorf("team %d: name is missing", n))
	}
	// A control character could end the header that carries the name to targets.
	if strings.ContainsFunc(string(t.Name), func(r rune) bool { return r < ' ' || r == 0x7f }) {
		errs = append(errs, fmt.Errorf("team %d: name %q has control characters", n, t.Name))
	}
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

// checkKeys returns the findings on the keys of all teams. A key that occurs twice in one team is none, since it says
// the same twice.
func checkKeys(teams []Team, keys int) []error {
	var errs []error
	empty := DigestOf("")
	owners := make(map[Digest]int, keys)
	for i := range teams {
		for j, k := range teams[i].Keys {
			if k == empty {
				errs = append(errs, fmt.Errorf("team %d (%q): API key %d is empty", i+1, teams[i].Name, j+1))
				continue
			}
			if o, ok := owners[k]; ok && o != i {
				errs = append(errs, fmt.Errorf("team %d (%q): API key %d is also a key of team %d (%q)", i+1, teams[i].Name,
					j+1, o+1, teams[o].Name))
				continue
			}
			owners[k] = i
		}
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
