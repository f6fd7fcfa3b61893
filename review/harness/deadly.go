package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// machinesPerRound is the number of machines in service, two in each zone.
	machinesPerRound = 6
	deadlyRequests   = 3
	deadlyEvery      = 835 * time.Millisecond
	deadlyFor        = 20 * time.Second
	downTime         = 2 * time.Second
	deadlyTargets    = 18
	contact          = 3 * time.Second
	excusedDeadly    = 3
)

// crashingTarget is a target that crashes when it begins to run a deadly request, and is back after downTime under
// another id.
type crashingTarget struct {
	env  *env
	name string
	zone string
	runs *runs
	log  *crashLog

	mu     sync.Mutex
	starts int
}

// crashLog records when each deadly request crashed a target.
type crashLog struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (l *crashLog) add(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at[path] = append(l.at[path], time.Now())
}

// runDeadly checks BUDGET: a request that crashes each target that runs it may reach targets in no more than three
// retries later than contact-ms after the third crash. Before that, all machines are replaced one after the other.
func runDeadly(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	if err := e.configure(1, defaultLimits(), routeSpec{
		Name: "post", PathPrefix: "/post/", Kind: "unsafe", TimeoutMs: 1200, AimMs: 400, Priority: 1,
		Service: "remit-intake", MaxAttempts: 2,
	}); err != nil {
		return verdict{}, err
	}
	log := &crashLog{at: map[string][]time.Time{}}
	for i := range deadlyTargets {
		d := &crashingTarget{env: e, name: fmt.Sprintf("i-%02d", i), zone: zones[i%len(zones)], runs: r, log: log}
		if err := d.start(); err != nil {
			return verdict{}, err
		}
	}
	if err := e.startMachines(0, true); err != nil {
		return verdict{}, err
	}
	if trouble {
		if err := e.replaceMachines(1); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(contact + time.Second)
	e.sendDeadly()
	return log.judge(e), nil
}

// startMachines starts the machines of one round, which have names and addresses of their own.
func (e *env) startMachines(round int, first bool) error {
	from := len(e.gateways)
	for i := range machinesPerRound {
		number := 1 + i/len(zones) + round*machinesPerRound/len(zones)
		if err := e.addGateway(zones[i%len(zones)], number, first); err != nil {
			return err
		}
	}
	return e.awaitGateways(e.gateways[from:])
}

// replaceMachines adds the machines of a round, and then removes those of the round before for good.
func (e *env) replaceMachines(round int) error {
	old := e.gateways[len(e.gateways)-machinesPerRound:]
	if err := e.startMachines(round, false); err != nil {
		return err
	}
	for _, g := range old {
		e.record("machine %s gets SIGTERM and is removed for good", g.name)
		g.signal(syscall.SIGTERM)
	}
	for _, g := range old {
		g.awaitEnd()
	}
	return nil
}

// sendDeadly sends one deadly request after the other, each again and again, to the machines in turn.
func (e *env) sendDeadly() {
	l := e.gateways[len(e.gateways)-machinesPerRound:]
	for n := range deadlyRequests {
		e.record("the deadly request %d begins to come", n)
		var w sync.WaitGroup
		for i := range int(deadlyFor / deadlyEvery) {
			g := l[(n+i)%len(l)]
			w.Go(func() { e.sendDeadlyTo(g, n) })
			time.Sleep(deadlyEvery)
		}
		w.Wait()
	}
}

func (e *env) sendDeadlyTo(g *gateway, n int) {
	c := &consumer{address: g.front()}
	defer c.close()
	q := newRequest(http.MethodPost, fmt.Sprintf("/post/deadly-%d", n), 1200*time.Millisecond)
	q.body = []byte("deadly")
	o := c.do(q)
	e.record("to %s: %s", g.name, o.text())
}

// judge counts the arrivals of each deadly request that came too late.
func (l *crashLog) judge(e *env) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, text := 0, ""
	for n := range deadlyRequests {
		path := fmt.Sprintf("/post/deadly-%d", n)
		late := 0
		for i, at := range l.at[path] {
			if i > 2 && at.Sub(l.at[path][2]) > contact {
				late++
			}
			e.record("%s: crash %d at %.3f s", path, i+1, at.Sub(e.began).Seconds())
		}
		most = max(most, late)
		text += fmt.Sprintf("; %s crashed %d, %d late", path, len(l.at[path]), late)
	}
	return verdict{
		broken: most > excusedDeadly,
		text: fmt.Sprintf("BUDGET: a request that crashes targets reached %d of them later than %s after the third crash "+
			"(3 are excused)%s", most, contact, text),
	}
}

// start starts a lifetime of the target.
func (d *crashingTarget) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	t := &target{
		env: d.env, id: fmt.Sprintf("%s-%d", d.name, d.starts), service: "remit-intake", zone: d.zone, version: "v1",
		address: l.Addr().String(), slots: 3, work: 100 * time.Millisecond, runs: d.runs, inUse: make(chan struct{}, 3),
	}
	var once sync.Once
	t.server = &http.Server{IdleTimeout: 10 * time.Second}
	t.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/post/deadly") || r.Header.Get(headerExpected) != t.id {
			t.ServeHTTP(w, r)
			return
		}
		once.Do(func() { d.crash(t, r) })
		panic(http.ErrAbortHandler)
	})
	go func() { _ = t.server.Serve(l) }()
	t.register("ready")
	return nil
}

// crash closes the listener and all connections, and starts the target again after downTime. A target that crashes
// sends nothing; its entry is replaced when it is back.
func (d *crashingTarget) crash(t *target, r *http.Request) {
	d.log.add(r.URL.Path)
	d.env.record("%s begins to run %s, id %s, and crashes", t.id, r.URL.Path, r.Header.Get(headerID))
	go func() { _ = t.server.Close() }()
	time.AfterFunc(downTime, func() {
		d.env.store.Delete("servers", t.id)
		if err := d.start(); err != nil {
			d.env.record("could not start %s again: %v", d.name, err)
		}
	})
}
