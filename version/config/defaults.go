package config

import (
	"fmt"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// The default values of settings that a configuration omits; DefaultKeyRetention is how long the record of a request
// with an idempotency key is kept.
const (
	DefaultProbeShare   ident.Share = 0.01
	DefaultRetryShare   ident.Share = 0.1
	DefaultShards                   = 1
	DefaultSlots        ident.Slots = 1
	DefaultColdLimit    ident.Slots = 1
	DefaultConnections              = 200
	DefaultProbePath                = "/health"
	DefaultKeyRetention             = 10 * time.Minute
	DefaultDeadline                 = time.Second
)

// fillDefaults replaces zero values by defaults, except those of settings that the file contains.
func (c *Config) fillDefaults(isSet func(path string) bool) {
	f := defaultSetter{isSet: isSet}
	setDefault(f, "Budget.ProbeShare", &c.Budget.ProbeShare, DefaultProbeShare)
	setDefault(f, "Budget.RetryShare", &c.Budget.RetryShare, DefaultRetryShare)
	for i := range c.DataCentre {
		setDefault(f, f.path("DataCentre[%d].State", i), &c.DataCentre[i].State, In)
	}
	for i := range c.Service {
		f.service(&c.Service[i], f.path("Service[%d]", i))
	}
}

// defaultSetter sets defaults; isSet reports whether the file sets a key, and is nil if all zero values get defaults.
type defaultSetter struct {
	isSet func(path string) bool
}

// path formats the path of a setting only if isSet needs it.
func (f defaultSetter) path(format string, args ...any) string {
	if f.isSet == nil {
		return ""
	}
	return fmt.Sprintf(format, args...)
}

func (f defaultSetter) service(s *Service, path string) {
	setDefault(f, path+".Shards", &s.Shards, DefaultShards)
	setDefault(f, path+".Slots", &s.Slots, DefaultSlots)
	setDefault(f, path+".ColdLimit", &s.ColdLimit, DefaultColdLimit)
	setDefault(f, path+".Connections", &s.Connections, DefaultConnections)
	setDefault(f, path+".ProbePath", &s.ProbePath, DefaultProbePath)
	setDefault(f, path+".KeyRetention", &s.KeyRetention, Duration(DefaultKeyRetention))
	for i := range s.Class {
		p := f.path("%s.Class[%d]", path, i)
		setDefault(f, p+".Weight", &s.Class[i].Weight, 1)
		setDefault(f, p+".Deadline", &s.Class[i].Deadline, Duration(DefaultDeadline))
	}
	for i := range s.Upstream {
		setDefault(f, f.path("%s.Upstream[%d].State", path, i), &s.Upstream[i].State, In)
	}
}

// setDefault replaces a zero value by d unless the file sets the key.
func setDefault[T comparable](f defaultSetter, path string, v *T, d T) {
	var zero T
	if *v == zero && (f.isSet == nil || !f.isSet(path)) {
		*v = d
	}
}
