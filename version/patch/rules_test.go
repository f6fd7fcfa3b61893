package patch_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/store"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/patch"
)

const secondService = `
[[Service]]
Name = "s1"
Host = "s1.example"
  [[Service.Class]]
  Name = "Read"
  Methods = ["GET"]
  PathPrefix = "/"
  Idempotent = true
`

func patchUpstream(service, name, dataCentre string) string {
	return "[[Service]]\nName = \"" + service + "\"\n[[Service.Upstream]]\nName = \"" + name + "\"\nAddress = \"" +
		"10.0.0.1:9000" + "\"\nDataCentre = \"" + dataCentre + "\"\n"
}

const removeU0 = "[[Remove]]\nService = \"s0\"\nUpstream = \"u0\"\n"

// TestRules checks which changes are accepted and where findings are reported.
func TestRules(t *testing.T) {
	table := []struct {
		name string
		// texts are patches; all but the last are accepted.
		texts []string
		// after is the time that passes after each patch.
		after time.Duration
		// want is part of the finding for the last patch, or empty if that patch is accepted.
		want string
	}{
		{"set slots", []string{"[[Service]]\nName = \"s0\"\nSlots = 3\n"}, 0, ""},
		{"set shards", []string{"[[Service]]\nName = \"s0\"\nShards = 2\n"}, 0, "p.toml:3:1: Shards of service \"s0\" must"},
		{"move upstream to another data centre", []string{patchUpstream("s0", "u0", "b")}, 0, "can't move at once"},
		{"rename target", []string{removeU0 + patchUpstream("s0", "u1", "a")}, 0, "p.toml:8:1: target 10.0.0.1:9000 is"},
		{"move upstream to another service", []string{secondService, removeU0 + patchUpstream("s1", "u1", "a")}, 0,
			"can't move at once"},
		{"add too soon", []string{removeU0, patchUpstream("s0", "u1", "a")}, time.Second, "submit this patch again in 29s"},
		{"add with same placement", []string{removeU0, patchUpstream("s0", "u0", "a")}, time.Second, ""},
		{"add later", []string{removeU0, patchUpstream("s0", "u1", "b")}, patch.AddressReuseDelay, ""},
		{"remove used data centre", []string{"[[Remove]]\nDataCentre = \"a\"\n"}, 0,
			"Service \"s0\", Upstream \"u0\": data centre \"a\" is not declared"},
		{"remove unused data centre", []string{"[[Remove]]\nDataCentre = \"b\"\n"}, 0, ""},
		{"remove unknown", []string{"[[Remove]]\nService = \"s9\"\n"}, 0, "p.toml:1:3: there is no such service \"s9\""},
		{"remove last class", []string{"[[Remove]]\nService = \"s0\"\nClass = \"Read\"\n"}, 0, "has no class"},
		{"zero slots", []string{"[[Service]]\nName = \"s0\"\nSlots = 0\n"}, 0, "p.toml:3:1: Slots is 0; it must be from 1"},
		{"zero retry share", []string{"[Budget]\nRetryShare = 0.0\n"}, 0, "p.toml:2:1: RetryShare is 0"},
		{"unknown key", []string{"Slots = 1\n"}, 0, "p.toml:1:1: unknown key Slots; known here: ID, Against"},
		{"zero probe cost", []string{"[[Service]]\nName = \"s0\"\nProbeCost = \"0s\"\n"}, 0, ""},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			l := store.NewLocal(store.New())
			if err := archive.Seed(ctx, l, "seed.toml", []byte(seedConfig)); err != nil {
				t.Fatal(err)
			}
			now, n := epoch, 0
			s := patch.NewSubmitter(archive.New(l, func() string { n++; return c.name + string(rune('a'+n)) }),
				func() time.Time { return now }, func(*archive.Snapshot) {})
			var a patch.Answer
			for i, x := range c.texts {
				v := ident.Version(i + 1)
				id := ident.Patch(x[:5] + string(rune('0'+i)))
				a = s.Submit(ctx, patch.Submission{File: "p.toml", Text: x, Against: &v, ID: id})
				if i < len(c.texts)-1 && a.Outcome != patch.Accepted {
					t.Fatalf("answer to patch %d is %+v, want Accepted", i, a)
				}
				now = now.Add(c.after)
			}
			f := strings.Join(a.Findings, "\n")
			if (a.Outcome == patch.Accepted) != (c.want == "") || !strings.Contains(f, c.want) {
				t.Fatalf("answer to the last patch is %+v, want the finding %q or, if that is empty, Accepted", a, c.want)
			}
		})
	}
}
