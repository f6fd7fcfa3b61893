package patch_test

import (
	"testing"

	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/patch"
)

// FuzzApply checks that any text leads to findings or to a valid configuration that doesn't change when it is formatted
// and parsed again.
func FuzzApply(f *testing.F) {
	f.Add(seedConfig)
	f.Add(secondService)
	f.Add(patchUpstream("s0", "u0", "b") + removeU0)
	f.Add("Service = [{Name = 'x', Class = [{Methods = [1]}]}]\n[[Remove]]\nDataCentre = 'a'\n")
	f.Add("[[Service]]\n[[Service.Class]]\n[Service.Class.Name]\n")
	old, l := config.Check("seed.toml", []byte(seedConfig))
	if len(l) > 0 {
		f.Fatal(l)
	}
	f.Fuzz(func(t *testing.T, text string) {
		p, l := patch.Read("p.toml", []byte(text))
		if len(l) > 0 {
			return
		}
		c, l := p.Apply(old)
		if len(l) > 0 {
			return
		}
		b, err := c.Format()
		if err != nil {
			t.Fatal(err)
		}
		n, l := config.Check("accepted.toml", b)
		if len(l) > 0 {
			t.Fatalf("an accepted configuration has findings when it is formatted and parsed again: %s\n%s", l.Error(), b)
		}
		if len(n.Service) != len(c.Service) || len(n.DataCentre) != len(c.DataCentre) || n.Budget != c.Budget {
			t.Fatalf("an accepted configuration changes when it is formatted and parsed again:\n%s", b)
		}
	})
}
