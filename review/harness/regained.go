package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	drainTargets = 30
	// leavingTargets of these leave in each round, within the share of 0.25.
	leavingTargets = 7
	leavingGap     = 60 * time.Millisecond
	cutTime        = 5500 * time.Millisecond
	drainTime      = 2 * time.Second
	drainConsumers = 8
)

// drainCase holds what has left, and which machine took each request.
type drainCase struct {
	env     *env
	targets []*target
	made    int

	mu    sync.Mutex
	left  map[string]time.Time
	taken map[string]*gateway
	cut   map[*gateway]time.Time
}

// runRegained checks DRAIN: one machine after the other is cut off from the store, and targets leave as it regains it.
// Requests that were taken by the other machines may not reach them later than drain-ms after the store's ack.
func runRegained(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	if err := e.configure(1, defaultLimits(), routeSpec{
		Name: "read", PathPrefix: "/read/", Kind: "safe", TimeoutMs: 1000, AimMs: 300, Priority: 2,
		Service: "member-ledger", MaxAttempts: 2,
	}); err != nil {
		return verdict{}, err
	}
	d := &drainCase{env: e, left: map[string]time.Time{}, taken: map[string]*gateway{}, cut: map[*gateway]time.Time{}}
	if err := d.refill(r); err != nil {
		return verdict{}, err
	}
	e.proxied = true
	if err := e.startGateways(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var w sync.WaitGroup
	for _, g := range e.gateways {
		for range drainConsumers {
			w.Go(func() { d.read(g, stop) })
		}
	}
	for _, g := range slices.Concat(e.gateways, e.gateways) {
		if err := d.round(g, r, trouble); err != nil {
			return verdict{}, err
		}
	}
	close(stop)
	w.Wait()
	return d.judge(r), nil
}

// refill starts targets until there are drainTargets that have not left.
func (d *drainCase) refill(r *runs) error {
	for len(d.targets) < drainTargets {
		t, err := d.env.newTarget(fmt.Sprintf("i-%04d", d.made), "member-ledger", zones[d.made%len(zones)], 3,
			20*time.Millisecond, r)
		if err != nil {
			return err
		}
		d.made++
		d.targets = append(d.targets, t)
	}
	return nil
}

// round cuts a machine off from the store, heals the cut, and lets targets leave.
func (d *drainCase) round(g *gateway, r *runs, trouble bool) error {
	if trouble {
		d.env.record("%s is cut off from the store", g.name)
		d.setCut(g)
		g.proxy.setCut(true)
		time.Sleep(cutTime)
		d.setCut(g)
		g.proxy.setCut(false)
		d.env.record("the cut of %s has healed", g.name)
	}
	for range leavingTargets {
		time.Sleep(leavingGap)
		t := d.targets[0]
		d.targets = d.targets[1:]
		// Its entry is removed and it continues serving.
		d.env.store.Delete("servers", t.id)
		d.mu.Lock()
		d.left[t.id] = time.Now()
		d.mu.Unlock()
		d.env.record("%s leaves: its entry is removed, acked by the store", t.id)
	}
	time.Sleep(drainTime + 1500*time.Millisecond)
	if err := d.refill(r); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	return nil
}

// setCut records that a machine is, or was until now, cut off from the store.
func (d *drainCase) setCut(g *gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut[g] = time.Now()
}

// inTouch reports whether a machine has not been cut off for contact-ms.
func (d *drainCase) inTouch(g *gateway) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.cut[g]
	return !ok || time.Since(at) > cutTime+contact
}

// read sends reads to a machine. Those that it takes while it is not in touch are not judged.
func (d *drainCase) read(g *gateway, stop <-chan struct{}) {
	c := &consumer{address: g.front()}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		q := newRequest(http.MethodGet, "/read/balance", time.Second)
		if d.inTouch(g) {
			d.mu.Lock()
			d.taken[q.id] = g
			d.mu.Unlock()
		}
		o := c.do(q)
		d.env.record("to %s: %s", g.name, o.text())
	}
}

// judge counts the requests that reached a target too late.
func (d *drainCase) judge(r *runs) verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.record(d.env)
	late, latest := 0, time.Duration(0)
	for id, g := range d.taken {
		for _, x := range r.of(id) {
			at, ok := d.left[x.target]
			if !ok || x.began.Sub(at) <= drainTime {
				continue
			}
			late++
			latest = max(latest, x.began.Sub(at))
			d.env.record("request %s, taken by %s, reached %s %d ms after the ack that it has left", id, g.name, x.target,
				x.began.Sub(at).Milliseconds())
		}
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("DRAIN: %d of %d requests taken by machines in touch reached a target later than %s after the ack "+
			"that it had left, the latest %d ms after it; %d targets left", late, len(d.taken), drainTime,
			latest.Milliseconds(), len(d.left)),
	}
}
