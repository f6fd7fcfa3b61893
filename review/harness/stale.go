package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// staleRounds is how often all machines are replaced before the disruption.
	staleRounds = 7
	// turnedAway is how many machines the store turns away, within the share of 0.35 of six.
	turnedAway = 2
	awayTime   = 9 * time.Second
	// configApply is the bound config-apply-ms.
	configApply = 2 * time.Second
	settleTime  = 8 * time.Second
)

// staleRequest is a request and when it was sent.
type staleRequest struct {
	id      string
	sent    time.Time
	gateway *gateway
}

// runStale checks CONFIG: the store turns away the two machines that read it and serves the others, and a version moves
// a route to another service. The others have to follow within config-apply-ms. Before that, all machines have been
// replaced several times.
func runStale(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	if err := e.configure(1, defaultLimits(), staleRoute("old-ledger"), idleRoute("new-ledger")); err != nil {
		return verdict{}, err
	}
	for i := range 12 {
		service := []string{"old-ledger", "new-ledger"}[i%2]
		_, err := e.newTarget(fmt.Sprintf("%s-%d", service, i), service, zones[i/2%3], 6, 20*time.Millisecond, r)
		if err != nil {
			return verdict{}, err
		}
	}
	e.proxied = true
	if err := e.startMachines(0, true); err != nil {
		return verdict{}, err
	}
	for i := range staleRounds {
		if err := e.killAndReplace(i + 1); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(settleTime)
	return e.moveRoute(r, trouble)
}

func staleRoute(service string) routeSpec {
	return routeSpec{
		Name: "read", PathPrefix: "/read/", Kind: "safe", TimeoutMs: 1000, AimMs: 300, Priority: 2, Service: service,
		MaxAttempts: 2,
	}
}

func idleRoute(service string) routeSpec {
	o := staleRoute(service)
	o.Name, o.PathPrefix = "idle", "/idle/"
	return o
}

// killAndReplace adds the machines of a round, and then removes those of the round before for good, without SIGTERM.
func (e *env) killAndReplace(round int) error {
	old := e.gateways[len(e.gateways)-machinesPerRound:]
	if err := e.startMachines(round, false); err != nil {
		return err
	}
	for _, g := range old {
		g.kill()
		e.record("machine %s is removed for good", g.name)
	}
	return nil
}

// moveRoute lets the store turn machines away and moves the route while consumers use it.
func (e *env) moveRoute(r *runs, trouble bool) (verdict, error) {
	l := slices.Clone(e.gateways[len(e.gateways)-machinesPerRound:])
	slices.SortFunc(l, func(a, b *gateway) int { return b.proxy.recentAnswers() - a.proxy.recentAnswers() })
	for _, g := range l {
		e.record("%s: %d answers of the store in the last seconds", g.name, g.proxy.recentAnswers())
	}
	away, others := l[:turnedAway], l[turnedAway:]
	if trouble {
		for _, g := range away {
			g.proxy.setCut(true)
			e.record("the store turns %s away", g.name)
		}
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	var mu sync.Mutex
	var sent []staleRequest
	for _, g := range others {
		w.Go(func() {
			n := e.readWhile(g, stop)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, n...)
		})
	}
	time.Sleep(200 * time.Millisecond)
	if err := e.configure(2, defaultLimits(), staleRoute("new-ledger"), idleRoute("old-ledger")); err != nil {
		return verdict{}, err
	}
	acked := time.Now()
	time.Sleep(awayTime - time.Second)
	close(stop)
	w.Wait()
	return e.judgeStale(r, sent, acked), nil
}

func (e *env) readWhile(g *gateway, stop <-chan struct{}) []staleRequest {
	c := &consumer{address: g.front()}
	defer c.close()
	var l []staleRequest
	for {
		select {
		case <-stop:
			return l
		case <-time.After(50 * time.Millisecond):
		}
		q := newRequest(http.MethodGet, "/read/balance", time.Second)
		l = append(l, staleRequest{id: q.id, sent: time.Now(), gateway: g})
		o := c.do(q)
		e.record("to %s: %s", g.name, o.text())
	}
}

// judgeStale counts the requests that the old service ran though they were sent too late for it.
func (e *env) judgeStale(r *runs, l []staleRequest, acked time.Time) verdict {
	r.record(e)
	late, latest := 0, time.Duration(0)
	for _, q := range l {
		after := q.sent.Sub(acked)
		for _, x := range r.of(q.id) {
			if after <= configApply || !strings.HasPrefix(x.target, "old-ledger") {
				continue
			}
			late++
			latest = max(latest, after)
			e.record("request %s, sent to %s %d ms after the ack, ran at %s", q.id, q.gateway.name, after.Milliseconds(),
				x.target)
		}
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("CONFIG: %d of %d requests to machines in touch were sent later than %s after the ack and run by "+
			"the old service, the last sent %d ms after the ack", late, len(l), configApply, latest.Milliseconds()),
	}
}
