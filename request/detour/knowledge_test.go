package detour

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// TestCandidates checks through which members a request may go. In a row, a member is named after what is known of it.
func TestCandidates(t *testing.T) {
	c := clock.NewFake()
	c.Advance(time.Minute)
	now := c.Now()
	ago := func(d time.Duration) clock.Instant { return now.Add(-d) }
	states := map[ident.VM]*memberState{
		"reaches":       {answeredAt: ago(200 * time.Millisecond), reached: []ident.Service{"s", "other"}},
		"reachesOther":  {answeredAt: ago(200 * time.Millisecond), reached: []ident.Service{"other"}},
		"reachesNone":   {answeredAt: ago(200 * time.Millisecond)},
		"reachedBefore": {answeredAt: ago(2 * time.Second), reached: []ident.Service{"s"}},
		"failed": {
			answeredAt: ago(200 * time.Millisecond), reached: []ident.Service{"s"},
			failedAt: map[ident.Service]clock.Instant{"s": ago(500 * time.Millisecond)},
		},
		"failedBefore": {
			answeredAt: ago(200 * time.Millisecond), reached: []ident.Service{"s"},
			failedAt: map[ident.Service]clock.Instant{"s": ago(2 * time.Second)},
		},
	}
	rows := []struct {
		name    string
		members []ident.VM
		tried   []ident.VM
		want    []ident.VM
	}{
		{"those that reach the service", []ident.VM{"reaches", "reachesOther", "reachesNone", "unknown", "failedBefore"}, nil,
			[]ident.VM{"reaches", "failedBefore"}},
		{"tried already", []ident.VM{"reaches", "reachesOther", "unknown"}, []ident.VM{"reaches"},
			[]ident.VM{"reachesOther"}},
		{"those that reach another service", []ident.VM{"reachesOther", "reachesNone", "failed", "unknown"}, nil,
			[]ident.VM{"reachesOther"}},
		{"nothing known", []ident.VM{"reachesNone", "failed", "reachedBefore", "unknown"}, nil,
			[]ident.VM{"reachedBefore", "unknown"}},
		{"none", []ident.VM{"reachesNone", "failed", "withoutAddress"}, nil, nil},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			k := knowledge{}
			var l []roster.Member
			for _, v := range r.members {
				if s, ok := states[v]; ok {
					k[v] = s
				}
				m := roster.Member{Name: v, ForwardAddress: "1"}
				if v == "withoutAddress" {
					m.ForwardAddress = ""
				}
				l = append(l, m)
			}
			var got []ident.VM
			for _, m := range k.candidates(l, "s", r.tried, now) {
				got = append(got, m.Name)
			}
			if len(got) != len(r.want) {
				t.Fatalf("candidates %v, want %v", got, r.want)
			}
			for i := range got {
				if got[i] != r.want[i] {
					t.Fatalf("candidates %v, want %v", got, r.want)
				}
			}
		})
	}
}

// TestPickByLoad checks that of two candidates the one with fewer requests for its capacity is picked.
func TestPickByLoad(t *testing.T) {
	k := knowledge{"small": {inFlight: 3}, "large": {inFlight: 4}}
	l := []roster.Member{{Name: "small", Capacity: 0}, {Name: "large", Capacity: 1}}
	n := 0
	draw := func(int) int { n++; return (n - 1) % 2 }
	if m, ok := k.pick(l, draw); !ok || m.Name != "large" {
		t.Errorf("picked %s, want large, which has 2 requests for each unit of capacity", m.Name)
	}
}
