package fleet_test

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/standin/objects"
)

// inTouchAfter is how long after the end of a fault of the store the limits hold again.
const inTouchAfter = 3 * time.Second

// TestLostAnswersReachMembers checks that an evacuation and the configuration written after it take effect on every
// member once the store has stopped losing the answers to the watches that tell of them. Members went on sending
// requests to the data centre for up to 20 s.
func TestLostAnswersReachMembers(t *testing.T) {
	for _, lost := range []string{platform.EvacuationKind, objects.AllKinds} {
		t.Run(lost, func(t *testing.T) {
			b := newTestFleet(t, 8)
			b.waitForMembers(t, 10*time.Second)
			b.waitForReaders(t)
			b.store.SetFaults(objects.Faults{LoseWatches: lost})
			b.store.Put(platform.EvacuationKind, "zone-a", `{}`)
			time.Sleep(200 * time.Millisecond)
			b.putVersion2()
			time.Sleep(3 * time.Second)
			b.store.SetFaults(objects.Faults{})
			waitUntil(t, inTouchAfter, "evacuation and version 2 in force on all members", func() bool {
				return b.evacuated() && b.inForce(2)
			})
		})
	}
}
