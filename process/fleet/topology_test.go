package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/warmup"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// members draws a list of members.
func members(t *rapid.T) []roster.Member {
	n := rapid.IntRange(1, 30).Draw(t, "members")
	l := make([]roster.Member, 0, n)
	for i := range n {
		l = append(l, roster.Member{
			Name: ident.VM(fmt.Sprintf("vm-%d", i)), Capacity: rapid.IntRange(0, 2).Draw(t, "capacity"),
			DataCentre: ident.DataCentre(rune('a' + rapid.IntRange(0, 3).Draw(t, "data centre"))),
		})
	}
	return l
}

// TestRank checks that ranks are unique, that rank 0 has the highest capacity, and that ranks 0 and 1 are in different
// data centres if there are several.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := members(t)
		order := newTopology(l, catalog.Position{})
		at := map[int]roster.Member{}
		centres := map[ident.DataCentre]bool{}
		most := 0
		for _, m := range l {
			at[order.rank(m.Name)] = m
			centres[m.DataCentre] = true
			most = max(most, m.Capacity)
		}
		if len(at) != len(l) {
			t.Fatalf("%d different ranks, want %d, one for each member", len(at), len(l))
		}
		if at[0].Capacity != most {
			t.Fatalf("rank 0 has capacity %d, want the highest, %d", at[0].Capacity, most)
		}
		if len(centres) > 1 && at[0].DataCentre == at[1].DataCentre {
			t.Fatal("ranks 0 and 1 are in the same data centre, want different ones")
		}
		if n := order.rank("non-member"); n != len(l) {
			t.Fatalf("a VM that is not a member has rank %d, want %d", n, len(l))
		}
	})
}

// TestWarmupSendersKeepBound lets all members start requests at one target in its cold start as often as their
// limiters allow, and checks that no second has more starts than the platform's bound: the rate times 1.5, plus 5.
func TestWarmupSendersKeepBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := members(t)
		c := clock.NewFake()
		s := &route.Service{WarmupRate: rapid.SampledFrom([]float64{4.6, 5.9, 12}).Draw(t, "rate")}
		g := &roster.Target{ID: "t"}
		var limiters []*warmup.Limiter
		for _, m := range l {
			limiters = append(limiters, warmup.New(c, func(id ident.Target, rate float64) int {
				return warmupSenders(l, m.Name, id, rate, WarmupRateBound{Factor: 1.5, Slack: 5})
			}))
		}
		var starts []clock.Instant
		for range 300 {
			for _, w := range limiters {
				if w.Take(g, s) {
					starts = append(starts, c.Now())
				}
			}
			c.Advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
		}
		if len(starts) == 0 {
			t.Fatal("no member may start a request at the target, want at least one start")
		}
		for i := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(starts[i]) < time.Second {
					n++
				}
			}
			if float64(n) > s.WarmupRate*1.5+5 {
				t.Fatalf("%d starts in a second at a rate of %.1f, want at most %.1f", n, s.WarmupRate, s.WarmupRate*1.5+5)
			}
		}
	})
}

// largeFleet draws more members than readers send to directly.
func largeFleet(t *rapid.T) []roster.Member {
	n := rapid.IntRange(directLimit+1, 300).Draw(t, "members")
	l := make([]roster.Member, 0, n)
	for i := range n {
		l = append(l, roster.Member{
			Name: ident.VM(fmt.Sprintf("vm-%d", i)), Capacity: i % 3,
			DataCentre: ident.DataCentre(rune('a' + rapid.IntRange(0, 5).Draw(t, "data centre"))),
		})
	}
	return l
}

// TestFetchTree checks that the members that fetch a large update form a tree below the reader: every member reaches
// it, no member serves more than its share, and one member of each other data centre fetches from elsewhere.
func TestFetchTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := largeFleet(t)
		o := newTopology(l, catalog.Position{})
		reader := l[rapid.IntRange(0, len(l)-1).Draw(t, "reader")]
		served := map[ident.VM]int{}
		remote := 0
		for i := range l {
			if l[i].Name == reader.Name {
				continue
			}
			p, ok := o.fetchFrom(reader.Name, &l[i])
			if !ok {
				p = reader
			}
			served[p.Name]++
			if p.DataCentre != l[i].DataCentre {
				remote++
			}
			m := l[i]
			for steps := 0; m.Name != reader.Name; steps++ {
				if m, ok = o.fetchFrom(reader.Name, &m); !ok {
					break
				}
				if steps > len(l) {
					t.Fatalf("%s never reaches the reader", l[i].Name)
				}
			}
		}
		for v, n := range served {
			if n > fetchFanout+len(o.dataCentres) {
				t.Fatalf("%s serves %d members, want at most %d and one for each data centre", v, n, fetchFanout)
			}
		}
		if remote > len(o.dataCentres)-1 {
			t.Fatalf("%d members fetch from another data centre, want at most %d", remote, len(o.dataCentres)-1)
		}
	})
}
