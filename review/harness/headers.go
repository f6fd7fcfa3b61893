package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	keptConnections = 24
	// longHeader is within the limit of the second version and not within that of the first.
	longHeader        = 32 << 10
	raisedHeaderBytes = 65536
)

// runHeaderLimit checks CONFIG and DENIED: a version raises max-header-bytes, and longer than config-apply-ms after its
// ack consumers use it on connections that they have kept. Without the disruption the limit is high from the start.
func runHeaderLimit(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	o := routeSpec{
		Name: "read", PathPrefix: "/read/", Kind: "safe", TimeoutMs: 1000, AimMs: 300, Priority: 2,
		Service: "member-ledger", MaxAttempts: 2,
	}
	raised := defaultLimits()
	raised.HeaderBytes = raisedHeaderBytes
	first := raised
	if trouble {
		first = defaultLimits()
	}
	if err := e.configure(1, first, o); err != nil {
		return verdict{}, err
	}
	for i := range 6 {
		_, err := e.newTarget(fmt.Sprintf("i-%04d", i), "member-ledger", zones[i%3], 6, 50*time.Millisecond, r)
		if err != nil {
			return verdict{}, err
		}
	}
	if err := e.startGateways(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	return e.useRaisedLimit(raised, o)
}

// useRaisedLimit opens connections, raises the limit and uses it on the same connections.
func (e *env) useRaisedLimit(raised limitSpec, o routeSpec) (verdict, error) {
	var mu sync.Mutex
	denied, total, failed := 0, 0, 0
	acked := make(chan time.Time)
	var w sync.WaitGroup
	for i := range keptConnections {
		w.Go(func() {
			c := &consumer{address: e.gateways[i%gatewayCount].front()}
			defer c.close()
			before := c.do(newRequest(http.MethodGet, "/read/balance", time.Second))
			at := <-acked
			n := newRequest(http.MethodGet, "/read/balance", time.Second)
			n.header = padding(longHeader)
			a := c.do(n)
			mu.Lock()
			defer mu.Unlock()
			if before.status != http.StatusOK {
				failed++
			}
			total++
			if a.status >= 400 && a.status < 500 && a.seal == "" {
				denied++
			}
			e.record("kept connection %d: first %s; %d ms after the ack, with %d bytes of headers: %s",
				i, before.text(), a.sent.Sub(at).Milliseconds(), len(n.header), a.text())
		})
	}
	time.Sleep(time.Second)
	if err := e.configure(2, raised, o); err != nil {
		return verdict{}, err
	}
	at := time.Now()
	time.Sleep(configApply + 2*time.Second)
	for range keptConnections {
		acked <- at
	}
	w.Wait()
	if failed > 0 {
		return verdict{}, fmt.Errorf("%d of the first requests failed", failed)
	}
	return verdict{
		broken: denied > 5+total/500,
		text: fmt.Sprintf("DENIED: %d of %d proper requests, sent over %s after the ack of the version that allows them, "+
			"got a 4xx of the gateway's own (5 are excused)", denied, total, configApply+2*time.Second),
	}, nil
}
