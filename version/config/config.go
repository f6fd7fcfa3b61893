package config

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/amaranthramp/amaranthramp/ident"
)

// State tells whether operators want new work sent to an upstream or a data centre.
type State string

// The states that operators declare.
const (
	// In means that new work is welcome.
	In State = "In"
	// Out means that new work must stop; requests in flight finish.
	Out State = "Out"
)

// Duration is a time span written like "250ms".
type Duration time.Duration

// Config is one accepted configuration.
type Config struct {
	Budget     Budget
	DataCentre []DataCentre
	Service    []Service

	index *index
}

// Budget bounds what the system may spend on upstreams beyond callers' requests.
type Budget struct {
	// ProbeShare is the share of a target's slot-time that probes may use.
	ProbeShare ident.Share
	// RetryShare is the share of first attempts that may be retried.
	RetryShare ident.Share
	// HedgeShare is the share of first attempts that may be hedged.
	HedgeShare ident.Share
}

// DataCentre is a data centre and whether it takes new work.
type DataCentre struct {
	Name  ident.DataCentre
	State State
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name ident.Service
	// Host is the host name by which callers reach the service.
	Host string
	// Shards is the number of splits in each data centre.
	Shards int
	// Slots is the number of requests that one target runs at the same time.
	Slots ident.Slots
	// ColdLimit is the number of requests that a target in a cold start can bear.
	ColdLimit ident.Slots
	// Connections bounds the open connections to one target.
	Connections int
	// ConnectCost is the slot-time that a target spends on one new connection.
	ConnectCost Duration
	// ProbeCost is the slot-time that a target spends on one probe; zero means that probes are not allowed.
	ProbeCost Duration
	// ProbePath is the path that probes request.
	ProbePath string
	// KeyRetention is how long the record of an idempotency key is kept.
	KeyRetention Duration
	Class        []Class
	Upstream     []Upstream
}

// Class is a kind of request with its own weight and deadline.
type Class struct {
	Name       ident.Class
	Methods    []string
	PathPrefix string
	// Idempotent tells whether a request may run more than once.
	Idempotent bool
	Weight     ident.Weight
	Deadline   Duration
}

// Upstream is one target.
type Upstream struct {
	Name       ident.Upstream
	Address    ident.Address
	DataCentre ident.DataCentre
	State      State
}

// UnmarshalText reads a duration; it fails on anything that time.ParseDuration refuses.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a duration as it is read.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Parse reads a configuration from TOML and fills in defaults; unknown keys are an error.
func Parse(b []byte) (*Config, error) {
	c := &Config{}
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	c.Complete()
	return c, nil
}

// Complete fills in defaults and builds the tables by which services are found.
func (c *Config) Complete() {
	c.CompleteExcept(nil)
}

// CompleteExcept is Complete that leaves a zero alone where the key was written down, so that a check can refuse it.
func (c *Config) CompleteExcept(written func(path string) bool) {
	c.fillDefaults(written)
	c.index = newIndex(c)
}

// Format writes a configuration as TOML.
func (c *Config) Format() ([]byte, error) {
	b, err := toml.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("format configuration: %w", err)
	}
	return b, nil
}

// FindClass returns the class with the longest matching path prefix among those with the method.
func (s *Service) FindClass(method, path string) (*Class, bool) {
	var r *Class
	for i := range s.Class {
		c := &s.Class[i]
		if !c.matches(method, path) {
			continue
		}
		if r == nil || len(c.PathPrefix) > len(r.PathPrefix) {
			r = c
		}
	}
	return r, r != nil
}

// ClassByName returns the class with the given name.
func (s *Service) ClassByName(n ident.Class) (*Class, bool) {
	for i := range s.Class {
		if s.Class[i].Name == n {
			return &s.Class[i], true
		}
	}
	return nil, false
}

func (c *Class) matches(method, path string) bool {
	if !strings.HasPrefix(path, c.PathPrefix) {
		return false
	}
	for _, m := range c.Methods {
		if m == method {
			return true
		}
	}
	return false
}
