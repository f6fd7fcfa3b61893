package config

import "github.com/amaranthramp/amaranthramp/ident"

// index finds services and data centres without a scan over all of them, since each request needs a lookup.
type index struct {
	service    map[ident.Service]int
	host       map[string]int
	dataCentre map[ident.DataCentre]State
}

func newIndex(c *Config) *index {
	x := &index{
		service:    make(map[ident.Service]int, len(c.Service)),
		host:       make(map[string]int, len(c.Service)),
		dataCentre: make(map[ident.DataCentre]State, len(c.DataCentre)),
	}
	for i := range c.Service {
		x.service[c.Service[i].Name] = i
		x.host[c.Service[i].Host] = i
	}
	for _, d := range c.DataCentre {
		x.dataCentre[d.Name] = d.State
	}
	return x
}

// New returns a configuration of parts whose defaults are filled in, such as those of another configuration.
func New(b Budget, d []DataCentre, s []Service) *Config {
	c := &Config{Budget: b, DataCentre: d, Service: s}
	c.index = newIndex(c)
	return c
}

// lookup returns the index; a configuration that was created as a literal has none, so that each call builds one.
func (c *Config) lookup() *index {
	if c.index != nil {
		return c.index
	}
	return newIndex(c)
}

// FindService returns the service with the given name.
func (c *Config) FindService(n ident.Service) (*Service, bool) {
	i, ok := c.lookup().service[n]
	if !ok {
		return nil, false
	}
	return &c.Service[i], true
}

// FindServiceByHost returns the service that callers reach by the given host name.
func (c *Config) FindServiceByHost(h string) (*Service, bool) {
	i, ok := c.lookup().host[h]
	if !ok {
		return nil, false
	}
	return &c.Service[i], true
}

// DataCentreState returns the state of a data centre; an undeclared one is Out.
func (c *Config) DataCentreState(n ident.DataCentre) State {
	s, ok := c.lookup().dataCentre[n]
	if !ok {
		return Out
	}
	return s
}
