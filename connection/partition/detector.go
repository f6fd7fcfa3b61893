package partition

import (
	"sync"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Detector records the contacts with the targets of all services; it is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	services map[ident.Service]contacts
	// silent is the number of services of which minSilentTargets targets are silent.
	silent int
}

// New returns a detector without any contacts.
func New() *Detector {
	return &Detector{services: map[ident.Service]contacts{}}
}

// Answered records a response of a target of the service.
func (d *Detector) Answered(s ident.Service, at clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(s, d.services[s].answered(at))
}

// Failed records that a contact with a target of the service, begun at the given instant, got no response.
func (d *Detector) Failed(s ident.Service, t ident.Target, began clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(s, d.services[s].failed(t, began))
}

// set replaces the contacts of a service; the lock must be held.
func (d *Detector) set(s ident.Service, c contacts) {
	if d.services[s].partitioned(minSilentTargets) {
		d.silent--
	}
	if c.partitioned(minSilentTargets) {
		d.silent++
	}
	d.services[s] = c
}

// Partitioned reports whether this VM is partitioned from a service; targets returns the number of its targets and is
// called only if any target is silent. A service that has not responded since another one fell silent counts as
// partitioned with that one, so that services with little traffic need no failures of their own.
func (d *Detector) Partitioned(s ident.Service, targets func() int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.services[s]
	if len(c.silent) == 0 && d.silent == 0 {
		return false
	}
	n := targets()
	if c.partitioned(n) {
		return true
	}
	if n == 0 {
		return false
	}
	for v, o := range d.services {
		if v != s && o.partitioned(minSilentTargets) && c.lastAnswer < o.silentSince {
			return true
		}
	}
	return false
}

// Silent returns the services of which at least one target is silent.
func (d *Detector) Silent() []ident.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	var l []ident.Service
	for s, c := range d.services {
		if len(c.silent) > 0 {
			l = append(l, s)
		}
	}
	return l
}
