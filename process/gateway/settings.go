package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Settings holds the identity of a VM, the addresses of its process, and the limits set by the operators.
type Settings struct {
	Name       ident.VM
	DataCentre ident.DataCentre
	// CallerAddress accepts callers' requests.
	CallerAddress ident.Address
	// ReadyAddress serves readiness: whether the VM accepts new connections.
	ReadyAddress ident.Address
	// PeerAddress exchanges updates with the other VMs, over UDP and TCP.
	PeerAddress ident.Address
	// ForwardAddress accepts callers' requests from VMs that have no path to the targets; if empty, this VM accepts none.
	ForwardAddress ident.Address
	// OperatorAddress serves metrics and the dump.
	OperatorAddress ident.Address
	// StoreAddress is the address of the store.
	StoreAddress ident.Address
	// Cores is the number of processors of the VM, and LinkMbps its network bandwidth in megabits per second.
	Cores    float64
	LinkMbps float64
	// FirstStart means that the whole system starts for the first time.
	FirstStart bool
	// Memory is how much memory the process may use, in bytes; zero means no limit.
	Memory ident.Bytes
	// Grace is how long the process may keep running after it was asked to stop.
	Grace time.Duration
	Retry RetryBound
	// WarmupFactor and WarmupSlack bound the requests per second that all VMs together may start at a target that is
	// still warming up after its start: at most r*WarmupFactor + WarmupSlack, where r is the warm-up rate of its
	// service, which is what the target can bear.
	WarmupFactor float64
	WarmupSlack  float64
	Rollout      RolloutBound
	Quota        QuotaBound
	// Revocation says how API keys that were taken away bind while the store is out of reach.
	Revocation Revocation
	// ProbeRate bounds the probes per second of one target, from all VMs together.
	ProbeRate float64
}

// RetryBound bounds the retries at a service, from all VMs together: within any Window, to a Share of its requests plus
// Slack.
type RetryBound struct {
	Share  ident.Share
	Slack  float64
	Window time.Duration
}

// RolloutBound bounds the requests that reach a bad version of a service during a roll-out: to Share of all requests of
// the service plus Slack, and to none once Rollback has passed since its 50th bad response.
type RolloutBound struct {
	Share    ident.Share
	Slack    float64
	Rollback time.Duration
	// Contact is how long a member may be silent before it counts as out of touch.
	Contact time.Duration
}

// Enabled reports whether the deployment has roll-outs.
func (b RolloutBound) Enabled() bool {
	return b.Share > 0
}

// QuotaBound bounds the requests of a team in any Window, over all VMs together: to its allowance in that time times
// 1+Overshoot, plus Slack.
type QuotaBound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Revocation says what happens to requests with API keys on a VM whose copy of the store has not been confirmed for
// Within: they are refused if Strict is true.
type Revocation struct {
	Strict bool
	Within time.Duration
}

// The processors and the network bandwidth of one unit of capacity: a VM below twice these values has capacity 0.
const (
	capacityUnitCores    = 0.16
	capacityUnitLinkMbps = 10
)

// Capacity returns the capacity class of the VM. Each class needs twice the processors and network bandwidth of the
// class below.
func (s *Settings) Capacity() int {
	n := min(s.Cores/capacityUnitCores, s.LinkMbps/capacityUnitLinkMbps)
	if n < 1 {
		return 0
	}
	return int(math.Log2(n))
}

// namedAddress is an address with the name that errors use for it.
type namedAddress struct {
	name  string
	value ident.Address
}

// Check returns an error that lists all invalid settings, or nil.
func (s *Settings) Check() error {
	var l []error
	if s.Name == "" {
		l = append(l, errors.New("name of the VM is missing"))
	}
	if s.DataCentre == "" {
		l = append(l, errors.New("data centre of the VM is missing"))
	}
	addresses := []namedAddress{
		{"caller address", s.CallerAddress},
		{"ready address", s.ReadyAddress},
		{"peer address", s.PeerAddress},
		{"operator address", s.OperatorAddress},
		{"store address", s.StoreAddress},
	}
	if s.ForwardAddress != "" {
		addresses = append(addresses, namedAddress{"forward address", s.ForwardAddress})
	}
	for _, a := range addresses {
		if p, err := netip.ParseAddrPort(string(a.value)); err != nil || p.Port() == 0 {
			l = append(l, fmt.Errorf("%s %q is not an IP address and port", a.name, a.value))
		}
	}
	if s.Grace <= 0 {
		l = append(l, fmt.Errorf("time to stop is %s; it must be above zero", s.Grace))
	}
	if s.Retry.Share < 0 || s.Retry.Window <= 0 {
		l = append(l, fmt.Errorf("retry bound is %+v; share must not be below zero and window must be above zero", s.Retry))
	}
	return errors.Join(l...)
}
