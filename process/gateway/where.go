package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/access"
	"github.com/amaranthramp/amaranthramp/request/candidate"
	"github.com/amaranthramp/amaranthramp/request/credential"
	"github.com/amaranthramp/amaranthramp/request/overflow"
	"github.com/amaranthramp/amaranthramp/version/route"
	"github.com/amaranthramp/amaranthramp/version/team"
)

// maxWhereBytes bounds a question about a request, in bytes.
const maxWhereBytes = 64 << 10

// WhereQuestion describes a request about which an operator asks. Header may hold an API key.
type WhereQuestion struct {
	Method string
	Host   string
	// Path is the path of the request, with the query if it has one.
	Path   string
	Header http.Header
	// Body is the size of the request's body in bytes.
	Body ident.Bytes
}

// Check returns an error that lists all findings, or nil.
func (q *WhereQuestion) Check() error {
	var errs []error
	if q.Method == "" || strings.ContainsAny(q.Method, " \t\r\n") {
		errs = append(errs, fmt.Errorf("method %q is not one of HTTP", q.Method))
	}
	if q.Host == "" {
		errs = append(errs, errors.New("host is missing"))
	}
	if !strings.HasPrefix(q.Path, "/") {
		errs = append(errs, fmt.Errorf("path %q must begin with a slash", q.Path))
	}
	if q.Body < 0 {
		errs = append(errs, fmt.Errorf("size of the body is %d; it must not be below zero", q.Body))
	}
	return errors.Join(errs...)
}

// Where tells where a request would go now, and why.
type Where struct {
	VM      ident.VM
	Version ident.Version
	Route   ident.Route
	// Status is the status with which the request would be refused now, and Why the reason; zero if it would be sent.
	Status int
	Why    string
	// Team is the team of the key; empty if there is none. Rate and Burst are its allowance, and OverAllowance is whether
	// this VM has refused requests of the team in the last seconds.
	Team          ident.Team
	Rate          ident.Rate
	Burst         float64
	OverAllowance bool
	Priority      ident.Priority
	// Services are the services of the route. A request goes to one of them at random, in proportion to the weights.
	Services []WhereService
}

// WhereService tells where a request would go if the weights choose the service.
type WhereService struct {
	Service ident.Service
	Share   ident.Share
	// Rollout is which targets a roll-out allows to most requests; empty without a roll-out.
	Rollout string
	// Partitioned is whether no target responds to this VM, so that the request would go through another VM.
	Partitioned bool
	// Saturated is whether the service is short of capacity, so that requests wait for a turn in the order of their
	// priorities, and Waiting how many do at this VM.
	Saturated bool
	Waiting   int
	// Leaving are the shares of the requests for which another data centre is considered first.
	Leaving []overflow.Share
	Targets []candidate.TargetPreview
}

// where returns where a request would go, by the same decisions as for callers' requests and without side effects.
func (g *Gateway) where(q *WhereQuestion) Where {
	w := Where{VM: g.settings.Name}
	t := g.catalog.Get().Table
	if t == nil {
		w.Status, w.Why = http.StatusServiceUnavailable, "no configuration read yet"
		return w
	}
	w.Version = t.Version
	path, _, _ := strings.Cut(q.Path, "?")
	o, ok := t.Find(q.Host, path)
	if !ok {
		w.Status, w.Why = http.StatusNotFound, "no route matches the request"
		return w
	}
	w.Route = o.Name
	var m *team.Team
	switch d := g.gate.Decide(t.Teams, o.Public, credential.Parse(q.Header)).(type) {
	case access.Admitted:
		m = d.Team
	case access.Denied:
		w.Status, w.Why = http.StatusUnauthorized, "API key: "+string(d.Cause)
		return w
	default:
		w.Status, w.Why = http.StatusServiceUnavailable, "API key: "+string(access.CopyTooOld)
		return w
	}
	w.Priority = access.Priority(m, o)
	if m != nil {
		w.Team, w.Rate, w.Burst = m.Name, m.Rate, m.Burst
		w.OverAllowance = g.limiter.Exceeding(m.Name)
	}
	g.whereServices(&w, t, o)
	return w
}

// whereServices adds the services of a route.
func (g *Gateway) whereServices(w *Where, t *route.Table, o *route.Route) {
	total := ident.SplitWeight(0)
	for _, s := range o.Services {
		total += s.Weight
	}
	loads := g.chooser.Loads()
	for i, s := range o.Services {
		v := t.Services[s.Service]
		x := WhereService{Service: s.Service, Partitioned: g.detours.Partitioned(s.Service)}
		switch {
		case total > 0:
			x.Share = ident.Share(s.Weight / total)
		case i == 0:
			x.Share = 1
		}
		for _, l := range loads {
			if l.Service == s.Service {
				x.Saturated, x.Waiting = l.Saturated, l.Waiting
			}
		}
		if g.rollouts != nil {
			for _, d := range g.rollouts.dump() {
				if d.Service == s.Service {
					x.Rollout = fmt.Sprintf("%s %s: %v", d.NewVersion, d.Phase, d.Use)
				}
			}
		}
		x.Leaving = g.loads.shares(s.Service)
		first := g.settings.DataCentre
		if n := len(x.Leaving); n > 0 && g.catalog.Get().Roster.Evacuated(first) {
			first = x.Leaving[0].DataCentre
		}
		x.Targets = g.chooser.Preview(&v, first)
		w.Services = append(w.Services, x)
	}
}

// serveWhere answers an operator's question about a request. The question may hold an API key and is not logged.
func (g *Gateway) serveWhere(w http.ResponseWriter, r *http.Request) {
	var q WhereQuestion
	d := json.NewDecoder(io.LimitReader(r.Body, maxWhereBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&q)
	if err == nil {
		err = q.Check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.where(&q)); err != nil {
		g.log.Warn().Err(err).Msg("could not write the answer to an operator's question")
	}
}
