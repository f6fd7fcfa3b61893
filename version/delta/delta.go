package delta

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Delta turns the configuration of one version into that of another.
type Delta struct {
	From ident.Version
	To   ident.Version
	// Head is nil if no part of it changed.
	Head *Head
	// Service contains the new and the changed services, each in full.
	Service []config.Service
	// Removed names the services that were removed.
	Removed []ident.Service
}

// Head is the part of a configuration that applies to all services.
type Head struct {
	Budget     config.Budget
	DataCentre []config.DataCentre
}

// Between returns the delta that turns configuration a into configuration b.
func Between(from ident.Version, a *config.Config, to ident.Version, b *config.Config) *Delta {
	d := &Delta{From: from, To: to}
	if a.Budget != b.Budget || !slices.Equal(a.DataCentre, b.DataCentre) {
		d.Head = &Head{Budget: b.Budget, DataCentre: b.DataCentre}
	}
	old := servicesByName(a)
	for _, s := range b.Service {
		if o, ok := old[s.Name]; !ok || !reflect.DeepEqual(*o, s) {
			d.Service = append(d.Service, s)
		}
	}
	kept := servicesByName(b)
	for _, s := range a.Service {
		if _, ok := kept[s.Name]; !ok {
			d.Removed = append(d.Removed, s.Name)
		}
	}
	return d
}

// Apply applies the delta to configuration c; it fails if v, the version of c, is not the version that the delta starts
// from.
func (d *Delta) Apply(v ident.Version, c *config.Config) (*config.Config, error) {
	if v != d.From {
		return nil, fmt.Errorf("delta from version %s does not apply to version %s", d.From, v)
	}
	h := Head{Budget: c.Budget, DataCentre: c.DataCentre}
	if d.Head != nil {
		h = *d.Head
	}
	return config.New(h.Budget, h.DataCentre, d.mergeServices(c)), nil
}

// mergeServices returns the services in the order of the older configuration, followed by the new ones.
func (d *Delta) mergeServices(c *config.Config) []config.Service {
	changed := map[ident.Service]config.Service{}
	for _, s := range d.Service {
		changed[s.Name] = s
	}
	removed := map[ident.Service]bool{}
	for _, n := range d.Removed {
		removed[n] = true
	}
	var r []config.Service
	for _, s := range c.Service {
		if removed[s.Name] {
			continue
		}
		if n, ok := changed[s.Name]; ok {
			s = n
			delete(changed, s.Name)
		}
		r = append(r, s)
	}
	for _, s := range d.Service {
		if _, ok := changed[s.Name]; ok {
			r = append(r, s)
		}
	}
	return r
}

// Format formats a delta as TOML.
func (d *Delta) Format() ([]byte, error) {
	b, err := toml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("format delta: %w", err)
	}
	return b, nil
}

// Parse parses a delta from TOML; unknown keys are an error.
func Parse(b []byte) (*Delta, error) {
	d := &Delta{}
	t := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := t.Decode(d); err != nil {
		return nil, fmt.Errorf("parse delta: %w", err)
	}
	return d, nil
}

func servicesByName(c *config.Config) map[ident.Service]*config.Service {
	m := make(map[ident.Service]*config.Service, len(c.Service))
	for i := range c.Service {
		m[c.Service[i].Name] = &c.Service[i]
	}
	return m
}
