package claim

import (
	"context"
	"net/http"
	"testing"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/wire"
)

// syncAll gives all live nodes the newest epoch and synchronises their records.
func (w *cluster) syncAll() {
	for _, n := range w.nodes {
		if !n.dead {
			w.updateView(n)
		}
	}
	for range 3 {
		for _, n := range w.nodes {
			if !n.dead {
				n.replicas.Sync(context.Background())
			}
		}
	}
}

// replaceFirst replaces the first member by a new node; the replaced one is killed if kill is set.
func (w *cluster) replaceFirst(kill bool) {
	old := w.epoch.GetMembers()
	w.changeMembers(append(append([]*wire.Member{}, old[1:]...), w.startNode().member))
	for _, n := range w.nodes {
		n.dead = n.dead || kill && n.member == old[0]
	}
	w.syncAll()
}

// wantRun sends a request through the newest node and checks its answer and how often its key has run.
func (w *cluster) wantRun(t *testing.T, k ident.Key, body string, o outcome.Outcome, status int, runs int) {
	t.Helper()
	a := w.run(w.nodes[len(w.nodes)-1], k, body)
	if a.Outcome != o || a.Status != status {
		t.Errorf("key %s: outcome %s, status %d, want %s, %d", k, a.Outcome, a.Status, o, status)
	}
	if n := w.runs[k]; n != runs {
		t.Errorf("key %s: %d runs, want %d", k, n, runs)
	}
}

// TestResend checks that a resend gets the recorded answer and that another request under the same key is refused.
func TestResend(t *testing.T) {
	w := newCluster(5)
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	w.wantRun(t, "a", "2", outcome.NotRun, http.StatusUnprocessableEntity, 1)
}

// TestReplacement checks that no key is forgotten and none refused while every member is killed and replaced, one
// after the other.
func TestReplacement(t *testing.T) {
	w := newCluster(5)
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	for range 8 {
		w.replaceFirst(true)
		w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	}
	w.wantRun(t, "b", "1", outcome.Done, http.StatusOK, 1)
}

// TestEpochHistoryTruncated checks that replicas stay ready, and that others can still synchronise from them, when
// members change so often that the epoch no longer lists the one since which the partitions have had these replicas.
func TestEpochHistoryTruncated(t *testing.T) {
	w := newCluster(3)
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	for range 4 {
		w.changeMembers(w.epoch.GetMembers())
		for len(w.epoch.GetPast()) > 2 {
			w.dropOldestEpoch()
		}
		w.syncAll()
	}
	w.wantRun(t, "b", "1", outcome.Done, http.StatusOK, 1)
	w.replaceFirst(true)
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	w.wantRun(t, "c", "1", outcome.Done, http.StatusOK, 1)
}

// TestAllReplicasLost checks that after the simultaneous loss of all replicas every key is unknown until the
// retention time is over.
func TestAllReplicasLost(t *testing.T) {
	w := newCluster(3)
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	for _, n := range w.nodes {
		n.dead = true
	}
	w.changeMembers([]*wire.Member{w.startNode().member, w.startNode().member, w.startNode().member})
	w.syncAll()
	w.wantRun(t, "a", "1", outcome.Unknown, http.StatusBadGateway, 1)
	w.wantRun(t, "b", "1", outcome.Unknown, http.StatusBadGateway, 0)
	w.passRetention()
	w.syncAll()
	w.wantRun(t, "b", "1", outcome.Done, http.StatusOK, 1)
}

// TestReplicasDown checks that new keys are accepted with one replica of three down, and are unknown with two down.
func TestReplicasDown(t *testing.T) {
	w := newCluster(3)
	w.nodes[0].dead = true
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	w.nodes[1].dead = true
	w.wantRun(t, "b", "1", outcome.Unknown, http.StatusBadGateway, 0)
}

// TestTableFull checks that a full table refuses new keys with the outcome not-run and still answers for known ones.
func TestTableFull(t *testing.T) {
	w := newCluster(3)
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	for _, n := range w.nodes {
		n.replicas.table.used += maxReserveBytes
	}
	w.wantRun(t, "b", "1", outcome.NotRun, http.StatusServiceUnavailable, 0)
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
}

// replaceAll replaces all members at once; only the new ones get the new epoch and synchronise.
func (w *cluster) replaceAll() {
	former := len(w.nodes)
	w.changeMembers([]*wire.Member{w.startNode().member, w.startNode().member, w.startNode().member})
	for range 2 {
		for _, n := range w.nodes[former:] {
			w.updateView(n)
			n.replicas.Sync(context.Background())
		}
	}
}

// wantNoReservation continues an attempt at a node that knows only an earlier epoch and checks that it gets no
// reservation.
func (w *cluster) wantNoReservation(t *testing.T, a *attempt) {
	t.Helper()
	for i := 0; i < 100 && a.reservation == nil && a.answer == nil; i++ {
		w.clock.Advance(10e6)
		w.resume(a, true)
	}
	if a.reservation != nil {
		t.Error("former replicas reserved the key, want no reservation")
	}
}

// TestFormerReplicasFenced checks that former replicas record nothing once their records were taken over, although
// they don't know the new epoch.
func TestFormerReplicasFenced(t *testing.T) {
	w := newCluster(3)
	a := w.begin(w.nodes[0], "a", "1")
	w.replaceAll()
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	w.wantNoReservation(t, a)
}

// TestReplicasWithoutLease checks that former replicas whose lease has lapsed record nothing. They must not, since
// once the retention time is over, new replicas no longer ask them for their records.
func TestReplicasWithoutLease(t *testing.T) {
	w := newCluster(3)
	w.changeMembers([]*wire.Member{w.startNode().member, w.startNode().member, w.startNode().member})
	w.passRetention()
	for _, n := range w.nodes[3:] {
		w.updateView(n)
	}
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
	w.wantNoReservation(t, w.begin(w.nodes[0], "a", "1"))
}

// TestPastEpochDroppedEarly checks that keys are unknown while records of a past epoch that was dropped from the list
// too early may still count.
func TestPastEpochDroppedEarly(t *testing.T) {
	w := newCluster(3)
	w.changeMembers([]*wire.Member{w.startNode().member, w.startNode().member, w.startNode().member})
	w.dropOldestEpoch()
	w.syncAll()
	w.wantRun(t, "a", "1", outcome.Unknown, http.StatusBadGateway, 0)
	w.passRetention()
	w.syncAll()
	w.wantRun(t, "a", "1", outcome.Done, http.StatusOK, 1)
}
