package choice

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// TestRank checks that the ranking holds each shard of an active data centre once, that the most loaded shard isn't
// first, and that shards that refused lately come last.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		b := New(c)
		v := &view.View{Epoch: &wire.Epoch{}, Config: &config.Config{Service: []config.Service{{Name: "notes"}}}}
		s := &v.Config.Service[0]
		refused, out, load := map[ident.Shard]bool{}, map[ident.Shard]bool{}, map[ident.Shard]float64{}
		n := rapid.IntRange(1, 5).Draw(t, "dataCentres")
		for i := range n {
			d := ident.DataCentre(fmt.Sprint(i))
			id := ident.Shard("notes/" + string(d) + "/0")
			k := config.DataCentre{Name: d, State: config.In}
			if rapid.Bool().Draw(t, "evacuated") {
				k.State, out[id] = config.Out, true
			}
			v.Config.DataCentre = append(v.Config.DataCentre, k)
			for j := range rapid.IntRange(1, 3).Draw(t, "targets") {
				a := fmt.Sprintf("%d-%d", i, j)
				s.Upstream = append(s.Upstream, config.Upstream{Name: ident.Upstream(a), DataCentre: d})
			}
			load[id] = float64(i)
			b.Record(id, &call.Answer{Load: load[id]}, c.Now())
			if refused[id] = rapid.Bool().Draw(t, "refused"); refused[id] {
				b.Record(id, &call.Answer{Reason: outcome.NotOwner}, c.Now())
			}
		}
		for range 10 {
			l := b.Rank(v, s)
			if len(l) != n-len(out) {
				t.Fatalf("ranked %d shards, want %d", len(l), n-len(out))
			}
			for i, h := range l {
				if out[h.ID] {
					t.Fatalf("%s is ranked although its data centre is evacuated", h.ID)
				}
				if i > 0 && refused[l[i-1].ID] && !refused[h.ID] {
					t.Fatalf("%s refused but is ranked before %s", l[i-1].ID, h.ID)
				}
			}
			if len(l) > 1 && refused[l[0].ID] == refused[l[1].ID] && load[l[0].ID] > load[l[1].ID] {
				t.Fatalf("%s is ranked before %s, which is less loaded", l[0].ID, l[1].ID)
			}
		}
	})
}

// TestReportsDecay checks that an old report counts less than a newer one of a smaller load, and that a refusal is
// forgotten.
func TestReportsDecay(t *testing.T) {
	c := clock.NewFake()
	b := New(c)
	b.Record("old", &call.Answer{Load: 2}, c.Now())
	b.Record("refused", &call.Answer{Reason: outcome.Overload}, c.Now())
	c.Advance(5 * loadDecayTime)
	b.Record("new", &call.Answer{Load: 1}, c.Now())
	if b.decayedLoad("old", c.Now()) >= b.decayedLoad("new", c.Now()) {
		t.Error("decayed load of the old report is not below the load of the new one, want it below")
	}
	if b.refusalRank("refused", c.Now()) != 0 {
		t.Error("shard is still ranked last after the refusal period, want the refusal forgotten")
	}
}
