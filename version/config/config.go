package config

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/amaranthramp/amaranthramp/ident"
)

// State declares whether new requests are sent to an upstream or a data centre.
type State string

// The states that operators declare for an upstream or a data centre.
const (
	// In means that new requests are sent to the upstream or data centre.
	In State = "In"
	// Out means that no new requests are sent to the upstream or data centre; requests in flight complete.
	Out State = "Out"
)

// Duration is a duration that is written as text, such as "250ms".
type Duration time.Duration

// Config is one accepted configuration.
type Config struct {
	Budget     Budget
	DataCentre []DataCentre
	Service    []Service

	index *index
}

// Budget limits the load that the system puts on upstreams in addition to callers' requests.
type Budget struct {
	// ProbeShare is the share of a target's slot time that probes may use. Slot time is the time for which requests and
	// probes occupy slots: a target with three slots has three seconds of it in each second.
	ProbeShare ident.Share
	// RetryShare is the share of first attempts that may be retried.
	RetryShare ident.Share
	// HedgeShare is the share of first attempts that may be hedged.
	HedgeShare ident.Share
}

// DataCentre declares a data centre and its state.
type DataCentre struct {
	Name  ident.DataCentre
	State State
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name ident.Service
	// Host is the host name by which callers reach the service.
	Host string
	// Shards is the number of parts into which the targets of the service in each data centre are divided; one VM at a
	// time dispatches to the targets of a shard.
	Shards int
	// Slots is the number of requests that one target processes concurrently.
	Slots ident.Slots
	// ColdLimit is the number of concurrent requests that a target can handle during a cold start.
	ColdLimit ident.Slots
	// Connections limits the open connections to one target.
	Connections int
	// ConnectCost is the slot time that a target spends on one new connection.
	ConnectCost Duration
	// ProbeCost is the slot time that a target spends on one probe; zero means that probes are not allowed.
	ProbeCost Duration
	// ProbePath is the path that probes request.
	ProbePath string
	// KeyRetention is how long the record of a request with an idempotency key is kept.
	KeyRetention Duration
	Class        []Class
	Upstream     []Upstream
}

// Class is a kind of request, identified by method and path prefix, with its own weight and deadline.
type Class struct {
	Name       ident.Class
	Methods    []string
	PathPrefix string
	// Idempotent means that a request of the class may run more than once.
	Idempotent bool
	Weight     ident.Weight
	Deadline   Duration
}

// Upstream declares one target of a service.
type Upstream struct {
	Name       ident.Upstream
	Address    ident.Address
	DataCentre ident.DataCentre
	State      State
}

// UnmarshalText parses a duration; it fails on text that time.ParseDuration rejects.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats a duration so that UnmarshalText can parse it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Parse parses a configuration from TOML and fills in defaults; unknown keys are an error.
func Parse(b []byte) (*Config, error) {
	c := &Config{}
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	c.Complete()
	return c, nil
}

// Complete fills in defaults and builds the lookup index.
func (c *Config) Complete() {
	c.CompleteExcept(nil)
}

// CompleteExcept is like Complete, but leaves the zero value of a key that isSet reports as set in the file, so that
// validation can reject it.
func (c *Config) CompleteExcept(isSet func(path string) bool) {
	c.fillDefaults(isSet)
	c.index = newIndex(c)
}

// Format formats a configuration as TOML.
func (c *Config) Format() ([]byte, error) {
	b, err := toml.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("format configuration: %w", err)
	}
	return b, nil
}

// MatchClass returns the class with the longest matching path prefix among those that match the method.
func (s *Service) MatchClass(method, path string) (*Class, bool) {
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
