package route

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/team"
)

// Table is one version of the routing table; it is immutable once it is in use.
type Table struct {
	Version  ident.Version
	Limits   Limits
	Services map[ident.Service]Service
	// Teams is nil if the configuration has no teams. It must not be set once the table is in use.
	Teams *team.Directory

	// byHost maps a lower-case host name to the prefixes of its routes, the longest first, and routes counts the routes.
	byHost map[string][]prefix
	routes int
}

// prefix is the beginning of the paths of a route, as the configuration has it or as callers escape it.
type prefix struct {
	text  string
	route *Route
}

// New returns a table. Its error lists every finding on a route; the table has each route with a host, a prefix and a
// service all the same.
func New(v ident.Version, l Limits, services []Service, routes []Route) (*Table, error) {
	t := &Table{Version: v, Limits: l, Services: map[ident.Service]Service{}, byHost: map[string][]prefix{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	var errs []error
	for _, r := range routes {
		if err := t.validate(&r); err != nil {
			errs = append(errs, err)
		}
		if r.Host == "" || r.Prefix == "" || len(r.Services) == 0 {
			continue
		}
		t.routes++
		h := strings.ToLower(r.Host)
		t.byHost[h] = append(t.byHost[h], prefix{text: r.Prefix, route: &r})
		if e := escaped(r.Prefix); e != r.Prefix {
			t.byHost[h] = append(t.byHost[h], prefix{text: e, route: &r})
		}
	}
	for _, l := range t.byHost {
		slices.SortStableFunc(l, func(a, b prefix) int { return cmp.Compare(len(b.text), len(a.text)) })
	}
	return t, errors.Join(errs...)
}

// validate returns the first error of a route.
func (t *Table) validate(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %s: host is missing", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %s: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case len(r.Services) == 0:
		return fmt.Errorf("route %s: service is missing", r.Name)
	}
	for _, b := range r.Services {
		if _, ok := t.Services[b.Service]; !ok {
			return fmt.Errorf("route %s: service %q is not defined", r.Name, b.Service)
		}
	}
	return nil
}

// escaped returns a prefix as callers write it in a request line if they escape what has to be.
func escaped(prefix string) string {
	if u, err := url.ParseRequestURI(prefix); err == nil && u.RawQuery == "" {
		return u.EscapedPath()
	}
	return prefix
}

// Find returns the route of the host with the longest prefix that begins the path. The path is compared as the caller
// wrote it, which is how targets get it: an escaped slash ends no prefix.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, p := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, p.text) {
			return p.route, true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	return t.routes
}

// hostName removes the port from a Host header and converts it to lower case.
func hostName(h string) string {
	if n, _, err := net.SplitHostPort(h); err == nil {
		h = n
	}
	return strings.ToLower(h)
}
