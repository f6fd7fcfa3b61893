package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	callerCount = 10
	// callerEvery is the pause between two requests of a caller whose requests are sound.
	callerEvery = 140 * time.Millisecond
	callerPath  = "/plan/status"
	callerLeft  = 1200 * time.Millisecond
	callerWork  = 60 * time.Millisecond
	callerSlots = 3
	// deadlyCaller is the tenant whose request crashes each target that begins to run it.
	deadlyCaller = "shop-0"
	headerTenant = "Amaranthramp-Tenant"
)

// runCallers checks BUDGET: all tenants read the same path, and the request of one of them crashes each target that
// begins to run it.
func runCallers(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	e.moreBounds = quotaBound
	for i := range callerCount {
		e.tenants = append(e.tenants, tenantSpec{Name: fmt.Sprintf("shop-%d", i), Keys: []string{fmt.Sprintf("key-%d", i)}})
	}
	if err := e.configure(1, defaultLimits(), routeSpec{
		Name: "plan-lookup", PathPrefix: "/plan/", Kind: "safe", TimeoutMs: 1200, AimMs: 400, Priority: 1,
		Service: "planvakt", MaxAttempts: 2,
	}); err != nil {
		return verdict{}, err
	}
	log := &crashLog{at: map[string][]time.Time{}}
	for i := range deadlyTargets {
		d := &crashingTarget{env: e, name: fmt.Sprintf("i-%02d", i), zone: zones[i%len(zones)], runs: r, log: log}
		if err := d.startFor(trouble); err != nil {
			return verdict{}, err
		}
	}
	if err := e.startGateways(); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact + time.Second)
	var w sync.WaitGroup
	end := time.Now().Add(deadlyFor)
	served, asked := make([]int, callerCount), make([]int, callerCount)
	for n, t := range e.tenants {
		w.Go(func() {
			every := callerEvery
			if t.Name == deadlyCaller {
				every = deadlyEvery
			}
			time.Sleep(time.Duration(n) * callerEvery / callerCount)
			for i := n; time.Now().Before(end); i++ {
				c := &consumer{address: e.gateways[i%gatewayCount].front()}
				q := newRequest(http.MethodGet, callerPath, callerLeft)
				q.header = "Authorization: Token " + t.Keys[0] + "\r\n"
				o := c.do(q)
				c.close()
				asked[n]++
				if o.status == http.StatusOK {
					served[n]++
				}
				e.record("%s: %s", t.Name, o.text())
				time.Sleep(every)
			}
		})
	}
	w.Wait()
	return log.judgeCaller(e, served, asked), nil
}

// judgeCaller counts the arrivals of the deadly request that came too late.
func (l *crashLog) judgeCaller(e *env, served, asked []int) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, late := l.at[callerPath], 0
	for i, c := range at {
		if i > 2 && c.Sub(at[2]) > contact {
			late++
		}
		e.record("crash %d at %.3f s", i+1, c.Sub(e.began).Seconds())
	}
	others, of := 0, 0
	for n := 1; n < callerCount; n++ {
		others += served[n]
		of += asked[n]
	}
	return verdict{
		broken: late > excusedDeadly,
		text: fmt.Sprintf("BUDGET: a request that crashes targets reached %d of them, %d later than %s after the third "+
			"crash (3 are excused); %d of %d requests were deadly; of %d others, %d were served",
			len(at), late, contact, asked[0], asked[0]+of, of, others),
	}
}

// startFor starts a lifetime of a target that crashes when it begins to run the request of the deadly caller.
func (d *crashingTarget) startFor(trouble bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	t := &target{
		env: d.env, id: fmt.Sprintf("%s-%d", d.name, d.starts), service: "planvakt", zone: d.zone, version: "v1",
		address: l.Addr().String(), slots: callerSlots, work: callerWork, runs: d.runs,
		inUse: make(chan struct{}, callerSlots),
	}
	var once sync.Once
	t.server = &http.Server{IdleTimeout: 10 * time.Second}
	t.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !trouble || r.Header.Get(headerTenant) != deadlyCaller || r.Header.Get(headerExpected) != t.id {
			t.ServeHTTP(w, r)
			return
		}
		once.Do(func() {
			d.log.add(r.URL.Path)
			d.env.record("%s begins to run %s of %s, id %s, and crashes", t.id, r.URL.Path, deadlyCaller, r.Header.Get(headerID))
			go func() { _ = t.server.Close() }()
			time.AfterFunc(downTime, func() {
				d.env.store.Delete("servers", t.id)
				if err := d.startFor(trouble); err != nil {
					d.env.record("could not start %s again: %v", d.name, err)
				}
			})
		})
		panic(http.ErrAbortHandler)
	})
	go func() { _ = t.server.Serve(l) }()
	t.register("ready")
	return nil
}
