package delta

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// drawConfig draws a configuration of few services, so that two configurations often have some in common.
func drawConfig(t *rapid.T, label string) *config.Config {
	c := &config.Config{
		Budget:     config.Budget{RetryShare: ident.Share(rapid.IntRange(1, 2).Draw(t, label+" budget"))},
		DataCentre: []config.DataCentre{{Name: "dc-1", State: drawState(t, label)}},
	}
	for _, n := range []ident.Service{"a", "b", "c"} {
		if !rapid.Bool().Draw(t, label+" has "+string(n)) {
			continue
		}
		c.Service = append(c.Service, config.Service{
			Name:         n,
			Shards:       1,
			Slots:        ident.Slots(rapid.IntRange(1, 2).Draw(t, label+" slots")),
			KeyRetention: config.Duration(time.Minute),
			Class:        []config.Class{{Name: "Read", Methods: []string{"GET"}, Idempotent: rapid.Bool().Draw(t, label)}},
			Upstream:     []config.Upstream{{Name: "u", DataCentre: "dc-1", State: drawState(t, label)}},
		})
	}
	return c
}

func drawState(t *rapid.T, label string) config.State {
	return rapid.SampledFrom([]config.State{config.In, config.Out}).Draw(t, label+" state")
}

// TestApplyAfterBetween checks that a delta, formatted and parsed again, turns one configuration into the other.
func TestApplyAfterBetween(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawConfig(t, "a"), drawConfig(t, "b")
		text, err := Between(3, a, 4, b).Format()
		if err != nil {
			t.Fatal(err)
		}
		d, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := d.Apply(3, a)
		if err != nil {
			t.Fatal(err)
		}
		if got.Budget != b.Budget || !reflect.DeepEqual(got.DataCentre, b.DataCentre) {
			t.Errorf("budget and data centres are %+v %+v, want %+v %+v", got.Budget, got.DataCentre, b.Budget, b.DataCentre)
		}
		if w, g := copyServicesByName(b), copyServicesByName(got); !reflect.DeepEqual(w, g) {
			t.Errorf("services = %+v, want %+v", g, w)
		}
	})
}

// TestApplyToOtherVersion checks that a delta never applies to a version it was not made from.
func TestApplyToOtherVersion(t *testing.T) {
	d := Between(3, &config.Config{}, 4, &config.Config{})
	if _, err := d.Apply(2, &config.Config{}); err == nil {
		t.Error("a delta from version 3 was applied to version 2, want an error")
	}
}

func copyServicesByName(c *config.Config) map[ident.Service]config.Service {
	m := map[ident.Service]config.Service{}
	for _, s := range c.Service {
		m[s.Name] = s
	}
	return m
}
