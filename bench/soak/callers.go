package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/platform"
)

const host = "soak.example"

// callerTimeout is how long a caller waits for its answer.
const callerTimeout = 2 * time.Second

// brokenOffLimit is the time from which on a VM that stops may answer in place of a target that is sound: the shortest
// time limit of a route.
const brokenOffLimit = 1200 * time.Millisecond

// answer is the answer to one request, or, with status 0, the failure to get one.
type answer struct {
	status int
	// id is the request ID that the answer carries.
	id   string
	body string
	// want is the body of a complete answer of a target.
	want string
	// sentAt is when the request was sent.
	sentAt time.Time
}

// runCaller sends requests to random VMs over keep-alive connections and checks each answer, until the context ends.
func (s *soak) runCaller(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(s.options.Seed, uint64(1000+i)))
	c := &http.Client{Timeout: callerTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		v := s.anyVM(r)
		id := fmt.Sprintf("c%d-%d", i, n)
		method, path := "GET", "/read/x"
		switch r.IntN(3) {
		case 0:
			method, path = "POST", "/claim/x"
		case 1:
			path = "/move/x"
		}
		a := s.send(ctx, c, v, method, path, id)
		if ctx.Err() != nil {
			return
		}
		s.checkAnswer(v, path, id, &a)
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

// send sends one request to a VM and reads the whole answer.
func (s *soak) send(ctx context.Context, c *http.Client, v *vm, method, path, id string) answer {
	a := answer{sentAt: time.Now(), want: id + " 0"}
	u := "http://" + string(v.settings.CallerAddress) + path
	q, err := http.NewRequestWithContext(ctx, method, u, strings.NewReader(""))
	if err != nil {
		return a
	}
	q.Host = host
	// With GetBody set, the client would retry requests on its own.
	q.GetBody = nil
	q.Header.Set(platform.Headers.RequestID, id)
	q.Header.Set(platform.Headers.TimeRemaining, fmt.Sprint(callerTimeout.Milliseconds()))
	p, err := c.Do(q)
	if err != nil {
		return a
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return a
	}
	a.status, a.id, a.body = p.StatusCode, p.Header.Get(platform.Headers.RequestID), string(b)
	return a
}

// checkAnswer checks one answer, and the runs of its request at targets, against the guarantees of the gateway: a
// request that is not idempotent runs at most once, a refused request does not run, and an answer belongs to its
// request.
func (s *soak) checkAnswer(v *vm, path, id string, a *answer) {
	runs := s.runLog.Runs(id)
	s.mu.Lock()
	s.requests++
	if a.status == http.StatusOK {
		s.answered++
	}
	s.mu.Unlock()
	if strings.HasPrefix(path, "/claim/") && len(runs) > 1 {
		s.addViolation(fmt.Sprintf("request %s, which is not idempotent, ran %d times", id, len(runs)))
	}
	if len(runs) > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
		s.addViolation(fmt.Sprintf("request %s was refused with %d and ran at %s", id, a.status, runs[0].Target))
	}
	if a.status == http.StatusOK && (a.id != id || a.body != a.want) {
		s.addViolation(fmt.Sprintf("request %s got the answer %q to request %q", id, a.body, a.id))
	}
	if a.status == http.StatusNotFound {
		s.addViolation(fmt.Sprintf("request %s to %s got 404", id, path))
	}
	if s.options.Planned && (a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout) &&
		len(runs) > 0 && time.Since(a.sentAt) < brokenOffLimit && !v.stopping().IsZero() {
		s.addViolation(fmt.Sprintf("request %s was broken off at %s and answered with %d by %s, %s", id, runs[0].Target,
			a.status, v.settings.Name, v.signalsBefore(time.Now())))
	}
	s.checkStop(v, id, a, len(runs))
	for _, r := range runs {
		s.checkTarget(v, path, id, a, r.Target, r.At)
	}
}

// checkStop checks that a graceful stop of the VM did not break the connection of a running request.
func (s *soak) checkStop(v *vm, id string, a *answer, runs int) {
	v.mu.Lock()
	stopStart, faultEnd := v.stopStart, v.faultEnd
	v.mu.Unlock()
	settled := a.sentAt.Sub(faultEnd) > settleTime
	if a.status == 0 && runs > 0 && !stopStart.IsZero() && settled && time.Since(a.sentAt) < callerTimeout {
		s.addViolation(fmt.Sprintf("request %s was interrupted by the graceful stop of %s", id, v.settings.Name))
	}
}

// checkTarget checks that a request did not run at a target that had been draining for longer than inForceLimit or was
// in a data centre that had been evacuated for longer than evacuationLimit, nor at the previous service of its route
// when the route had changed more than inForceLimit before the request was sent.
// Shortly after a fault of the VM or the store these bounds do not hold, so that nothing is checked.
func (s *soak) checkTarget(v *vm, path, id string, a *answer, target string, at time.Time) {
	v.mu.Lock()
	settled := a.sentAt.Sub(v.faultEnd) > settleTime
	v.mu.Unlock()
	s.mu.Lock()
	settled = settled && s.storeFaults == 0 && a.sentAt.Sub(s.storeFaultEnd) > settleTime
	drainStart, draining := s.drainStart[target]
	service, moved, want := s.serviceOf[target], s.routeMovedAt, s.routeService
	evacuated := s.evacuated != "" && s.dataCentreOf[target] == s.evacuated
	evacuatedAt := s.evacuatedAt
	s.mu.Unlock()
	if !settled {
		return
	}
	if draining && at.Sub(drainStart) > inForceLimit && a.sentAt.Sub(drainStart) > 0 {
		s.addViolation(fmt.Sprintf("request %s ran at %s, %s after it began to drain", id, target, at.Sub(drainStart)))
	}
	if evacuated && at.Sub(evacuatedAt) > evacuationLimit && a.sentAt.Sub(evacuatedAt) > 0 {
		s.addViolation(fmt.Sprintf("request %s ran at %s, %s after its data centre was evacuated", id, target,
			at.Sub(evacuatedAt)))
	}
	if strings.HasPrefix(path, "/move/") && a.sentAt.Sub(moved) > inForceLimit && service != want {
		s.addViolation(fmt.Sprintf("request %s ran at service %s, %s after its route moved to %s",
			id, service, a.sentAt.Sub(moved), want))
	}
}
