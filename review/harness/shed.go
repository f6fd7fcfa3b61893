package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// failShare is the share of its requests that a failing target fails.
const failShare = 0.4

// runFailingTargets checks REFUSED: one of eight targets fails a part of its requests after it has run them, while its
// health check is good. It answers them with 503 and without the header that says that they have not run.
func runFailingTargets(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	if err := e.configure(1, defaultLimits(), routeSpec{
		Name: "post", PathPrefix: "/post/", Kind: "unsafe", TimeoutMs: 1200, AimMs: 400, Priority: 1,
		Service: "remit-intake", MaxAttempts: 2,
	}); err != nil {
		return verdict{}, err
	}
	for i := range 8 {
		t, err := e.newTarget(fmt.Sprintf("i-%04d", i), "remit-intake", zones[i%3], 3, 100*time.Millisecond, r)
		if err != nil {
			return verdict{}, err
		}
		if i == 0 && trouble {
			t.answer = failSome
		}
	}
	if err := e.startGateways(); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var results []result
	var w sync.WaitGroup
	stop := make(chan struct{})
	for i := range 9 {
		w.Go(func() {
			l := e.post(e.gateways[i%gatewayCount].front(), stop)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, l...)
		})
	}
	time.Sleep(15 * time.Second)
	close(stop)
	w.Wait()
	return e.countFalseRefusals(r, results), nil
}

// post sends remittances on one kept connection until stop is closed.
func (e *env) post(address string, stop <-chan struct{}) []result {
	c := &consumer{address: address}
	defer c.close()
	var l []result
	for {
		select {
		case <-stop:
			return l
		default:
		}
		n := newRequest(http.MethodPost, "/post/remittance", 1200*time.Millisecond)
		n.body = []byte("amount=1")
		o := c.do(n)
		l = append(l, o)
		e.record("%s", o.text())
	}
}

// failSome fails a share of the requests.
func failSome(w http.ResponseWriter, _ *http.Request) bool {
	if rand.Float64() >= failShare {
		return false
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte("ledger is not available"))
	return true
}

// countFalseRefusals counts the requests that have run and were answered as if they had not.
func (e *env) countFalseRefusals(r *runs, l []result) verdict {
	r.record(e)
	wrong := 0
	for i := range l {
		o := &l[i]
		n := r.of(o.id)
		refused := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests ||
			o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest
		if refused && len(n) > 0 {
			wrong++
			e.record("%s; it ran at %s", o.text(), n[0].target)
		}
	}
	return verdict{
		broken: wrong > 0,
		text: fmt.Sprintf("REFUSED: %d of %d requests that must not repeat were answered 429, 503, 408 or 421 and had run",
			wrong, len(l)),
	}
}
