package rollout

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// The schedule of an order, as parts of its duration or as times before its time limit.
const (
	// minObserved is the part of the duration for which a version is observed before it is accepted.
	minObserved = 0.55
	// forceCompletion is the time before the limit at which a version that has been proved good is completed whatever is
	// in flight. A decider of the next rank still writes 0.8 s before the limit.
	forceCompletion = 1300 * time.Millisecond
	// giveUp is the time before the limit at which the order is rolled back without a verdict. It leaves time for two
	// ranks.
	giveUp = 1500 * time.Millisecond
	// lastMove is the time before the limit up to which a version may be accepted: afterwards the requests in flight to
	// old targets would be cut off.
	lastMove = 2500 * time.Millisecond
	// giveUpMoving is the time before the limit at which an order that is Moving is rolled back by a decider that may not
	// complete it.
	giveUpMoving = 800 * time.Millisecond
	// forceClose is the time before the limit, and closePart the part of the duration, at which old targets are not used
	// any more even if the new ones can't take all requests.
	forceClose = 3500 * time.Millisecond
	closePart  = 0.15
	// closeDelay is the least time of Moving before old targets are not used any more, and maxFallback the greatest part
	// of the recent requests that old targets may still get then.
	closeDelay  = time.Second
	maxFallback = 0.02
)

// wanted returns the status that the store should have now, and false if it has the right one.
func (d *Decider) wanted(now clock.Instant) (Status, string, bool) {
	p := d.order
	inStore := p.order.Status
	s := func(g Progress, f Phase) Status {
		return Status{
			State: g, Version: p.order.Version, Phase: f, Order: p.order.ID, Excluded: p.order.Excluded,
		}
	}
	left := p.order.Duration - now.Sub(p.startedAt)
	switch {
	case inStore.ended():
		return Status{}, "", false
	case p.status.ended():
		return s(p.status.State, p.status.Phase), "status lost by the store", true
	case p.finding.verdict == Bad:
		return s(RolledBack, inStore.Phase), p.finding.reason, true
	case p.status.Phase == Moving:
		return d.wantedMoving(now, left, s)
	case left <= giveUp:
		return s(RolledBack, Probing), "no verdict: " + p.obstacle(), true
	case p.finding.verdict == Good && d.quorum(now) && left >= lastMove && p.observed(left):
		return s(Running, Moving), p.finding.reason, true
	case inStore.State == "":
		return s(Running, Probing), "order seen", true
	case !inStore.Excluded.containsAll(p.order.Excluded):
		return s(Running, inStore.Phase), "versions excluded", true
	}
	return Status{}, "", false
}

// obstacle says what kept an order from moving.
func (p *deciderOrder) obstacle() string {
	if p.finding.verdict == Good {
		return "accepted too late, or without most deciders"
	}
	return p.finding.reason
}

// observed reports whether the version has been observed for long enough, given the time left.
func (p *deciderOrder) observed(left time.Duration) bool {
	return float64(left) <= (1-minObserved)*float64(p.order.Duration)
}

func (d *Decider) wantedMoving(
	now clock.Instant, left time.Duration, s func(Progress, Phase) Status,
) (Status, string, bool) {
	quorum := d.quorum(now)
	switch {
	case quorum && left <= forceCompletion:
		return s(Completed, Moving), "time limit", true
	case quorum && d.moved(now):
		return s(Completed, Moving), "all members have moved", true
	case !quorum && left <= giveUpMoving:
		return s(RolledBack, Moving), "deciders out of touch", true
	case d.order.order.Status.Phase != Moving:
		return s(Running, Moving), "status lost by the store", true
	}
	return Status{}, "", false
}

// moved reports whether all members that report use new targets only and have nothing in flight to old ones, and those
// that don't have been silent for long.
func (d *Decider) moved(now clock.Instant) bool {
	p := d.order
	seen := map[ident.VM]bool{}
	for vm, m := range p.members {
		seen[vm] = true
		if silent := now.Sub(m.heardAt); silent >= quorumLife {
			if silent < d.bound.Contact || now.Sub(p.movingAt) < d.bound.Contact {
				return false
			}
			continue
		}
		if !m.closed || m.inFlightOld > 0 {
			return false
		}
	}
	for _, m := range d.members {
		if !seen[m.Name] && now.Sub(p.movingAt) < d.bound.Contact {
			return false
		}
	}
	return true
}

// mayClose reports whether the members should stop using old targets altogether.
func (d *Decider) mayClose(now clock.Instant) bool {
	p := d.order
	if p.status.Phase != Moving || p.status.ended() {
		return false
	}
	left := p.order.Duration - now.Sub(p.startedAt)
	if left <= max(forceClose, time.Duration(closePart*float64(p.order.Duration))) {
		return true
	}
	if now.Sub(p.movingAt) < closeDelay {
		return false
	}
	sentOld, sentNew := p.sent()
	old, fresh := p.window.sent(now, sentOld, sentNew)
	return old+fresh > 0 && float64(old) <= maxFallback*float64(old+fresh)
}

// sent returns the requests that the present processes of all members have sent to old and new targets.
func (p *deciderOrder) sent() (old, fresh uint64) {
	for _, m := range p.members {
		old += m.sentOld
		fresh += m.sentNew
	}
	return old, fresh
}
