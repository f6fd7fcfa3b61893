package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The deployment of the case. The requests are those of the class score-read of the sheet, and the targets never answer
// what they can't queue. All requests of a round fit into the slots and queues of the targets.
const (
	stopGateways  = 24
	stopTargets   = 8
	stopSlots     = 3
	stopQueue     = 6
	stopConsumers = 72
	stopWork      = 880 * time.Millisecond
	stopTimeout   = 8 * time.Second
	stopLeft      = 15 * time.Second
	// stopDelay is the one-way delay between zones.
	stopDelay = 1400 * time.Microsecond
	// Consumers send in rounds, all within stopJitter, as those do that poll by the clock.
	stopRound  = 3 * time.Second
	stopJitter = 2 * time.Millisecond
	// graceTime is grace-s, after which the platform ends a process with SIGKILL.
	graceTime = 6 * time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// stopGap is the time between the stops of two machines.
	stopGap = 1300 * time.Millisecond
	stopEnd = 75 * time.Second
	// excusedSend is how late after SIGTERM a request may be sent whose target is at work in the last sixth of the grace.
	excusedSend = 3 * time.Second
)

// rotation is what the platform's balancer knows of the gateways: which of them are ready, by a question a second.
type rotation struct {
	mu     sync.Mutex
	misses map[*gateway]int
	// stopped holds when each gateway last got SIGTERM.
	stopped map[*gateway][]time.Time
}

// watch asks a gateway once a second, as the platform does.
func (t *rotation) watch(g *gateway, done <-chan struct{}) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		p, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", g.ip, readyPort))
		ready := err == nil && p.StatusCode == http.StatusOK
		if err == nil {
			_ = p.Body.Close()
		}
		t.mu.Lock()
		if ready {
			t.misses[g] = 0
		} else {
			t.misses[g]++
		}
		t.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns a gateway that takes new connections; n makes the choice differ between consumers.
func (t *rotation) pick(l []*gateway, n int) *gateway {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range l {
		g := l[(n+i)%len(l)]
		if t.misses[g] < 2 {
			return g
		}
	}
	return l[n%len(l)]
}

// claimed is a request with the gateway that took it.
type claimed struct {
	result
	gateway *gateway
}

// runStop checks LOST around planned stops: machines are stopped with SIGTERM and started again, one after the other.
// The traffic is the same all the time, and there is no other disruption.
func runStop(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	if err := e.configure(1, defaultLimits(), routeSpec{
		Name: "score-read", PathPrefix: "/score/", Kind: "safe", TimeoutMs: 8000, AimMs: 2000, Priority: 2,
		Service: "cellarnotes", MaxAttempts: 2,
	}); err != nil {
		return verdict{}, err
	}
	ignored := &runs{m: map[string][]*run{}}
	for i := range stopTargets {
		t, err := e.newTarget(fmt.Sprintf("i-%04d", i), "cellarnotes", zones[i%3], stopSlots, stopWork, r)
		if err != nil {
			return verdict{}, err
		}
		t.queue, t.ignored, t.delay = stopQueue, ignored, stopDelay
	}
	for i := range stopGateways {
		if err := e.addGateway(zones[i%3], 1+i/3, true); err != nil {
			return verdict{}, err
		}
	}
	if err := e.awaitGateways(e.gateways); err != nil {
		return verdict{}, err
	}
	t := &rotation{misses: map[*gateway]int{}, stopped: map[*gateway][]time.Time{}}
	done := make(chan struct{})
	for _, g := range e.gateways {
		go t.watch(g, done)
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var results []claimed
	var w sync.WaitGroup
	end := e.began.Add(stopEnd)
	for i := range stopConsumers {
		w.Go(func() {
			l := e.claimUntil(t, i, end)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, l...)
		})
	}
	if trouble {
		w.Go(func() { e.stopInTurn(t, end.Add(-graceTime-2*time.Second)) })
	}
	w.Wait()
	close(done)
	return e.countCut(t, r, ignored, results), nil
}

