package config_test

import (
	"fmt"
	"testing"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// designServices is the number of services that the system is designed for.
const designServices = 1400

func newLargeConfig() *config.Config {
	c := &config.Config{DataCentre: []config.DataCentre{{Name: "a"}}}
	for i := range designServices {
		n := fmt.Sprintf("service-%d", i)
		c.Service = append(c.Service, config.Service{Name: ident.Service(n), Host: n + ".example"})
	}
	c.Complete()
	return c
}

// TestFindService checks lookups by host and by name in a configuration of the size that the system is designed for.
func TestFindService(t *testing.T) {
	c := newLargeConfig()
	for i := range c.Service {
		s := &c.Service[i]
		if f, ok := c.FindServiceByHost(s.Host); !ok || f != s {
			t.Fatalf("FindServiceByHost(%q) = %v, %v; want the service with this host", s.Host, f, ok)
		}
		if f, ok := c.FindService(s.Name); !ok || f != s {
			t.Fatalf("FindService(%q) = %v, %v; want the service with this name", s.Name, f, ok)
		}
	}
	if _, ok := c.FindServiceByHost("other.example"); ok {
		t.Fatal("FindServiceByHost found a service for an undeclared host")
	}
	if c.DataCentreState("a") != config.In || c.DataCentreState("b") != config.Out {
		t.Fatalf("states of a declared and an undeclared data centre are %s and %s, want In and Out",
			c.DataCentreState("a"), c.DataCentreState("b"))
	}
}

func BenchmarkFindServiceByHost(b *testing.B) {
	c := newLargeConfig()
	for i := range b.N {
		_, _ = c.FindServiceByHost(c.Service[i%designServices].Host)
	}
}
