package access

import (
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/credential"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/route"
	"github.com/amaranthramp/amaranthramp/version/team"
)

// retryDelay is the retry delay of an Unconfirmed request. The copy of a VM with a path to the store, or to a VM that
// reads it, is confirmed about once a second.
const retryDelay = 500 * time.Millisecond

// Gate applies a policy on one VM. It is safe for concurrent use.
type Gate struct {
	policy Policy
	// confirmedAt returns when this VM's copy of the store was last known to be current; zero if it never was.
	confirmedAt func() clock.Instant
	clock       clock.Clock
}

// NewGate returns a gate; confirmedAt returns when this VM's copy of the store was last known to be current, or zero if
// it never was.
func NewGate(p Policy, confirmedAt func() clock.Instant, c clock.Clock) *Gate {
	return &Gate{policy: p, confirmedAt: confirmedAt, clock: c}
}

// Decide decides on a request that arrives; d is nil if the configuration has no teams.
func (g *Gate) Decide(d *team.Directory, public bool, c credential.Credential) Decision {
	if d == nil {
		return Admitted{}
	}
	return g.policy.Decide(d, public, c, g.copy())
}

// Recheck decides again on a request with the given key, or without one if it is empty, that was admitted before.
func (g *Gate) Recheck(d *team.Directory, public bool, key string) Decision {
	if d == nil {
		return Admitted{}
	}
	return g.policy.Recheck(d, public, key, g.copy())
}

func (g *Gate) copy() Copy {
	at := g.confirmedAt()
	if at == 0 {
		return Copy{}
	}
	return Copy{Confirmed: true, Age: g.clock.Now().Sub(at)}
}

// Refusal returns the answer to a request that was refused for the given reason; ok is false if the reason is none of
// those with which this package refuses requests.
func Refusal(r outcome.Reason) (a call.Answer, ok bool) {
	switch r {
	case outcome.Unauthorized:
		a = call.Rejected(r, http.StatusUnauthorized)
		a.Header.Set("WWW-Authenticate", "Token")
	case outcome.Unconfirmed:
		a = call.Rejected(r, http.StatusServiceUnavailable)
		a.RetryAfter = retryDelay
	default:
		return call.Answer{}, false
	}
	return a, true
}

// Priority returns the priority of a request of a team, which may be nil, on a route.
func Priority(t *team.Team, o *route.Route) ident.Priority {
	if t != nil && t.Ranked {
		return t.Priority
	}
	return o.Priority
}
