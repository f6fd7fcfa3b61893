package route

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Priority ranks routes; 0 is the most urgent.
type Priority int

// Route says how the requests below one path prefix of one host are handled.
type Route struct {
	Name   ident.Route
	Host   string
	Prefix string
	// Idempotent tells whether a request may run more than once.
	Idempotent bool
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int
	// Timeout is the longest that a caller is kept waiting; zero means no bound but the caller's own.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most; zero means that none is stated.
	Objective time.Duration
	Priority  Priority
	// Backends are the services that share the requests; there is at least one.
	Backends []Backend
}

// Backend is one service of a route and its share of the requests.
type Backend struct {
	Service ident.Service
	Weight  ident.Weight
}

// Service is what the configuration says of the targets of a service.
type Service struct {
	Name ident.Service
	// HealthPath answers at once with the load of the target.
	HealthPath string
	// MaxConnections bounds the connections to one target from all VMs together.
	MaxConnections int
	// WarmupRate is the number of requests a second that a target in a cold start can bear, from all VMs together.
	WarmupRate float64
	// Warmup is how long a cold start lasts.
	Warmup time.Duration
}

// Limits bounds what a caller may send and how long it may take; zero means no bound.
type Limits struct {
	HeaderBytes   ident.Bytes
	BodyBytes     ident.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Backend draws the service of one request by the weights.
func (r *Route) Backend() ident.Service {
	total := 0
	for _, b := range r.Backends {
		total += int(b.Weight)
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	n := rand.IntN(total)
	for _, b := range r.Backends {
		if n < int(b.Weight) {
			return b.Service
		}
		n -= int(b.Weight)
	}
	return r.Backends[0].Service
}
