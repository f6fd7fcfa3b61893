package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/platform"
)

// TestRemovedMembersDelayNobody checks that a change is in force in time although the store turns away the two members
// that read it, and the registrations of many members that are gone come before those of the others. It guards against
// members that wait for their turn behind VMs that were removed.
func TestRemovedMembersDelayNobody(t *testing.T) {
	const removed = 200
	b := newTestFleet(t, 0)
	for i := range removed {
		b.store.Put("amaranthramp-members", fmt.Sprintf("gone-%d", i),
			fmt.Sprintf(`{"Address":"127.41.9.%d:9","DataCentre":"a"}`, i+1))
	}
	for i := range 8 {
		b.nodes = append(b.nodes, b.start(t, i))
	}
	waitUntil(t, 20*time.Second, "every member knows all members", func() bool {
		for _, n := range b.nodes {
			if n.fleet.Members() != len(b.nodes)+removed {
				return false
			}
		}
		return b.inForce(1)
	})
	// Long enough for three questions to a fleet of this size.
	time.Sleep(8 * time.Second)
	for _, n := range b.nodes {
		if ok, _ := n.follower.Reading(); ok {
			n.partition.cut.Store(true)
		}
	}
	b.store.Put(platform.ConfigurationKind, platform.ConfigurationName, `{"version":2,"hosts":[]}`)
	waitUntil(t, inForceWithin, "change", func() bool {
		for _, n := range b.nodes {
			if v := n.catalog.Get().Table; !n.partition.cut.Load() && v.Version != 2 {
				return false
			}
		}
		return true
	})
}