// stopInTurn stops the gateways one after the other and starts each again once it has ended.
func (e *env) stopInTurn(t *rotation, end time.Time) {
	var w sync.WaitGroup
	time.Sleep(8 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		g := e.gateways[i%len(e.gateways)]
		w.Go(func() { e.stopOnce(t, g) })
		time.Sleep(stopGap)
	}
	w.Wait()
}

func (e *env) stopOnce(t *rotation, g *gateway) {
	t.mu.Lock()
	t.stopped[g] = append(t.stopped[g], time.Now())
	t.mu.Unlock()
	e.record("SIGTERM to %s", g.name)
	g.signal(syscall.SIGTERM)
	kill := time.AfterFunc(graceTime, func() {
		e.record("SIGKILL to %s", g.name)
		g.signal(syscall.SIGKILL)
	})
	g.awaitEnd()
	kill.Stop()
	e.record("%s has ended", g.name)
	time.Sleep(restartDelay)
	g.restarted()
	if err := g.start(); err != nil {
		e.record("%s did not start: %v", g.name, err)
	}
}

// claimUntil sends claims on kept connections. A connection that ends is replaced by one to a gateway in rotation.
func (e *env) claimUntil(t *rotation, n int, end time.Time) []claimed {
	var l []claimed
	var c *consumer
	var g *gateway
	for i := 0; time.Now().Before(end); i++ {
		e.awaitRound()
		if c != nil {
			c.closeIfEnded()
		}
		if c == nil || c.conn == nil {
			g = t.pick(e.gateways, n+i)
			c = &consumer{address: g.front()}
			if err := c.connect(); err != nil {
				c = nil
				continue
			}
		}
		q := newRequest(http.MethodGet, "/score/critic", stopLeft)
		o := c.do(q)
		l = append(l, claimed{o, g})
		e.record("consumer %d at %s: %s", n, g.name, o.text())
	}
	if c != nil {
		c.close()
	}
	return l
}

// awaitRound waits until consumers send their next requests. They send in rounds, all within stopJitter.
func (e *env) awaitRound() {
	next := e.began.Add(time.Since(e.began).Truncate(stopRound) + stopRound)
	time.Sleep(time.Until(next) + rand.N(stopJitter))
}

// countCut counts the requests that a target had received and whose connection ended without an answer around a planned
// stop, less those that the rule excuses.
func (e *env) countCut(t *rotation, r, ignored *runs, l []claimed) verdict {
	r.record(e)
	e.record("requests that targets could not queue:")
	ignored.record(e)
	cut, late, unanswered := 0, 0, 0
	for i := range l {
		o := &l[i]
		unanswered += len(ignored.of(o.id))
		if o.err == nil || o.done.Sub(o.sent) >= stopTimeout-50*time.Millisecond {
			continue
		}
		for _, s := range t.stopped[o.gateway] {
			if o.done.Before(s) || o.done.After(s.Add(graceTime+time.Second)) {
				continue
			}
			ran, queued := r.of(o.id), ignored.of(o.id)
			atWork := false
			for _, n := range ran {
				lastSixth := s.Add(graceTime * 5 / 6)
				atWork = atWork || n.ended.IsZero() || n.ended.After(lastSixth)
			}
			switch {
			case len(ran)+len(queued) == 0:
				// It was not passed on.
			case atWork && o.sent.Before(s.Add(excusedSend)):
				late++
			default:
				cut++
				e.record("CUT %s, sent %d ms before and cut %d ms after SIGTERM; runs %d, received and not answered %d",
					o.text(), s.Sub(o.sent).Milliseconds(), o.done.Sub(s).Milliseconds(), len(ran), len(queued))
			}
		}
	}
	return verdict{
		broken: cut > 0,
		text: fmt.Sprintf("LOST: of %d requests on kept connections, %d had been passed on to a target and ended without an "+
			"answer around a planned stop (%d more are excused); targets could not queue %d", len(l), cut, late, unanswered),
	}
}

// ignore keeps a request that the target can't queue without an answer until its connection is closed.
func (t *target) ignore(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	n := t.ignored.begin(r.Header.Get(headerID), t.id, r.URL.Path)
	<-r.Context().Done()
	t.ignored.end(n, true)
	panic(http.ErrAbortHandler)
}
