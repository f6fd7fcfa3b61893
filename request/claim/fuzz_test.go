package claim

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/wire"
)

// stateMachine drives a cluster with lost, delayed and reordered messages, and with nodes that crash, join and learn
// of epochs late.
type stateMachine struct {
	*cluster
	attempts []*attempt
}

// withRandom calls use with a random element of the list, if there is any.
func withRandom[T any](t *rapid.T, l []T, use func(T)) {
	if len(l) > 0 {
		use(l[rapid.IntRange(0, len(l)-1).Draw(t, "pick")])
	}
}

// liveNodes returns the nodes that haven't crashed.
func (m *stateMachine) liveNodes() []*node {
	var r []*node
	for _, n := range m.nodes {
		if !n.dead {
			r = append(r, n)
		}
	}
	return r
}

// attemptsWhere returns the attempts that match and aren't abandoned.
func (m *stateMachine) attemptsWhere(ok func(a *attempt) bool) []*attempt {
	var r []*attempt
	for _, a := range m.attempts {
		if !a.abandoned && ok(a) {
			r = append(r, a)
		}
	}
	return r
}

// isWaiting reports whether the attempt is still waiting for its reservation.
func isWaiting(a *attempt) bool {
	return a.reservation == nil && a.answer == nil
}

// beginAny sends a request of one of few keys through a random live node, whatever epoch it knows.
func (m *stateMachine) beginAny(t *rapid.T) {
	if len(m.attemptsWhere(func(a *attempt) bool { return a.answer == nil })) > 4 {
		return
	}
	k := ident.Key(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
	withRandom(t, m.liveNodes(), func(n *node) { m.attempts = append(m.attempts, m.begin(n, k, "")) })
}

// resumeOneStep continues a random waiting attempt by one step.
func (m *stateMachine) resumeOneStep(t *rapid.T) {
	withRandom(t, m.attemptsWhere(isWaiting), func(a *attempt) {
		m.resume(a, true)
	})
}

// finishAny ends a random attempt that holds a reservation, with a random outcome.
func (m *stateMachine) finishAny(t *rapid.T) {
	withRandom(t, m.attemptsWhere(func(a *attempt) bool { return a.reservation != nil }), func(a *attempt) {
		o := rapid.SampledFrom([]outcome.Outcome{outcome.Done, outcome.Unknown, outcome.NotRun}).Draw(t, "outcome")
		m.finish(a, o, rapid.Bool().Draw(t, "settle"))
	})
}

// crashAny kills a random live node and abandons its attempts.
func (m *stateMachine) crashAny(t *rapid.T) {
	withRandom(t, m.liveNodes(), func(n *node) {
		n.dead = true
		for _, a := range m.attempts {
			a.abandoned = a.abandoned || a.node == n
		}
	})
}

// replaceSome replaces some of the members, or adds some.
func (m *stateMachine) replaceSome(t *rapid.T) {
	if m.epoch.GetNumber()-uint64(len(m.epoch.GetPast())) > 20 {
		return
	}
	var l []*wire.Member
	for _, o := range m.epoch.GetMembers() {
		if rapid.Bool().Draw(t, "stays") {
			l = append(l, o)
		}
	}
	for len(l) < 2 || len(l) < 5 && rapid.Bool().Draw(t, "add") {
		l = append(l, m.startNode().member)
	}
	m.changeMembers(l)
}

// updateAny gives a random live node the newest epoch and synchronises it.
func (m *stateMachine) updateAny(t *rapid.T) {
	withRandom(t, m.liveNodes(), func(n *node) {
		m.updateView(n)
		n.replicas.Sync(context.Background())
		n.replicas.Sync(context.Background())
	})
}

// syncAny synchronises a random live node under the epoch that it knows.
func (m *stateMachine) syncAny(t *rapid.T) {
	withRandom(t, m.liveNodes(), func(n *node) { n.replicas.Sync(context.Background()) })
}

// updateMost gives most live nodes the newest epoch and synchronises them.
func (m *stateMachine) updateMost(t *rapid.T) {
	for _, n := range m.liveNodes() {
		if rapid.IntRange(0, 3).Draw(t, "update") > 0 {
			m.updateView(n)
			n.replicas.Sync(context.Background())
		}
	}
}

// resumeUpToThreeSteps continues a random waiting attempt by up to three steps.
func (m *stateMachine) resumeUpToThreeSteps(t *rapid.T) {
	withRandom(t, m.attemptsWhere(isWaiting), func(a *attempt) {
		for i := 0; i < 3 && a.reservation == nil && a.answer == nil; i++ {
			m.resume(a, true)
		}
		if a.reservation != nil && rapid.Bool().Draw(t, "runs") {
			m.finish(a, outcome.Unknown, false)
		}
	})
}

// deliverAny delivers a random delayed message, possibly not for the last time.
func (m *stateMachine) deliverAny(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "message")
	e := m.delayed[i]
	if rapid.Bool().Draw(t, "once") {
		m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
	}
	m.handle(&e)
}

// maybePassRetention sometimes lets the retention time pass; by then the deadlines of all requests have passed too.
func (m *stateMachine) maybePassRetention(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "skip") > 0 {
		return
	}
	for _, a := range m.attempts {
		a.abandoned = true
	}
	m.passRetention()
}

// TestAtMostOnce checks that the request of a key runs at most once under any sequence of faults and member changes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{cluster: newCluster(rapid.IntRange(2, 5).Draw(t, "members"))}
		faults := rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "faults")
		m.deliveryOf = func(*Envelope) delivery {
			if rapid.IntRange(1, 100).Draw(t, "fault") > faults {
				return delivered
			}
			return rapid.SampledFrom([]delivery{replyLost, requestLost, delayed}).Draw(t, "delivery")
		}
		m.order = func(n int) []int { return rapid.Permutation(m.inOrder(n)).Draw(t, "order") }
		defer m.stop()
		t.Repeat(map[string]func(*rapid.T){
			"Begin": m.beginAny, "BeginMore": m.beginAny, "ChangeMembers": m.replaceSome, "Crash": m.crashAny,
			"Deliver": m.deliverAny, "Finish": m.finishAny, "ResumeOneStep": m.resumeOneStep,
			"JumpPastRetention": m.maybePassRetention, "ResumeUpToThreeSteps": m.resumeUpToThreeSteps,
			"UpdateAndSync": m.updateAny, "UpdateMore": m.updateAny, "UpdateMost": m.updateMost,
			"DropOldestEpoch": func(*rapid.T) { m.dropOldestEpoch() },
			"LearnEpoch":      func(t *rapid.T) { withRandom(t, m.liveNodes(), m.updateView) },
			"Sync":            m.syncAny,
			"AdvanceClock":    func(*rapid.T) { m.clock.Advance(20 * time.Millisecond) },
			"": func(t *rapid.T) {
				for k, n := range m.runs {
					if n > 1 {
						t.Fatalf("key %s ran %d times, want at most once", k, n)
					}
				}
			},
		})
	})
}

func (w *cluster) inOrder(n int) []int {
	r := make([]int, n)
	for i := range r {
		r[i] = i
	}
	return r
}

// stop ends the goroutines of the attempts that still wait.
func (m *stateMachine) stop() {
	for _, a := range m.attempts {
		a.cancel()
		for a.reservation == nil && a.answer == nil {
			a.transmit = nil
			m.resume(a, false)
		}
	}
}
