package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/server"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// TestIdeal compares Ideal with a linear search for the slot that is free first.
func TestIdeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &config.Service{Name: "notes", Slots: 2, Upstream: make([]config.Upstream, 2)}
		gaps := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 50).Draw(t, "gaps")
		var l []load.Arrival
		at := time.Duration(0)
		for i, g := range gaps {
			at += time.Duration(g) * time.Millisecond
			l = append(l, load.Arrival{At: at, ID: ident.Request(rune('a' + i)), Service: s, Class: &config.Class{}})
		}
		const mean = 10 * time.Millisecond
		got := Ideal(l, mean)
		free := make([]time.Duration, 4)
		for i, a := range l {
			best := 0
			for k := range free {
				if free[k] < free[best] {
					best = k
				}
			}
			free[best] = max(free[best], a.At) + server.ServiceTime(a.ID, mean)
			if want := free[best] - a.At; got.Sent[i].Latency != want {
				t.Fatalf("request %d took %s, want %s", i, got.Sent[i].Latency, want)
			}
		}
	})
}

// TestLeastLocalInFlight compares the choices of LeastLocalInFlight with a simple count of the requests in flight.
func TestLeastLocalInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewChooser(LeastLocalInFlight{}, make([]config.Upstream, 3), rand.New(rand.NewPCG(1, 1)))
		var want [3]int
		var open []int
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				i := c.Begin()
				if want[i] != min(want[0], want[1], want[2]) {
					t.Fatalf("picked target %d, in flight %v, want a target with the fewest", i, want)
				}
				want[i]++
				open = append(open, i)
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				k := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				want[open[k]]--
				c.End(open[k], 0)
				open = append(open[:k], open[k+1:]...)
			},
		})
	})
}
