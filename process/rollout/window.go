package rollout

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// snapshotInterval is the time between two snapshots of the evidence. It bounds the memory to a few of them.
const snapshotInterval = 500 * time.Millisecond

// sentPeriod is the period over which the fallback to old targets is measured.
const sentPeriod = time.Second

// window holds snapshots of the evidence of the last evidenceWindow, from which the recent evidence is derived.
type window struct {
	snapshots []snapshot
	timing    timing
}

type snapshot struct {
	at               clock.Instant
	sums             *sums
	sentOld, sentNew uint64
}

// add takes a snapshot if one is due.
func (w *window) add(now clock.Instant, s *sums, sentOld, sentNew uint64) {
	if n := len(w.snapshots); n > 0 {
		last := w.snapshots[n-1]
		if now.Sub(last.at) < snapshotInterval {
			return
		}
		d := s.since(last.sums)
		w.timing.add(d.old(), d.fresh(), s.old())
	}
	// One snapshot from before the window is kept: the window begins with it.
	for len(w.snapshots) > 1 && now.Sub(w.snapshots[1].at) >= evidenceWindow {
		w.snapshots = w.snapshots[1:]
	}
	w.snapshots = append(w.snapshots, snapshot{at: now, sums: s.clone(), sentOld: sentOld, sentNew: sentNew})
}

// recent returns the evidence of the window.
func (w *window) recent(s *sums) *sums {
	if len(w.snapshots) == 0 {
		return s
	}
	return s.since(w.snapshots[0].sums)
}

// sent returns the requests sent to old and new targets within sentPeriod, given the totals now. A total that has gone
// back, because a member has restarted, counts as nothing sent.
func (w *window) sent(now clock.Instant, sentOld, sentNew uint64) (old, fresh uint64) {
	for i := len(w.snapshots) - 1; i >= 0; i-- {
		x := w.snapshots[i]
		if now.Sub(x.at) >= sentPeriod || i == 0 {
			return sentOld - min(x.sentOld, sentOld), sentNew - min(x.sentNew, sentNew)
		}
	}
	return 0, 0
}
