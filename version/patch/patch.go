package patch

import (
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/document"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

// Patch sets what it holds and leaves all else as it is; services, classes and upstreams are found by their names and
// added when there are none.
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

// File is a patch that was read, with the places of its keys.
type File struct {
	Patch    Patch
	document *document.Document
}

// Read reads a patch from TOML; a file with findings must not be applied.
func Read(name string, b []byte) (*File, finding.List) {
	f := &File{}
	d, l := document.Read(name, b, &f.Patch)
	f.document = d
	return f, l
}

// Apply returns the configuration that results from a complete older one, or all findings.
func (f *File) Apply(old *config.Config) (*config.Config, finding.List) {
	c := clone(old)
	merge(f, c)
	k := &checker{file: f, locator: newLocator(f, c)}
	k.remove(c)
	// The removals moved elements, and the places of findings follow from their order.
	k.locator = newLocator(f, c)
	c.CompleteExcept(k.locator.isSet)
	k.checkTargets(old, c)
	k.list = append(k.list, c.Findings(k.locator)...)
	k.list.Sort()
	return c, k.list
}
