package policy

import (
	"math/rand/v2"
	"sync"

	"github.com/amaranthramp/amaranthramp/version/config"
)

// Policy is a load-balancing policy of a chooser.
type Policy interface {
	policy()
}

// Random picks a random target.
type Random struct{}

// RoundRobin picks the targets in turn.
type RoundRobin struct{}

// PowerOfTwoChoices picks, of two random targets, the one that last reported the lower load.
type PowerOfTwoChoices struct{}

// LeastLocalInFlight picks the target with the fewest requests in flight from this chooser.
type LeastLocalInFlight struct{}

func (Random) policy()             {}
func (RoundRobin) policy()         {}
func (PowerOfTwoChoices) policy()  {}
func (LeastLocalInFlight) policy() {}

// Chooser is a dispatcher that knows only the requests and answers that passed through it; it is safe for concurrent
// use.
type Chooser struct {
	policy  Policy
	targets []config.Upstream

	mu       sync.Mutex
	rand     *rand.Rand
	next     int
	inFlight []int
	reported []int
}

// NewChooser returns a chooser over the targets of one service.
func NewChooser(p Policy, l []config.Upstream, r *rand.Rand) *Chooser {
	n := len(l)
	return &Chooser{
		policy: p, targets: l, rand: r, next: r.IntN(n), inFlight: make([]int, n), reported: make([]int, n),
	}
}

// Begin picks a target, counts a request in flight to it and returns its index.
func (c *Chooser) Begin() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.pick()
	c.inFlight[i]++
	return i
}

// End counts the end of a request to the i-th target. The load that the answer reported is negative if there is none.
func (c *Chooser) End(i, reported int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[i]--
	if reported >= 0 {
		c.reported[i] = reported
	}
}

func (c *Chooser) pick() int {
	n := len(c.targets)
	switch c.policy.(type) {
	case RoundRobin:
		c.next = (c.next + 1) % n
		return c.next
	case PowerOfTwoChoices:
		i, j := c.rand.IntN(n), c.rand.IntN(n)
		if c.reported[j] < c.reported[i] {
			return j
		}
		return i
	case LeastLocalInFlight:
		return c.leastInFlight()
	default:
		return c.rand.IntN(n)
	}
}

// leastInFlight starts its search at a random target, so that ties don't always go to the first one.
func (c *Chooser) leastInFlight() int {
	n := len(c.targets)
	start := c.rand.IntN(n)
	r := start
	for k := range n {
		i := (start + k) % n
		if c.inFlight[i] < c.inFlight[r] {
			r = i
		}
	}
	return r
}
