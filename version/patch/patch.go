package patch

import (
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/document"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

// Patch sets the keys that it contains and leaves all others unchanged; services, classes and upstreams are identified
// by their names and added if they don't exist.
type Patch struct {
	ID       ident.Patch
	Against  ident.Version
	Operator string

	Budget     config.Budget
	DataCentre []config.DataCentre
	Service    []config.Service
	Remove     []Removal
}

// Removal names what a patch removes: a data centre, a service, or a class or an upstream of a service.
type Removal struct {
	DataCentre ident.DataCentre
	Service    ident.Service
	Class      ident.Class
	Upstream   ident.Upstream
}

// File is a parsed patch with the positions of its keys.
type File struct {
	Patch    Patch
	document *document.Document
}

// Read parses a patch from TOML; a file with findings must not be applied.
func Read(name string, b []byte) (*File, finding.List) {
	f := &File{}
	d, l := document.Read(name, b, &f.Patch)
	f.document = d
	return f, l
}

// Apply applies the patch to a configuration whose defaults are filled in and returns the result with all findings; the
// result is valid only if there are none.
func (f *File) Apply(old *config.Config) (*config.Config, finding.List) {
	c := clone(old)
	merge(f, c)
	k := &checker{file: f, locator: newLocator(f, c)}
	k.remove(c)
	// Removals shift the indexes of elements, which the locator needs to find positions.
	k.locator = newLocator(f, c)
	c.CompleteExcept(k.locator.isSet)
	k.checkTargets(old, c)
	k.list = append(k.list, c.Findings(k.locator)...)
	k.list.Sort()
	return c, k.list
}
