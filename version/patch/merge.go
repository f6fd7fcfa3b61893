package patch

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/document"
)

// clone copies a configuration, including all slices that a patch may change.
func clone(c *config.Config) *config.Config {
	n := &config.Config{
		Budget: c.Budget, DataCentre: slices.Clone(c.DataCentre), Service: slices.Clone(c.Service),
	}
	for i := range n.Service {
		s := &n.Service[i]
		s.Class = slices.Clone(s.Class)
		s.Upstream = slices.Clone(s.Upstream)
	}
	return n
}

// merge sets the keys that the patch contains.
func merge(f *File, c *config.Config) {
	m := merger{document: f.document}
	p := &f.Patch
	m.fields(reflect.ValueOf(&c.Budget).Elem(), reflect.ValueOf(p.Budget), "Budget")
	m.elements(reflect.ValueOf(&c.DataCentre).Elem(), reflect.ValueOf(p.DataCentre), "DataCentre")
	m.elements(reflect.ValueOf(&c.Service).Elem(), reflect.ValueOf(p.Service), "Service")
}

// merger copies the values of the keys that a document contains.
type merger struct {
	document *document.Document
}

func (m merger) fields(to, from reflect.Value, path string) {
	for i := range to.NumField() {
		p := path + "." + to.Type().Field(i).Name
		t := to.Field(i)
		switch {
		case t.Kind() == reflect.Slice && t.Type().Elem().Kind() == reflect.Struct:
			m.elements(t, from.Field(i), p)
		case m.document.Has(p):
			t.Set(from.Field(i))
		}
	}
}

// elements merges arrays of tables, in which tables are identified by their names.
func (m merger) elements(to, from reflect.Value, path string) {
	for i := range from.Len() {
		e := from.Index(i)
		t := findByName(to, e.FieldByName("Name").String())
		if !t.IsValid() {
			to.Set(reflect.Append(to, reflect.Zero(to.Type().Elem())))
			t = to.Index(to.Len() - 1)
		}
		m.fields(t, e, fmt.Sprintf("%s[%d]", path, i))
	}
}

func findByName(l reflect.Value, name string) reflect.Value {
	for i := range l.Len() {
		if l.Index(i).FieldByName("Name").String() == name {
			return l.Index(i)
		}
	}
	return reflect.Value{}
}
