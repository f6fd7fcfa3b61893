package fleet_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/process/catalog"
)

// TestLargeEntriesEndFollowing checks that all members learn in time of a target that is written after many large
// entries of another writer, and that a member which starts beside them does: readers refused the response to the
// watch, and then passed the entries on to all members at once.
func TestLargeEntriesEndFollowing(t *testing.T) {
	b := newTestFleet(t, 4)
	b.waitForReaders(t)
	b.waitForMembers(t, inForceWithin)
	large := `{"address":7,"data":"` + strings.Repeat("x", 1000<<10) + `"}`
	for i := range 6 {
		b.store.Put(platform.TargetKind, fmt.Sprintf("i-0-%d", i), large)
	}
	putEntry(b, "i-1")
	waitUntil(t, inForceWithin, "target beside large entries", func() bool { return b.haveTargets("i-1") })
	b.nodes = append(b.nodes, b.start(t, 9))
	waitUntil(t, inForceWithin, "target at a new member", func() bool { return b.haveTargets("i-1") })
	for _, n := range b.nodes {
		u := n.catalog.UpdateSince(catalog.Targets, catalog.Position{})
		size := 0
		for _, c := range u.Changes {
			size += len(c.Raw)
		}
		if size > 64<<10 {
			t.Errorf("%s passes on %d bytes, want few", n.address, size)
		}
	}
}
