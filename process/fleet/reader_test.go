package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestReadersStayWithoutPreferredOnes checks that the same two members go on reading the store if those that come first
// in the order of rank are gone. All readers stopped together every 3 s, and for over a second nobody read the store.
func TestReadersStayWithoutPreferredOnes(t *testing.T) {
	b := newTestFleet(t, 0)
	for i := range 3 {
		b.store.Put("amaranthramp-members", fmt.Sprintf("gone-%d", i),
			fmt.Sprintf(`{"Address":"127.41.9.%d:9","DataCentre":"%c","Capacity":9}`, i+1, 'a'+i))
	}
	for i := range 6 {
		b.nodes = append(b.nodes, b.start(t, i))
	}
	waitUntil(t, 20*time.Second, "every member knows all members", func() bool {
		for _, n := range b.nodes {
			if n.fleet.Members() != len(b.nodes)+3 {
				return false
			}
		}
		return b.inForce(1)
	})
	readers := func() []int {
		var l []int
		for i, n := range b.nodes {
			if ok, _ := n.follower.Reading(); ok {
				l = append(l, i)
			}
		}
		return l
	}
	time.Sleep(6 * time.Second)
	want := readers()
	if len(want) != 2 {
		t.Fatalf("members %v read the store, want two", want)
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := readers(); !slices.Equal(got, want) {
			t.Fatalf("members %v read the store, want %v as before", got, want)
		}
	}
}
