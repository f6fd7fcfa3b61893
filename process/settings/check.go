package settings

import (
	"net/netip"
	"net/url"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/document"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

// MinKeyBytes is the minimum length in bytes of the fleet's key.
const MinKeyBytes = 16

// Check parses settings and returns all findings; the settings are usable only without findings.
func Check(file string, b []byte) (*Settings, finding.List) {
	s := &Settings{Log: Log{Level: "info"}}
	d, l := document.Read(file, b, s)
	if d.HasSyntaxError() {
		return s, l
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	k := &checker{document: d, listenAddresses: map[ident.Address]string{}}
	k.checkSettings(s)
	return s, l.Merge(k.list)
}

// checker checks settings and collects the findings.
type checker struct {
	document *document.Document
	list     finding.List
	// listenAddresses maps each listen address checked so far to the setting that names it.
	listenAddresses map[ident.Address]string
}

func (k *checker) add(path, format string, args ...any) {
	k.list = append(k.list, k.document.Finding(path, format, args...))
}

func (k *checker) checkSettings(s *Settings) {
	k.required("Name", string(s.Name), "the name of this VM")
	k.required("DataCentre", string(s.DataCentre), "the data centre of this VM, as the configuration names it")
	k.required("Region", string(s.Region), "the region of this VM")
	u, err := url.Parse(s.Platform)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		k.add("Platform", "Platform %q is not a base URL; write it like \"http://10.0.0.1:9500\"", s.Platform)
	}
	if s.Key != "" && len(s.Key) < MinKeyBytes {
		k.add("Key", "Key is too short; write at least %d characters that nobody can guess", MinKeyBytes)
	}
	k.checkListenAddress("Entry.CallerAddress", s.Entry.CallerAddress)
	k.checkListenAddress("Entry.PeerAddress", s.Entry.PeerAddress)
	k.checkListenAddress("Entry.OperatorAddress", s.Entry.OperatorAddress)
	k.checkListenAddress("Control.LinkAddress", s.Control.LinkAddress)
	k.checkListenAddress("Control.WitnessAddress", s.Control.WitnessAddress)
	k.checkListenAddress("Control.OperatorAddress", s.Control.OperatorAddress)
	for i, a := range s.Control.Seeds {
		if !validAddress(a) {
			k.add("Control.Seeds", "seed %d is %q; write an IP address and port like \"10.0.0.2:7005\"", i+1, a)
		}
	}
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		k.add("Log.Level", "Level %q is not known; write one of trace, debug, info, warn, error", s.Log.Level)
	}
}

func (k *checker) required(path, v, what string) {
	if v == "" {
		k.add(path, "%s is missing; write %s", path, what)
	}
}

func (k *checker) checkListenAddress(path string, a ident.Address) {
	other, duplicate := k.listenAddresses[a]
	switch {
	case !validAddress(a):
		k.add(path, "%s is %q; write an IP address of this VM and a port like \"10.0.0.1:7000\"", path, a)
	case duplicate:
		k.add(path, "%s is %q, which is also %s; give each its own port", path, a, other)
	}
	k.listenAddresses[a] = path
}

// validAddress reports whether an address consists of an IP address and a port. The unspecified IP address is refused,
// since a process would listen on all interfaces.
func validAddress(a ident.Address) bool {
	p, err := netip.ParseAddrPort(string(a))
	return err == nil && p.Port() != 0 && !p.Addr().IsUnspecified()
}
