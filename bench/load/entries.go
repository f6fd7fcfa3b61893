package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Cut is the outcome, used by the bench only, of a request that got no complete answer.
const Cut outcome.Outcome = "cut"

// Answer is the answer that a caller got.
type Answer struct {
	// ID is the request ID of the last attempt.
	ID      ident.Request
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Load is the load header of the answer, in which an upstream reports its own load.
	Load   string
	Body   string
	Status int
}

// Sender sends a request and waits for its answer.
type Sender interface {
	Send(ctx context.Context, a *Arrival) Answer
}

// extraWait is how much longer than the deadline of its request a caller waits for the answer.
const extraWait = time.Second

// readyPeriod is the interval at which the simulated platform balancer checks the readiness of the entry VMs.
const readyPeriod = 100 * time.Millisecond

// Endpoint holds the URLs of an entry VM that the simulated platform balancer uses.
type Endpoint struct {
	CallerURL string
	ReadyURL  string
}

// Entries simulates the callers and the platform's balancer in front of the entry VMs. The balancer skips VMs that are
// not ready and tries the next one when a connection is refused. Entries is safe for concurrent use.
type Entries struct {
	endpoints []Endpoint
	ready     []atomic.Bool
	client    *Client
}

// NewEntries returns a sender to the given entry VMs, which all count as ready until Watch has checked them.
func NewEntries(l []Endpoint) *Entries {
	e := &Entries{endpoints: l, ready: make([]atomic.Bool, len(l)), client: NewClient()}
	for i := range e.ready {
		e.ready[i].Store(true)
	}
	return e
}

// Watch checks the readiness of the entry VMs periodically until the context ends.
func (e *Entries) Watch(ctx context.Context) {
	t := time.NewTicker(readyPeriod)
	defer t.Stop()
	for {
		for i := range e.endpoints {
			go e.probe(ctx, i)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// probe checks the readiness of one entry VM.
func (e *Entries) probe(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, extraWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.endpoints[i].ReadyURL, http.NoBody)
	if err != nil {
		return
	}
	p, err := e.client.http.Do(r)
	if err != nil {
		e.ready[i].Store(false)
		return
	}
	_, _ = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	e.ready[i].Store(p.StatusCode == http.StatusOK)
}

// Send sends the request of an arrival. If it has an idempotency key and its outcome is unknown, it is sent again with
// a new request ID, up to maxSends times in all.
func (e *Entries) Send(ctx context.Context, a *Arrival) Answer {
	n := *a
	r := e.sendOnce(ctx, &n)
	for k := 2; k <= maxSends && a.Key != "" && unknown(r.Outcome) && sleepUntil(ctx, time.Now().Add(resendPause)); k++ {
		n.ID = resendID(a.ID, k)
		n.VM = a.VM + k - 1
		r = e.sendOnce(ctx, &n)
	}
	r.ID = n.ID
	return r
}

// How often a caller sends a request with an unknown outcome, and its pause before each further attempt.
const (
	maxSends    = 3
	resendPause = 200 * time.Millisecond
)

// unknown reports whether the caller can't know if the request ran.
func unknown(o outcome.Outcome) bool {
	return o == outcome.Unknown || o == Cut
}

// resendID returns the request ID of the k-th attempt, counted from 1.
func resendID(id ident.Request, k int) ident.Request {
	if k == 1 {
		return id
	}
	return ident.Request(fmt.Sprintf("%s~%d", id, k))
}

// sendOnce tries the entry VMs in turn, starting with the one of the arrival, until one accepts the connection.
func (e *Entries) sendOnce(ctx context.Context, a *Arrival) Answer {
	n := len(e.endpoints)
	for i := range n {
		v := (a.VM + i) % n
		if !e.ready[v].Load() && i < n-1 {
			continue
		}
		r, err := e.client.Do(ctx, e.endpoints[v].CallerURL, a, 0)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return r
		}
	}
	return Answer{Outcome: outcome.NotRun, Reason: outcome.Unreachable}
}
