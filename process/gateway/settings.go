package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Settings says who a VM is, which addresses its process uses, and the bounds that the operators have set.
type Settings struct {
	Name       ident.VM
	DataCentre ident.DataCentre
	// CallerAddress takes callers' requests.
	CallerAddress ident.Address
	// ReadyAddress answers whether the VM takes new connections.
	ReadyAddress ident.Address
	// PeerAddress exchanges datagrams with the other VMs.
	PeerAddress ident.Address
	// OperatorAddress serves metrics and the dump.
	OperatorAddress ident.Address
	// StoreAddress is where the store is reached.
	StoreAddress ident.Address
	// Cores and LinkMbps are what the VM has of processors and network, in megabits a second.
	Cores    float64
	LinkMbps float64
	// Memory is what the process may use; zero is no bound.
	Memory ident.Bytes
	// Grace is how long the process may go on after it was asked to stop.
	Grace time.Duration
	Retry RetryBound
	// WarmupFactor and WarmupSlack widen the rate that a cold target can bear to what the fleet may send in a second.
	WarmupFactor float64
	WarmupSlack  float64
	// ProbeRate bounds the probes of one target in a second, from all VMs together.
	ProbeRate float64
}

// RetryBound is how often a service may be sent a request once more, from all VMs together, within the window.
type RetryBound struct {
	Share  ident.Share
	Slack  float64
	Window time.Duration
}

// The smallest machine that counts as one class above the smallest.
const (
	baseCores    = 0.16
	baseLinkMbps = 10
)

// Capacity returns the class of the VM: each stands for twice the processors and network of the one below.
func (s *Settings) Capacity() int {
	n := min(s.Cores/baseCores, s.LinkMbps/baseLinkMbps)
	if n < 1 {
		return 0
	}
	return int(math.Log2(n))
}

// Check returns all that is wrong with the settings.
func (s *Settings) Check() error {
	var l []error
	if s.Name == "" {
		l = append(l, errors.New("the name of the VM is missing"))
	}
	if s.DataCentre == "" {
		l = append(l, errors.New("the data centre of the VM is missing"))
	}
	addresses := []struct {
		what string
		a    ident.Address
	}{
		{"caller address", s.CallerAddress},
		{"ready address", s.ReadyAddress},
		{"peer address", s.PeerAddress},
		{"operator address", s.OperatorAddress},
		{"store address", s.StoreAddress},
	}
	for _, a := range addresses {
		if p, err := netip.ParseAddrPort(string(a.a)); err != nil || p.Port() == 0 {
			l = append(l, fmt.Errorf("%s %q is not an IP number and port", a.what, a.a))
		}
	}
	if s.Grace <= 0 {
		l = append(l, fmt.Errorf("the time to stop is %s; it must be above zero", s.Grace))
	}
	if s.Retry.Share < 0 || s.Retry.Window <= 0 {
		l = append(l, fmt.Errorf("the bound on retries is %+v; share and window must not be below zero", s.Retry))
	}
	return errors.Join(l...)
}
