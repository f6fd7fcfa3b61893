package patch

import (
	"fmt"
	"slices"

	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

// checker validates the change itself and collects the findings.
type checker struct {
	file    *File
	locator *locator
	list    finding.List
}

func (k *checker) add(path, format string, args ...any) {
	k.list = append(k.list, k.file.document.Finding(path, format, args...))
}

// remove applies the removals of the patch.
func (k *checker) remove(c *config.Config) {
	for i, r := range k.file.Patch.Remove {
		if !r.apply(c) {
			k.add(fmt.Sprintf("Remove[%d]", i), "there is no such %s; name one that the configuration has", r)
		}
	}
}

// apply removes the element; it returns false if the removal is not valid or the element doesn't exist.
func (r Removal) apply(c *config.Config) bool {
	if r.DataCentre != "" {
		ok := r.Service == "" && r.Class == "" && r.Upstream == ""
		return ok && deleteMatching(&c.DataCentre, func(d config.DataCentre) bool { return d.Name == r.DataCentre })
	}
	i := slices.IndexFunc(c.Service, func(s config.Service) bool { return s.Name == r.Service })
	if i < 0 {
		return false
	}
	s := &c.Service[i]
	switch {
	case r.Class != "" && r.Upstream != "":
		return false
	case r.Class != "":
		return deleteMatching(&s.Class, func(k config.Class) bool { return k.Name == r.Class })
	case r.Upstream != "":
		return deleteMatching(&s.Upstream, func(u config.Upstream) bool { return u.Name == r.Upstream })
	default:
		return deleteMatching(&c.Service, func(s config.Service) bool { return s.Name == r.Service })
	}
}

// String describes the removed element.
func (r Removal) String() string {
	switch {
	case r.DataCentre != "":
		return fmt.Sprintf("data centre %q", r.DataCentre)
	case r.Class != "":
		return fmt.Sprintf("class %q of service %q", r.Class, r.Service)
	case r.Upstream != "":
		return fmt.Sprintf("upstream %q of service %q", r.Upstream, r.Service)
	default:
		return fmt.Sprintf("service %q", r.Service)
	}
}

func deleteMatching[T any](l *[]T, matches func(T) bool) bool {
	n := len(*l)
	*l = slices.DeleteFunc(*l, matches)
	return len(*l) < n
}

// checkTargets reports changes that would move a target to another shard. While some VMs still use the older version,
// two VMs would dispatch requests to it.
func (k *checker) checkTargets(old, c *config.Config) {
	before := archive.PlacementsByAddress(old)
	for i := range c.Service {
		s := &c.Service[i]
		path := fmt.Sprintf("Service[%d]", i)
		if o, ok := old.FindService(s.Name); ok && o.Shards != s.Shards {
			k.list = append(k.list, k.locator.Finding(path+".Shards",
				"Shards of service %q must stay %d; add a service under another name instead", s.Name, o.Shards))
			continue
		}
		for j, u := range s.Upstream {
			o, ok := before[u.Address]
			n := archive.Placement{Service: s.Name, DataCentre: u.DataCentre, Upstream: u.Name, Shards: s.Shards}
			if ok && o != n {
				k.list = append(k.list, k.locator.Finding(fmt.Sprintf("%s.Upstream[%d].Address", path, j),
					"target %s is upstream %q of service %q in %q and can't move at once; "+
						"remove it in one patch and add it in a later one", u.Address, o.Upstream, o.Service, o.DataCentre))
			}
		}
	}
}
