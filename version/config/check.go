package config

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/document"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

// Limits of the values in a configuration.
const (
	MaxShards       = 64
	MaxSlots        = 10_000
	MaxConnections  = 100_000
	MaxWeight       = 1000
	MaxDeadline     = time.Hour
	MaxKeyRetention = 24 * time.Hour
	MaxCost         = time.Minute
	MaxName         = 100

	// MinShare is the smallest valid share: a share of zero can't be told from one that is not set.
	MinShare ident.Share = 1e-6
)

// knownMethods are the HTTP methods that a class may match.
var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// Check parses and validates a configuration and returns all findings; the configuration is valid only if there are
// none.
func Check(file string, b []byte) (*Config, finding.List) {
	c := &Config{}
	d, l := document.Read(file, b, c)
	if d.HasSyntaxError() {
		return c, l
	}
	c.CompleteExcept(d.Has)
	l = l.Merge(c.Findings(d))
	return c, l
}

// Locator creates findings with the position of the key at a path.
type Locator interface {
	Finding(path, format string, args ...any) finding.Finding
}

// Findings validates a configuration whose defaults are filled in. It passes paths such as "Service[0].Class[1].Weight"
// to the locator.
func (c *Config) Findings(p Locator) finding.List {
	k := &checker{locator: p, dataCentrePaths: map[ident.DataCentre]string{}, hosts: map[string]ident.Service{},
		addresses: map[ident.Address]string{}}
	k.budget(&c.Budget)
	for i := range c.DataCentre {
		k.dataCentre(&c.DataCentre[i], fmt.Sprintf("DataCentre[%d]", i))
	}
	if len(c.DataCentre) == 0 {
		k.add("", "no data centre is declared; declare each with a [[DataCentre]] table")
	}
	seen := map[ident.Service]bool{}
	for i := range c.Service {
		s := &c.Service[i]
		p := fmt.Sprintf("Service[%d]", i)
		checkDuplicate(k, seen, s.Name, p, "service")
		k.service(s, p)
	}
	return k.list
}

// checker validates a configuration and collects the findings.
type checker struct {
	locator Locator
	list    finding.List
	// dataCentrePaths holds the path of each declared data centre in the configuration.
	dataCentrePaths map[ident.DataCentre]string
	// hosts holds the service that each host name belongs to.
	hosts map[string]ident.Service
	// addresses holds the upstream that each address belongs to, as SERVICE/UPSTREAM.
	addresses map[ident.Address]string
}

func (k *checker) add(path, format string, args ...any) {
	k.list = append(k.list, k.locator.Finding(path, format, args...))
}

func (k *checker) budget(b *Budget) {
	checkRange(k, "Budget.ProbeShare", b.ProbeShare, MinShare, 1)
	checkRange(k, "Budget.RetryShare", b.RetryShare, MinShare, 1)
	checkRange(k, "Budget.HedgeShare", b.HedgeShare, 0, 1)
}

func (k *checker) dataCentre(c *DataCentre, path string) {
	k.name(path+".Name", string(c.Name))
	k.state(path+".State", c.State)
	if _, ok := k.dataCentrePaths[c.Name]; ok {
		k.add(path+".Name", "data centre %q is declared twice; keep one", c.Name)
	}
	k.dataCentrePaths[c.Name] = path
}

func (k *checker) service(s *Service, path string) {
	k.name(path+".Name", string(s.Name))
	k.host(s, path+".Host")
	checkRange(k, path+".Shards", s.Shards, 1, MaxShards)
	checkRange(k, path+".Slots", s.Slots, 1, MaxSlots)
	checkRange(k, path+".ColdLimit", s.ColdLimit, 1, max(s.Slots, 1))
	checkRange(k, path+".Connections", s.Connections, 1, MaxConnections)
	checkRange(k, path+".ConnectCost", s.ConnectCost, 0, Duration(MaxCost))
	checkRange(k, path+".ProbeCost", s.ProbeCost, 0, Duration(MaxCost))
	checkRange(k, path+".KeyRetention", s.KeyRetention, Duration(time.Second), Duration(MaxKeyRetention))
	k.absolutePath(path+".ProbePath", s.ProbePath)
	if len(s.Class) == 0 {
		k.add(path, "service %q has no class; declare at least one with [[Service.Class]]", s.Name)
	}
	classes := map[ident.Class]bool{}
	for i := range s.Class {
		p := fmt.Sprintf("%s.Class[%d]", path, i)
		checkDuplicate(k, classes, s.Class[i].Name, p, "class")
		k.class(&s.Class[i], p)
	}
	k.overlappingClasses(s, path)
	upstreams := map[ident.Upstream]bool{}
	for i := range s.Upstream {
		p := fmt.Sprintf("%s.Upstream[%d]", path, i)
		checkDuplicate(k, upstreams, s.Upstream[i].Name, p, "upstream")
		k.upstream(s, &s.Upstream[i], p)
	}
}

