package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// The load of the case memory: consumers with kept connections, and a few that send a long body at the same time.
const (
	steadyConsumers = 12
	uploadCount     = 4
	uploadBytes     = 48 << 20
	smallBytes      = 60_000
	// excusedLosses is how many requests of kept connections the rule LOST excuses.
	excusedLosses = 3
)

// runMemory checks LOST: while a few consumers send bodies within max-body-bytes, the platform may not have to kill the
// gateway for its memory, which cuts all requests in flight.
func runMemory(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	if err := e.startServices(r); err != nil {
		return verdict{}, err
	}
	g := e.gateways[0]
	stop := make(chan struct{})
	var w sync.WaitGroup
	w.Go(func() { e.limitMemory(g, stop) })
	var mu sync.Mutex
	var results []result
	for range steadyConsumers {
		w.Go(func() {
			l := e.steady(g.front(), stop)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, l...)
		})
	}
	time.Sleep(5 * time.Second)
	size := smallBytes
	if trouble {
		size = uploadBytes
	}
	e.upload(g.front(), size)
	time.Sleep(4 * time.Second)
	close(stop)
	w.Wait()
	return e.countLosses(g, r, results), nil
}

// startServices starts two services and three gateways.
func (e *env) startServices(r *runs) error {
	if err := e.configure(1, defaultLimits(),
		routeSpec{Name: "pulp-order", PathPrefix: "/order/", Kind: "unsafe", TimeoutMs: 2000, AimMs: 500, Priority: 1,
			Service: "bestell", MaxAttempts: 2},
		routeSpec{Name: "cert-upload", PathPrefix: "/certificate/", Kind: "upload", TimeoutMs: 4000, AimMs: 600, Priority: 2,
			Service: "zertifikat", MaxAttempts: 2}); err != nil {
		return err
	}
	for i := range 6 {
		service := "bestell"
		if i%2 == 1 {
			service = "zertifikat"
		}
		if _, err := e.newTarget(fmt.Sprintf("i-%04d", i), service, zones[i/2], 6, 210*time.Millisecond, r); err != nil {
			return err
		}
	}
	return e.startGateways()
}

// steady sends requests that must not repeat on one kept connection until stop is closed.
func (e *env) steady(address string, stop <-chan struct{}) []result {
	c := &consumer{address: address}
	defer c.close()
	var l []result
	for {
		select {
		case <-stop:
			return l
		default:
		}
		n := newRequest(http.MethodPost, "/order/pulp", 4*time.Second)
		n.body = []byte("tonnes=1")
		o := c.do(n)
		l = append(l, o)
		e.record("%s", o.text())
		if o.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// upload sends bodies of one size at the same time, each on a connection of its own.
func (e *env) upload(address string, size int) {
	var w sync.WaitGroup
	for range uploadCount {
		w.Go(func() {
			c := &consumer{address: address}
			defer c.close()
			n := newRequest(http.MethodPost, "/certificate/batch", 4*time.Second)
			n.body = make([]byte, size)
			e.record("consumer sends a body of %d bytes, id %s", size, n.id)
			o := c.do(n)
			e.record("upload %s", o.text())
		})
	}
	w.Wait()
}

// limitMemory kills the gateway when it exceeds its memory and starts it again, as the platform does.
func (e *env) limitMemory(g *gateway, stop <-chan struct{}) {
	most := 0
	for {
		select {
		case <-stop:
			e.record("most memory of %s: %d MB of %d", g.name, most, memoryMB)
			return
		case <-time.After(5 * time.Millisecond):
		}
		n := g.residentMB()
		most = max(most, n)
		if n <= memoryMB {
			continue
		}
		e.record("%s uses %d MB, more than memory-mb = %d: the platform kills it and starts it again", g.name, n, memoryMB)
		g.kill()
		time.Sleep(500 * time.Millisecond)
		if err := g.start(); err != nil {
			e.record("could not start %s: %v", g.name, err)
			return
		}
	}
}

// countLosses counts the requests that a target ran or was sent, and whose connection ended without an answer.
func (e *env) countLosses(g *gateway, r *runs, l []result) verdict {
	r.record(e)
	lost, answered := 0, 0
	for i := range l {
		o := &l[i]
		n := r.of(o.id)
		if o.status != 0 {
			answered++
			continue
		}
		if len(n) > 0 && errors.Is(o.err, io.ErrUnexpectedEOF) || len(n) > 0 && isClosed(o.err) {
			lost++
			e.record("lost, %d runs: %s", len(n), o.text())
		}
	}
	return verdict{
		broken: lost > excusedLosses,
		text: fmt.Sprintf("LOST: %d of %d requests on kept connections were passed on to a sound target and got no answer "+
			"when their connection ended (3 are excused); starts of %s: %d", lost, lost+answered, g.name, g.starts),
	}
}

// isClosed reports whether the connection was closed or reset by the gateway.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || isReset(err)
}
