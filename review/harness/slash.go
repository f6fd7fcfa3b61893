package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loseShare is the share of the requests that they have run of which half of the targets lose the answer, from
	// loseFrom after the first request for loseFor.
	loseShare = 0.4
	loseFrom  = 8 * time.Second
	loseFor   = 4 * time.Second
	// slashTime is how long the consumers send requests.
	slashTime = 16 * time.Second
	slashWork = 60 * time.Millisecond
	slashLeft = 1500 * time.Millisecond
)

// runEncodedSlash checks TWICE: consumers post to resources below the prefix of an unsafe route whose names hold an
// encoded slash, while targets lose some answers. With the slash decoded, the path begins with the longer prefix of a
// safe route.
func runEncodedSlash(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	unsafe := routeSpec{
		Name: "claim", PathPrefix: "/lots/", Kind: "unsafe", TimeoutMs: 1500, AimMs: 250, Priority: 1,
		Service: "allocdesk", MaxAttempts: 2,
	}
	safe := unsafe
	safe.Name, safe.PathPrefix, safe.Kind, safe.Priority = "lot-notes", "/lots/notes/", "safe", 2
	if err := e.configure(1, defaultLimits(), unsafe, safe); err != nil {
		return verdict{}, err
	}
	var losing atomic.Bool
	for i := range 8 {
		t, err := e.newTarget(fmt.Sprintf("i-%04d", i), "allocdesk", zones[i%3], 2, slashWork, r)
		if err != nil {
			return verdict{}, err
		}
		if trouble && i%2 == 0 {
			t.answer = func(w http.ResponseWriter, _ *http.Request) bool { return losing.Load() && loseSome(w) }
		}
	}
	if err := e.startGateways(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var results []result
	var w sync.WaitGroup
	end := time.Now().Add(slashTime)
	time.AfterFunc(loseFrom, func() { losing.Store(true) })
	time.AfterFunc(loseFrom+loseFor, func() { losing.Store(false) })
	for i := range 9 {
		w.Go(func() {
			l := e.claimLots(e.gateways[i%gatewayCount].front(), end)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, l...)
		})
	}
	w.Wait()
	time.Sleep(slashLeft)
	return e.countRepeated(r, results), nil
}

// claimLots posts on one kept connection. The names of the lots hold a slash, which the consumer encodes.
func (e *env) claimLots(address string, end time.Time) []result {
	c := &consumer{address: address}
	defer c.close()
	var l []result
	for n := 0; time.Now().Before(end); n++ {
		q := newRequest(http.MethodPost, fmt.Sprintf("/lots/notes%%2F%d", n), slashLeft)
		q.body = []byte("cases=1")
		o := c.do(q)
		l = append(l, o)
		e.record("%s", o.text())
		time.Sleep(150 * time.Millisecond)
	}
	return l
}

// loseSome loses the answer to a share of the requests: the target has run them and resets the connection.
func loseSome(w http.ResponseWriter) bool {
	if rand.Float64() >= loseShare {
		return false
	}
	h, ok := w.(http.Hijacker)
	if !ok {
		return false
	}
	c, _, err := h.Hijack()
	if err != nil {
		return false
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	return true
}

// countRepeated counts the requests of an unsafe route that have run more than once.
func (e *env) countRepeated(r *runs, l []result) verdict {
	r.record(e)
	repeated, ran := 0, 0
	for i := range l {
		n := r.of(l[i].id)
		if len(n) > 0 {
			ran++
		}
		if len(n) > 1 {
			repeated++
			e.record("%s; it ran %d times, at %s and at %s", l[i].text(), len(n), n[0].target, n[1].target)
		}
	}
	return verdict{
		broken: repeated > 0,
		text: fmt.Sprintf("TWICE: of %d requests of an unsafe route, %d ran, %d of them more than once", len(l), ran,
			repeated),
	}
}
