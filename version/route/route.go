package route

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Route defines how requests to one path prefix of a host are handled.
type Route struct {
	Name   ident.Route
	Host   string
	Prefix string
	// Idempotent means that a request may run more than once.
	Idempotent bool
	// MaxAttempts limits the number of targets that a request is sent to.
	MaxAttempts int
	// Timeout is the longest time to answer a caller; zero means that only the caller's own timeout applies.
	Timeout time.Duration
	// LatencyObjective is the response time that answers should not exceed. A later answer is worth less to the caller,
	// but is still sent if Timeout allows it. Zero means that none is configured.
	LatencyObjective time.Duration
	Priority         ident.Priority
	// Public means that a request needs no API key even if the configuration has teams.
	Public bool
	// Services lists the services that share the requests; there is at least one.
	Services []WeightedService
}

// WeightedService is a service of a route and the weight that determines its share of the requests.
type WeightedService struct {
	Service ident.Service
	Weight  ident.SplitWeight
}

// Service is the configuration of a service, which applies to each of its targets.
type Service struct {
	Name ident.Service
	// HealthPath is the path of the health check, to which a target responds at once with its load.
	HealthPath string
	// MaxConnections limits the connections from all VMs together to one target.
	MaxConnections int
	// WarmupRate is the request rate per second that a target can handle in a cold start, from all VMs together.
	WarmupRate float64
	// Warmup is the duration of a cold start.
	Warmup time.Duration
}

// Limits restricts the size and duration of callers' requests; zero means no limit.
type Limits struct {
	HeaderBytes   ident.Bytes
	BodyBytes     ident.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// PickService selects a service for a request at random, in proportion to the weights.
func (r *Route) PickService() ident.Service {
	total := ident.SplitWeight(0)
	for _, b := range r.Services {
		total += b.Weight
	}
	n := ident.SplitWeight(rand.Float64()) * total
	last := r.Services[0].Service
	for _, b := range r.Services {
		if n < b.Weight {
			return b.Service
		}
		if b.Weight > 0 {
			last = b.Service
		}
		n -= b.Weight
	}
	return last
}
