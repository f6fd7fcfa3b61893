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

// callerTime is how long a caller waits for its answer.
const callerTime = 2 * time.Second

// answer is what a caller got; status zero means that the connection ended.
type answer struct {
	status int
	id     string
	body   string
	sent   time.Time
}

// call sends requests on connections that it keeps as long as it can, and checks each answer.
func (s *soak) call(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(s.options.Seed, uint64(1000+i)))
	c := &http.Client{Timeout: callerTime + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
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
		s.check(v, path, id, &a)
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

func (s *soak) send(ctx context.Context, c *http.Client, v *vm, method, path, id string) answer {
	a := answer{sent: time.Now()}
	u := "http://" + string(v.settings.CallerAddress) + path
	q, err := http.NewRequestWithContext(ctx, method, u, strings.NewReader(""))
	if err != nil {
		return a
	}
	q.Host = host
	// Without it the client would send a request again by itself.
	q.GetBody = nil
	q.Header.Set(platform.Headers.RequestID, id)
	q.Header.Set(platform.Headers.TimeRemaining, fmt.Sprint(callerTime.Milliseconds()))
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

// check holds one answer to what callers and targets are promised.
func (s *soak) check(v *vm, path, id string, a *answer) {
	runs := s.record.Runs(id)
	s.mu.Lock()
	s.requests++
	if a.status == http.StatusOK {
		s.answered++
	}
	s.mu.Unlock()
	if strings.HasPrefix(path, "/claim/") && len(runs) > 1 {
		s.violation(fmt.Sprintf("claim %s ran %d times", id, len(runs)))
	}
	if len(runs) > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
		s.violation(fmt.Sprintf("request %s was refused with %d and ran at %s", id, a.status, runs[0].Target))
	}
	if a.status == http.StatusOK && (a.id != id || a.body != id+" 0") {
		s.violation(fmt.Sprintf("request %s got the answer %q of %s", id, a.body, a.id))
	}
	if a.status == http.StatusNotFound {
		s.violation(fmt.Sprintf("request %s to %s got 404", id, path))
	}
	s.checkStop(v, id, a, len(runs))
	for _, r := range runs {
		s.checkRun(v, path, id, a, r.Target, r.At)
	}
}

// checkStop holds a planned stop to cutting nothing that runs.
func (s *soak) checkStop(v *vm, id string, a *answer, runs int) {
	v.mu.Lock()
	stopping, harmed := v.stopping, v.harmed
	v.mu.Unlock()
	calm := a.sent.Sub(harmed) > contact
	if a.status == 0 && runs > 0 && !stopping.IsZero() && calm && time.Since(a.sent) < callerTime {
		s.violation(fmt.Sprintf("request %s was cut by the planned stop of %s", id, v.settings.Name))
	}
}

// checkRun holds the place of a run to the configuration and to the targets that leave, if VM and store were calm.
func (s *soak) checkRun(v *vm, path, id string, a *answer, target string, at time.Time) {
	v.mu.Lock()
	calm := a.sent.Sub(v.harmed) > contact
	v.mu.Unlock()
	s.mu.Lock()
	calm = calm && s.harms == 0 && a.sent.Sub(s.harmed) > contact
	left, leaving := s.left[target]
	service, moved, to := s.service[target], s.moved, s.movedTo
	s.mu.Unlock()
	if !calm {
		return
	}
	if leaving && at.Sub(left) > inForceWithin && a.sent.Sub(left) > 0 {
		s.violation(fmt.Sprintf("request %s ran at %s, %s after it began to leave", id, target, at.Sub(left)))
	}
	if strings.HasPrefix(path, "/move/") && a.sent.Sub(moved) > inForceWithin && service != to {
		s.violation(fmt.Sprintf("request %s ran at %s, %s after its route moved", id, service, a.sent.Sub(moved)))
	}
}
