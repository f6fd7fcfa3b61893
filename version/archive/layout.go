package archive

import (
	"fmt"
	"reflect"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// nextSnapshot assigns the services of a newer configuration to groups: a group whose services are all unchanged keeps
// its object, and services stay in their group, so that a small change rewrites one group.
//
// No other writer may use the prefix.
func nextSnapshot(old *Snapshot, c *config.Config, prefix string) (*Snapshot, error) {
	n := &Snapshot{Config: c, groups: map[string]*group{}}
	n.Head.Budget, n.Head.DataCentre = c.Budget, c.DataCentre
	l := &layout{snapshot: n, prefix: prefix}
	rest := map[ident.Service]*config.Service{}
	for i := range c.Service {
		rest[c.Service[i].Name] = &c.Service[i]
	}
	for _, o := range old.Head.Group {
		if err := l.keepGroup(o, old.groups[o], rest); err != nil {
			return nil, err
		}
	}
	var added []config.Service
	for i := range c.Service {
		if _, ok := rest[c.Service[i].Name]; ok {
			added = append(added, c.Service[i])
		}
	}
	return n, l.addServices(added)
}

// layout collects the groups of a snapshot.
type layout struct {
	snapshot *Snapshot
	prefix   string
	count    int
}

// keepGroup adds the remaining services of a group and deletes them from rest.
func (l *layout) keepGroup(object string, g *group, rest map[ident.Service]*config.Service) error {
	same := true
	var kept []config.Service
	for i := range g.services {
		s, ok := rest[g.services[i].Name]
		if !ok {
			same = false
			continue
		}
		same = same && reflect.DeepEqual(*s, g.services[i])
		kept = append(kept, *s)
		delete(rest, s.Name)
	}
	if same {
		l.addGroup(object, g)
		return nil
	}
	return l.addServices(kept)
}

// addServices puts services into new groups; a service that is larger than MaxGroupSize gets a group of its own.
func (l *layout) addServices(s []config.Service) error {
	for a := 0; a < len(s); {
		g, n, err := packGroup(s[a:])
		if err != nil {
			return err
		}
		l.count++
		l.addGroup(fmt.Sprintf("%s-%d", l.prefix, l.count), g)
		a += n
	}
	return nil
}

func (l *layout) addGroup(object string, g *group) {
	l.snapshot.Head.Group = append(l.snapshot.Head.Group, object)
	l.snapshot.groups[object] = g
}

// packGroup returns a group of as many services as fit, at least one, and their number.
func packGroup(s []config.Service) (*group, int, error) {
	n, size := 0, 0
	for n < len(s) {
		g, err := formatGroup(s[n : n+1])
		if err != nil {
			return nil, 0, err
		}
		size += len(g.text)
		if n > 0 && size > MaxGroupSize {
			break
		}
		n++
	}
	g, err := formatGroup(s[:n])
	return g, n, err
}
