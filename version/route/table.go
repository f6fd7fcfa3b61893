package route

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Table is one version of the routes; it is never changed after New.
type Table struct {
	Version  ident.Version
	Limits   Limits
	Services map[ident.Service]Service

	hosts map[string][]Route
}

// New returns a table; it fails with all routes and services that can't be used.
func New(v ident.Version, l Limits, services []Service, routes []Route) (*Table, error) {
	t := &Table{Version: v, Limits: l, Services: map[ident.Service]Service{}, hosts: map[string][]Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	var findings []error
	for _, r := range routes {
		if err := t.check(&r); err != nil {
			findings = append(findings, err)
			continue
		}
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, l := range t.hosts {
		slices.SortFunc(l, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, errors.Join(findings...)
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %s: host is missing", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %s: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case len(r.Backends) == 0:
		return fmt.Errorf("route %s: no service", r.Name)
	}
	for _, b := range r.Backends {
		if _, ok := t.Services[b.Service]; !ok {
			return fmt.Errorf("route %s: service %q is not defined", r.Name, b.Service)
		}
	}
	return nil
}

// Find returns the route with the longest prefix of the path among those of the host.
func (t *Table) Find(host, path string) (*Route, bool) {
	l := t.hosts[hostName(host)]
	for i := range l {
		if strings.HasPrefix(path, l[i].Prefix) {
			return &l[i], true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, l := range t.hosts {
		n += len(l)
	}
	return n
}

// hostName drops the port of a Host header and its case.
func hostName(h string) string {
	if n, _, err := net.SplitHostPort(h); err == nil {
		h = n
	}
	return strings.ToLower(h)
}
