package candidate

import (
	"context"
)

// pools are the candidates of a request.
type pools struct {
	// preferred are tried first, without waiting; empty if all candidates are equal. Their limiter has the name
	// preferredName.
	preferred     []candidate
	preferredName string
	// last are those for which the request waits, with the limiter of the given name.
	last []candidate
	name string
}

// pools returns the candidates of a request. If only one of the parts into which the filter splits the targets has
// candidates, the request waits for these.
func (c *Chooser) pools(q *Query) pools {
	available := c.catalog.Get().Roster.Available(q.Service.Name)
	if q.Filter == nil {
		return pools{last: c.eligible(q, available)}
	}
	preferred, fallback := q.Filter.Split(available)
	p := pools{preferred: c.eligible(q, preferred), preferredName: q.Filter.Pool()}
	if len(fallback) > 0 {
		p.last = c.eligible(q, fallback)
	}
	if len(p.last) == 0 {
		p.last, p.name = p.preferred, p.preferredName
		p.preferred = nil
	}
	return p
}

// tryPreferred tries to choose one of the preferred candidates, and adds the probes to those in h. If it chooses none,
// it returns the name of the pool for which the request waits. It probes nothing while the preferred candidates are
// saturated and no further probe of them is due.
func (c *Chooser) tryPreferred(ctx context.Context, q *Query, h *Choice) (*probeResult, string) {
	p := c.pools(q)
	if len(p.preferred) == 0 {
		return nil, p.name
	}
	l := c.limiters.get(poolID{q.Service.Name, p.preferredName}, c.clock.Now(), c.probeRate)
	if !l.probeDue(c.clock.Now()) {
		return nil, p.name
	}
	q.room = queueRoom
	s, n := c.tryTargets(ctx, q, l, p.preferred)
	h.Probed += n.probed
	h.Answered = int(q.answered.Load())
	return s, p.name
}
