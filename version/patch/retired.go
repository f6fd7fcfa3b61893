package patch

import (
	"fmt"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

// AddressReuseDelay is the time for which the address of a removed target can't be added with another placement
// (archive.Placement). A VM that still uses the older version may send requests to the target meanwhile. The delay is
// well above the time within which a version is in force on all VMs, since the removal and the new patch may be
// accepted by two control processes, whose clocks differ.
const AddressReuseDelay = 30 * time.Second

// MaxRetired limits the number of removed targets that are tracked at the same time, each for AddressReuseDelay.
const MaxRetired = 4000

// updateRetired returns the removed targets to track after a change, and findings about targets that are added again
// with another placement before AddressReuseDelay has passed.
func updateRetired(f *File, head *archive.Head, old, c *config.Config, now time.Time) ([]archive.Retired,
	finding.List,
) {
	var l finding.List
	before, after := archive.PlacementsByAddress(old), archive.PlacementsByAddress(c)
	var r []archive.Retired
	for _, x := range head.Retired {
		if now.Sub(x.At) >= AddressReuseDelay {
			continue
		}
		r = append(r, x)
		if n, ok := after[x.Address]; ok && n != x.Place {
			l = append(l, f.document.Finding(addressPath(f, x.Address),
				"target %s was removed as upstream %q of service %q %s ago; submit this patch again in %s", x.Address,
				x.Place.Upstream, x.Place.Service, now.Sub(x.At).Round(time.Second),
				(AddressReuseDelay-now.Sub(x.At)).Round(time.Second)))
		}
	}
	for a, p := range before {
		if _, ok := after[a]; !ok {
			r = append(r, archive.Retired{Address: a, Place: p, At: now})
		}
	}
	if len(r) > MaxRetired {
		l = append(l, f.document.Finding("", "%d targets would be removed within %s; remove at most %d at a time",
			len(r), AddressReuseDelay, MaxRetired))
	}
	return r, l
}

// addressPath returns the path of an upstream's address within the patch.
func addressPath(f *File, a ident.Address) string {
	for i, s := range f.Patch.Service {
		for j, u := range s.Upstream {
			if u.Address == a {
				return fmt.Sprintf("Service[%d].Upstream[%d].Address", i, j)
			}
		}
	}
	return ""
}
