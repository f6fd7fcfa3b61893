package fleet_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/platform"
)

// partition is the way of a node to the store; while it is cut, calls hang until their timeout.
type partition struct {
	next http.RoundTripper
	cut  atomic.Bool
}

// RoundTrip passes a call on unless the way is cut, also when it is cut before the response.
func (p *partition) RoundTrip(r *http.Request) (*http.Response, error) {
	if !p.cut.Load() {
		a, err := p.next.RoundTrip(r)
		if err != nil || !p.cut.Load() {
			return a, err
		}
		_ = a.Body.Close()
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestRegainedReader checks that targets that leave as one reader regains the store are gone everywhere in time. It
// guards against the reader, and through its updates all members, retaining them as after an outage of the store.
func TestRegainedReader(t *testing.T) {
	const cutTime = 5500 * time.Millisecond
	b := newTestFleet(t, 4)
	b.waitForReaders(t)
	b.waitForMembers(t, 5*time.Second)
	putEntry(b, "i-1")
	putEntry(b, "i-2")
	waitUntil(t, inForceWithin, "targets", func() bool { return b.haveTargets("i-1", "i-2") })
	var reader *node
	for _, n := range b.nodes {
		if ok, _ := n.follower.Reading(); ok {
			reader = n
		}
	}
	_, before := reader.follower.Reading()
	reader.partition.cut.Store(true)
	time.Sleep(cutTime)
	reader.partition.cut.Store(false)
	waitUntil(t, inForceWithin, "answer of the store", func() bool {
		_, at := reader.follower.Reading()
		return at.Sub(before) > cutTime
	})
	b.store.Delete(platform.TargetKind, "i-1")
	waitUntil(t, inForceWithin, "target that has left", func() bool { return b.haveTargets("i-2") })
}
