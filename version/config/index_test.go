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
		if f, ok := c.FindHost(s.Host); !ok || f != s {
			t.Fatalf("host %s not found", s.Host)
		}
		if f, ok := c.FindService(s.Name); !ok || f != s {
			t.Fatalf("service %s not found", s.Name)
		}
	}
	if _, ok := c.FindHost("other.example"); ok {
		t.Fatal("FindHost found an undeclared host")
	}
	if c.DataCentreState("a") != config.In || c.DataCentreState("b") != config.Out {
		t.Fatal("DataCentreState returned a wrong state")
	}
}

func BenchmarkFindHost(b *testing.B) {
	c := newLargeConfig()
	for i := range b.N {
		_, _ = c.FindHost(c.Service[i%designServices].Host)
	}
}
