package relay

import (
	"github.com/amaranthramp/amaranthramp/request/access"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// checkKey checks the API key of a request against the newest configuration, which may have removed it since the
// request arrived, and sets the team of the call. It returns the reason not to send the request, if any.
func (r *Relay) checkKey(s *requestState) outcome.Reason {
	c, t := s.call, r.catalog.Get().Table
	if t == nil || t.Teams == nil {
		c.Team = ""
		return ""
	}
	if !s.hasTeams {
		// The header may still hold a key, since it was read under a configuration without teams. The caller's next request
		// is read under the newest one.
		return outcome.Unconfirmed
	}
	switch d := r.gate.Recheck(t.Teams, r.isPublic(t, s), c.Credential).(type) {
	case access.Admitted:
		c.Team = ""
		if d.Team != nil {
			c.Team = d.Team.Name
		}
		return ""
	case access.Denied:
		return outcome.Unauthorized
	default:
		return outcome.Unconfirmed
	}
}

// isPublic reports whether the route of a request is public in a table. A route that the table no longer has is as it
// was when the request arrived.
func (r *Relay) isPublic(t *route.Table, s *requestState) bool {
	if o, ok := findRoute(t, s); ok {
		return o.Public
	}
	return s.route.Public
}

func findRoute(t *route.Table, s *requestState) (*route.Route, bool) {
	return t.Find(s.call.Host, s.call.RoutePath())
}

// acceptsKey checks the API key of a call that another VM has sent here, and sets the team and the priority of the
// call. The other VM knows the key, but this one may have an older configuration, or a newer one.
func (r *Relay) acceptsKey(t *route.Table, s *requestState) bool {
	c := s.call
	if t.Teams == nil && c.Credential != "" {
		r.logRefusedKey(s, "no teams in the configuration of this VM")
		return false
	}
	if reason := r.checkKey(s); reason != "" {
		r.logRefusedKey(s, string(reason))
		return false
	}
	o, ok := findRoute(t, s)
	if !ok {
		o = s.route
	}
	c.Priority = o.Priority
	if t.Teams != nil {
		if m, ok := t.Teams.Named(c.Team); ok {
			c.Priority = access.Priority(m, o)
		}
	}
	return true
}

func (r *Relay) logRefusedKey(s *requestState, why string) {
	r.log.Info().Str("Request", string(s.call.ID)).Str("Service", string(s.call.Service)).Str("Why", why).
		Msg("API key of a forwarded request not accepted")
}
