package candidate

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// recheckLimit probes a target that names a limit now and then, to learn whether it still does, since this VM sends it
// few requests or none.
func (c *Chooser) recheckLimit(u *upstream.Upstream, path string) {
	perTarget := recheckShare * c.probeRate / float64(c.fleet.Members())
	if !u.RecheckDue(max(time.Duration(float64(time.Second)/perTarget), minRecheckInterval)) {
		return
	}
	c.probeInBackground(u, path)
}

// probeInBackground probes a target only for what the probe shows of the target itself.
func (c *Chooser) probeInBackground(u *upstream.Upstream, path string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		_, n, err := u.Probe(ctx, path)
		if err != nil {
			c.log.Debug().Str("Target", string(u.Target.ID)).Err(err).Msg("could not probe target in the background")
		}
		u.Release(n)
	}()
}

// Recheck probes a target of a service at random in the background, within the limit on probes, to find out whether
// this VM reaches it.
func (c *Chooser) Recheck(s route.Service) {
	l := c.eligible(&Query{Service: s}, c.catalog.Get().Roster.Available(s.Name))
	n := c.limiters.get(poolID{service: s.Name}, c.clock.Now(), c.probeRate)
	if len(l) == 0 || n.take(c.clock.Now(), c.rate(l), 1) == 0 {
		return
	}
	c.probeInBackground(l[rand.IntN(len(l))].upstream, s.HealthPath)
}

// rate returns this VM's part of the probe rate of the candidates.
func (c *Chooser) rate(l []candidate) float64 {
	return c.probeRate * float64(len(l)) / float64(max(c.fleet.Members(), 1))
}

// probeCount is how many targets were probed, and how many of them answered in time.
type probeCount struct{ probed, answered int }

func (n *probeCount) add(o probeCount) {
	n.probed += o.probed
	n.answered += o.answered
}

// probeCandidates probes candidates, those of the data centre considered first before the others, and returns the best
// and the number of candidates probed. It releases the connections to the others.
func (c *Chooser) probeCandidates(ctx context.Context, q *Query, n *probeLimiter, l []candidate) (
	*probeResult, probeCount,
) {
	rate := c.rate(l)
	var local, remote []candidate
	for _, k := range l {
		if k.target.DataCentre == q.First {
			local = append(local, k)
		} else {
			remote = append(remote, k)
		}
	}
	if !n.lastFailed() {
		local, remote = c.subset(local, localSubsetSize), c.subset(remote, remoteSubsetSize)
	}
	localWanted, remoteWanted := localProbes, remoteProbes
	if n.saturated(c.clock.Now()) {
		localWanted, remoteWanted = saturatedProbes, saturatedProbes
	}
	best, probed := c.probeAll(ctx, q, sample(local, n.take(c.clock.Now(), rate, min(len(local), localWanted))))
	if best != nil && best.hasCapacity && best.score <= maxLocalScore {
		return best, probed
	}
	other, m := c.probeAll(ctx, q, sample(remote, n.take(c.clock.Now(), rate, min(len(remote), remoteWanted))))
	probed.add(m)
	if other != nil {
		other.score *= remotePenalty
	}
	b, rest := pickBetter(best, other)
	if rest != nil {
		rest.upstream.Release(rest.conn)
	}
	if q.ProbedOnly && probed.answered == 0 {
		return nil, probed
	}
	if b == nil && ctx.Err() == nil && (!n.withholds(c.clock.Now()) || probed.probed > 0) {
		// No target reported itself healthy in time. Choose one anyway, since a health check may fail where requests
		// would succeed. Do not do so if the last attempt failed or the service is saturated, and the probes were merely
		// withheld by the rate limit.
		b = c.chooseUnprobed(l)
	}
	return b, probed
}

// probeAnswer is the end of one probe: with an answer, and with a result if the target is healthy.
type probeAnswer struct {
	answered bool
	result   *probeResult
}

// probeAll probes the candidates concurrently and returns the best one whose report arrived within reportWait.
func (c *Chooser) probeAll(ctx context.Context, q *Query, l []candidate) (*probeResult, probeCount) {
	n := probeCount{probed: len(l)}
	if len(l) == 0 {
		return nil, n
	}
	results := make(chan probeAnswer)
	done := make(chan struct{})
	defer close(done)
	for _, k := range l {
		k.room = q.room
		go c.probe(q, k, results, done)
	}
	t := time.NewTimer(reportWait)
	defer t.Stop()
	var best *probeResult
	for range l {
		select {
		case a := <-results:
			if a.answered {
				n.answered++
			}
			var rest *probeResult
			if best, rest = pickBetter(best, a.result); rest != nil {
				rest.upstream.Release(rest.conn)
			}
			continue
		case <-t.C:
		case <-ctx.Done():
		}
		break
	}
	return best, n
}

// probe probes one candidate and passes the result to the choice if that is still waiting for it. The probe continues
// if the request is cancelled, because aborting it would close its connection.
func (c *Chooser) probe(q *Query, k candidate, results chan<- probeAnswer, done <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, n, err := k.upstream.Probe(ctx, q.Service.HealthPath)
	a := probeAnswer{answered: err == nil}
	switch {
	case err == nil:
		q.answered.Add(1)
		a.result = c.evaluate(k, r, n)
	case errors.Is(err, pool.ErrFull):
		q.full.Add(1)
	}
	select {
	case results <- a:
	case <-done:
		// Without a result, the connection has been given back already.
		if a.result != nil {
			k.upstream.Release(n)
		}
	}
}

// evaluate scores a candidate by its report. It returns nil if the target is unhealthy.
func (c *Chooser) evaluate(k candidate, r exchange.Report, n *pool.Conn) *probeResult {
	if !r.Healthy {
		k.upstream.Release(n)
		return nil
	}
	extra := k.upstream.SentSince(r.At)
	if !r.HasLoad {
		extra = k.upstream.InFlight()
	}
	s := &probeResult{candidate: k, report: r, conn: n, score: score(&r, extra), hasCapacity: hasRoom(&r, extra, k.room)}
	s.cold = r.WarmupLeft > 0 || k.cold
	if s.cold {
		s.score *= coldPenalty
	}
	return s
}
