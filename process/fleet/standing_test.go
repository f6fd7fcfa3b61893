package fleet_test

import (
	"strings"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// testHandover is how long a member of these tests waits before it keeps in the place of another.
const testHandover = 2 * time.Second

// activeKeepers are keepers of allowances that are never short.
type activeKeepers struct{}

func (activeKeepers) Active() bool { return true }
func (activeKeepers) Short() bool  { return false }

// standings returns the standings of all nodes in the catalog of one of them.
func (b *testFleet) standings(n *node) string {
	v := n.catalog.Get()
	var l []string
	for i := range b.nodes {
		o, _ := v.StateOf(ident.VM("vm-" + string(rune('0'+i))))
		l = append(l, string(o.Standing))
	}
	return strings.Join(l, ",")
}

// TestStandings checks that members which are gone, in two data centres, are marked as absent on all others, that a
// reader then proves the list without them, and that one that comes back is returning first and present after the
// handover.
func TestStandings(t *testing.T) {
	b := newTestFleet(t, 0)
	b.keepers = activeKeepers{}
	for i := range 6 {
		b.nodes = append(b.nodes, b.start(t, i))
	}
	b.waitForMembers(t, 15*time.Second)
	for _, i := range []int{1, 2} {
		b.nodes[i].kill()
	}
	left := []*node{b.nodes[0], b.nodes[3], b.nodes[4], b.nodes[5]}
	all := func(want string) func() bool {
		return func() bool {
			for _, n := range left {
				if b.standings(n) != want {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, 10*time.Second, "both are absent", all(",Absent,Absent,,,"))
	waitUntil(t, 3*time.Second, "a reader proves the list without them", func() bool {
		for _, n := range left {
			v := n.catalog.Get()
			if at := n.fleet.ProvenAt(roster.Checksum(v.Keepers)); at != 0 && len(v.Keepers) == 4 {
				return true
			}
		}
		return false
	})
	b.nodes[1] = b.startAt(t, 1, b.nodes[1].address)
	waitUntil(t, 10*time.Second, "it returns", all(",Returning,Absent,,,"))
	began := time.Now()
	waitUntil(t, 10*time.Second, "it is present", all(",,Absent,,,"))
	if d := time.Since(began); d < testHandover-500*time.Millisecond {
		t.Errorf("present %s after it returned, want %s at least", d, testHandover)
	}
	if v := left[0].catalog.Get(); len(v.Members) != 6 || len(v.Keepers) != 5 {
		t.Errorf("%d members and %d keepers, want 6 and 5", len(v.Members), len(v.Keepers))
	}
}
