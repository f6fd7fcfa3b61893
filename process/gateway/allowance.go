package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/allowance"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/team"
)

// takeToken takes a token of the allowance of a team, which may be nil. If there is none, it returns the answer with
// which the request is refused. It is called after the request has been read: the bound on the allowance does not cover
// the time between the token and the request's arrival at a target, which has to be short.
func (h *handler) takeToken(ctx context.Context, m *team.Team, late bool) (allowance.Granted, call.Answer, bool) {
	if m == nil {
		return allowance.Granted{}, call.Answer{}, false
	}
	switch d := h.limiter.Take(ctx, m, late).(type) {
	case allowance.Granted:
		return d, call.Answer{}, false
	case allowance.Exceeded:
		return allowance.Granted{}, limited(outcome.OverAllowance, http.StatusTooManyRequests, d.RetryAfter), true
	case allowance.Unavailable:
		return allowance.Granted{}, limited(outcome.NoKeeper, http.StatusServiceUnavailable, d.RetryAfter), true
	default:
		return allowance.Granted{}, limited(outcome.NoKeeper, http.StatusServiceUnavailable, startupRetryAfter), true
	}
}

func limited(r outcome.Reason, status int, after time.Duration) call.Answer {
	a := call.Rejected(r, status)
	a.RetryAfter = after
	return a
}

// limitOf returns the limit of a team in the configuration in force.
func (g *Gateway) limitOf(n ident.Team) (allowance.Limit, bool) {
	t := g.catalog.Get().Table
	if t == nil || t.Teams == nil {
		return allowance.Limit{}, false
	}
	m, ok := t.Teams.Named(n)
	if !ok {
		return allowance.Limit{}, false
	}
	return allowance.Limit{Rate: m.Rate, Burst: m.Burst}, true
}

// allowanceDesc describes the counter of events of the allowances.
var allowanceDesc = prometheus.NewDesc("amaranthramp_gateway_allowance_events_total",
	"Events of the allowances of teams at this VM: asks for tokens and their answers, tokens, and requests that waited "+
		"for a token or were refused.", []string{"event"}, nil)

// allowanceCollector exports the counts of the allowances.
type allowanceCollector struct {
	limiter *allowance.Limiter
}

// Describe sends the description of the counter.
func (c *allowanceCollector) Describe(d chan<- *prometheus.Desc) {
	d <- allowanceDesc
}

// Collect sends the counts.
func (c *allowanceCollector) Collect(m chan<- prometheus.Metric) {
	s := c.limiter.Stats()
	for _, v := range []struct {
		event string
		count uint64
	}{
		{"ask", s.Asks},
		{"grant", s.Granted},
		{"ask-refused", s.Empty},
		{"ask-misdirected", s.Misdirected},
		{"ask-unanswered", s.Unanswered},
		{"token-granted", s.Tokens},
		{"token-used", s.Used},
		{"token-returned", s.Returned},
		{"token-expired", s.Expired},
		{"request-waited", s.Waits},
		{"request-exceeded", s.Exceeded},
		{"request-unavailable", s.Unavailable},
	} {
		m <- prometheus.MustNewConstMetric(allowanceDesc, prometheus.CounterValue, float64(v.count), v.event)
	}
}
