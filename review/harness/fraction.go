package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// applyTime is config-apply-ms.
	applyTime    = 2 * time.Second
	fractionLeft = 1200 * time.Millisecond
	fractionTime = 15 * time.Second
)

// runFraction checks CONFIG: a version sends half a percent of a route's requests to one service and moves the others
// to a second one. Its weights are 99.5 and 0.5.
func runFraction(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	first := routeSpec{
		Name: "post", PathPrefix: "/post/", Kind: "unsafe", TimeoutMs: 1200, AimMs: 400, Priority: 1,
		Service: "remit-intake", MaxAttempts: 2,
	}
	other := first
	other.Name, other.PathPrefix, other.Service = "statement", "/statement/", "statement-desk"
	third := first
	third.Name, third.PathPrefix, third.Service = "balance", "/balance/", "member-ledger"
	if err := e.configure(1, defaultLimits(), first, other, third); err != nil {
		return verdict{}, err
	}
	for i, s := range []string{"remit-intake", "statement-desk", "member-ledger"} {
		for k := range 4 {
			if _, err := e.newTarget(fmt.Sprintf("i-%d%03d", i, k), s, zones[k%3], 3, 50*time.Millisecond, r); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := e.startGateways(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	results := make(chan []result, 1)
	go func() { results <- e.postAll(time.Now().Add(fractionTime)) }()
	time.Sleep(3 * time.Second)
	moved := first
	moved.Service = ""
	moved.Split = []splitSpec{{"statement-desk", 99.5}, {"member-ledger", 0.5}}
	if !trouble {
		moved.Split = []splitSpec{{"statement-desk", 199}, {"member-ledger", 1}}
	}
	if err := e.configure(2, defaultLimits(), moved, other, third, first.under("/older/")); err != nil {
		return verdict{}, err
	}
	ack := time.Now()
	return e.countOlder(r, <-results, ack), nil
}

// postAll posts on six kept connections until the given time.
func (e *env) postAll(end time.Time) []result {
	var mu sync.Mutex
	var l []result
	var w sync.WaitGroup
	for i := range 2 * gatewayCount {
		w.Go(func() {
			c := &consumer{address: e.gateways[i%gatewayCount].front()}
			defer c.close()
			for time.Now().Before(end) {
				n := newRequest(http.MethodPost, "/post/remittance", fractionLeft)
				n.body = []byte("amount=1")
				o := c.do(n)
				mu.Lock()
				l = append(l, o)
				mu.Unlock()
				e.record("%s", o.text())
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	w.Wait()
	return l
}

// countOlder counts the requests that were run by the service of the older version.
func (e *env) countOlder(r *runs, l []result, ack time.Time) verdict {
	old, late := 0, 0
	for i := range l {
		if l[i].sent.Before(ack.Add(applyTime)) {
			continue
		}
		late++
		for _, x := range r.of(l[i].id) {
			if strings.HasPrefix(x.target, "i-0") {
				old++
				e.record("%s, sent %d ms after the ack, ran at %s of the old service", l[i].text(),
					l[i].sent.Sub(ack).Milliseconds(), x.target)
			}
		}
	}
	return verdict{
		broken: old > 0,
		text: fmt.Sprintf("CONFIG: of %d requests sent later than 2 s after the ack, %d were run by the service of the "+
			"older version alone", late, old),
	}
}
