package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// The bound on the requests to a target that names a limit: within any limitWindow, from limitDelay after the first
// response that named it, 1.5 times the limit plus 5.
const (
	limitWindow = 4 * time.Second
	limitDelay  = 3 * time.Second
)

func maxInLimitWindow(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds() + 5)
}

// limitLoad sends requests through all gateways of a fleet until it is stopped.
type limitLoad struct {
	stop           chan struct{}
	done           sync.WaitGroup
	sent, answered atomic.Int64
	// lateRefusals counts the refusals without Retry-After and those that took longer than maxWait.
	lateRefusals atomic.Int64
}

func startLimitLoad(fleet []*testGateway, pause, maxWait time.Duration) *limitLoad {
	l := &limitLoad{stop: make(chan struct{})}
	for i, g := range fleet {
		for j := range 3 {
			l.done.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-l.stop:
						return
					case <-time.After(pause):
					}
					l.sendOne(g, fmt.Sprint("l", i, "-", j, "-", n), maxWait)
				}
			})
		}
	}
	return l
}

func (l *limitLoad) sendOne(g *testGateway, id string, maxWait time.Duration) {
	l.sent.Add(1)
	began := time.Now()
	p, _, err := g.send(context.Background(), "GET", "/read/1", id, "")
	switch {
	case err != nil:
	case p.StatusCode == http.StatusOK:
		l.answered.Add(1)
	default:
		after, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
		if err != nil || after <= 0 || time.Since(began) > maxWait {
			l.lateRefusals.Add(1)
		}
	}
}

func (l *limitLoad) end() {
	close(l.stop)
	l.done.Wait()
}

// checkLimit checks the runs at a target from the given time on.
func (b *testGateway) checkLimit(t *testing.T, target string, from time.Time, perSecond float64) {
	t.Helper()
	times := b.runLog.Times(target)
	for i, first := range times {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		if most := maxInLimitWindow(perSecond); n > most {
			t.Errorf("%s, which takes %.1f requests per second, got %d within %s, want at most %d", target, perSecond, n,
				limitWindow, most)
			return
		}
	}
}

// TestLimitedTargetGetsNoMoreThanItNamed checks that targets that name a limit get no more than that from all VMs
// together while others serve the callers, and that they get more again once they name none.
func TestLimitedTargetGetsNoMoreThanItNamed(t *testing.T) {
	for _, inProbes := range []bool{true, false} {
		t.Run(fmt.Sprintf("inProbes=%t", inProbes), func(t *testing.T) {
			t.Parallel()
			const perSecond = 1.4
			b := newTestGateway(t, 6, 5*time.Millisecond)
			fleet := []*testGateway{b}
			for i := range 4 {
				fleet = append(fleet, b.addGateway(t, ident.VM(fmt.Sprint("vm-", i+2))))
			}
			for _, g := range b.targets[:2] {
				g.NameLimit(fmt.Sprint(perSecond), inProbes)
			}
			began := time.Now()
			l := startLimitLoad(fleet, 40*time.Millisecond, time.Second)
			time.Sleep(limitDelay + 2*limitWindow)
			l.end()
			if a, n := l.answered.Load(), l.sent.Load(); a < n*99/100 {
				t.Errorf("%d of %d requests answered while four of six targets name no limit, want nearly all", a, n)
			}
			for _, g := range b.targets[:2] {
				b.checkLimit(t, g.ID, began.Add(limitDelay), perSecond)
				g.NameLimit("", false)
			}
			if !inProbes {
				// Only a response to a request shows that the limit is over, and few VMs may send one.
				return
			}
			ended := time.Now()
			l = startLimitLoad(fleet, 40*time.Millisecond, time.Second)
			time.Sleep(limitWindow)
			l.end()
			for _, g := range b.targets[:2] {
				n := 0
				for _, at := range b.runLog.Times(g.ID) {
					if at.After(ended) {
						n++
					}
				}
				if most := maxInLimitWindow(perSecond); n <= most {
					t.Errorf("%s got %d requests in %s after it stopped naming a limit, want more than %d", g.ID, n, limitWindow,
						most)
				}
			}
		})
	}
}

// TestLimitsOfAllTargets checks that callers are refused at once and told when to come back if all targets of a service
// name limits that are used up, and that the targets get most of what they take.
func TestLimitsOfAllTargets(t *testing.T) {
	t.Parallel()
	const perSecond = 4
	b := newTestGateway(t, 3, 5*time.Millisecond)
	fleet := []*testGateway{b, b.addGateway(t, "vm-2"), b.addGateway(t, "vm-3")}
	for _, g := range b.targets {
		g.NameLimit(fmt.Sprint(perSecond), true)
	}
	began := time.Now()
	// The route's latency objective is 500 ms, of which a request may wait 0.4 for a target.
	l := startLimitLoad(fleet, 10*time.Millisecond, 300*time.Millisecond)
	time.Sleep(limitDelay + 2*limitWindow)
	l.end()
	for _, g := range b.targets {
		b.checkLimit(t, g.ID, began.Add(limitDelay), perSecond)
		n := 0
		for _, at := range b.runLog.Times(g.ID) {
			if at.Sub(began) > limitDelay {
				n++
			}
		}
		if least := int(0.6 * perSecond * 2 * limitWindow.Seconds()); n < least {
			t.Errorf("%s got %d requests in %s, want at least %d", g.ID, n, 2*limitWindow, least)
		}
	}
	if n := l.lateRefusals.Load(); n > 0 {
		t.Errorf("%d refusals late or without Retry-After, want none", n)
	}
}