func (k *checker) host(s *Service, path string) {
	other, taken := k.hosts[s.Host]
	switch {
	case s.Host == "":
		k.add(path, "service %q has no Host; name the host by which callers reach it", s.Name)
	case s.Host != strings.ToLower(s.Host) || strings.ContainsAny(s.Host, ":/ \t"):
		k.add(path, "Host %q is not a host name; write it in lower case, without scheme and port", s.Host)
	case taken:
		k.add(path, "Host %q is already that of service %q; each service needs its own", s.Host, other)
	}
	k.hosts[s.Host] = s.Name
}

func (k *checker) class(c *Class, path string) {
	k.name(path+".Name", string(c.Name))
	k.absolutePath(path+".PathPrefix", c.PathPrefix)
	checkRange(k, path+".Weight", c.Weight, 1, MaxWeight)
	checkRange(k, path+".Deadline", c.Deadline, Duration(time.Millisecond), Duration(MaxDeadline))
	if len(c.Methods) == 0 {
		k.add(path+".Methods", "class %q has no Methods; name at least one, such as \"GET\"", c.Name)
	}
	for i, m := range c.Methods {
		p := fmt.Sprintf("%s.Methods", path)
		switch {
		case !slices.Contains(knownMethods, m):
			k.add(p, "Methods holds %q; known methods: %s", m, strings.Join(knownMethods, ", "))
		case slices.Index(c.Methods, m) < i:
			k.add(p, "Methods holds %q twice; keep one", m)
		case !c.Idempotent && (m == http.MethodGet || m == http.MethodHead):
			k.add(p, "class %q is not idempotent but takes %s; set Idempotent = true or use POST", c.Name, m)
		}
	}
}

// overlappingClasses reports classes that match the same method and path prefix.
func (k *checker) overlappingClasses(s *Service, path string) {
	seen := map[string]ident.Class{}
	for i := range s.Class {
		c := &s.Class[i]
		for _, m := range c.Methods {
			n := m + " " + c.PathPrefix
			if o, ok := seen[n]; ok && o != c.Name {
				k.add(fmt.Sprintf("%s.Class[%d].PathPrefix", path, i),
					"classes %q and %q both take %s; give them different prefixes or methods", o, c.Name, n)
			}
			seen[n] = c.Name
		}
	}
}

func (k *checker) upstream(s *Service, u *Upstream, path string) {
	k.name(path+".Name", string(u.Name))
	k.state(path+".State", u.State)
	if _, ok := k.dataCentrePaths[u.DataCentre]; !ok {
		k.add(path+".DataCentre", "data centre %q is not declared; declare it with [[DataCentre]] or name another",
			u.DataCentre)
	}
	a, err := netip.ParseAddrPort(string(u.Address))
	name := fmt.Sprintf("%s/%s", s.Name, u.Name)
	other, taken := k.addresses[u.Address]
	switch {
	case err != nil || a.Port() == 0 || a.Addr().IsUnspecified():
		k.add(path+".Address", "Address %q is not an IP address and port; write it like \"10.0.0.1:9000\"", u.Address)
	case taken:
		k.add(path+".Address", "Address %q is already that of upstream %q; each target belongs to one upstream", u.Address,
			other)
	}
	k.addresses[u.Address] = name
}

func (k *checker) name(path, n string) {
	ok := n != "" && len(n) <= MaxName
	for _, r := range n {
		ok = ok && (r == '-' || r == '_' || r == '.' || (r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') ||
			(r >= 'A' && r <= 'Z'))
	}
	if !ok {
		k.add(path, "Name %q is not a name; use 1 to %d letters, digits, dots, hyphens and underscores", n, MaxName)
	}
}

func (k *checker) state(path string, s State) {
	if s != In && s != Out {
		k.add(path, "State %q is not known; write %q or %q", s, In, Out)
	}
}

func (k *checker) absolutePath(path, p string) {
	if !strings.HasPrefix(p, "/") {
		k.add(path, "path %q does not start with a slash; write it like \"/health\"", p)
	}
}

func checkDuplicate[N ~string](k *checker, seen map[N]bool, n N, path, kind string) {
	if seen[n] {
		k.add(path+".Name", "%s %q is declared twice; keep one", kind, n)
	}
	seen[n] = true
}

// numeric is the type set of the values that checkRange accepts.
type numeric interface {
	~int | ~int64 | ~float64
}

func checkRange[N numeric](k *checker, path string, v, low, high N) {
	if v >= low && v <= high && !math.IsNaN(float64(v)) {
		return
	}
	key := path[strings.LastIndexByte(path, '.')+1:]
	k.add(path, "%s is %v; it must be from %v to %v", key, v, low, high)
}

// String returns the duration in the form that TOML files use.
func (d Duration) String() string {
	return time.Duration(d).String()
}
