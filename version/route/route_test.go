package route

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
)

func one(service ident.Service) []Backend {
	return []Backend{{Service: service, Weight: 1}}
}

func table(t *testing.T, routes ...Route) *Table {
	t.Helper()
	n, err := New(1, Limits{}, []Service{{Name: "book"}, {Name: "desk"}}, routes)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestFind holds a row for each way in which a host and a path select a route.
func TestFind(t *testing.T) {
	n := table(t,
		Route{Name: "all", Host: "a.example", Prefix: "/x/", Backends: one("book")},
		Route{Name: "deep", Host: "a.example", Prefix: "/x/y/", Backends: one("desk")},
		Route{Name: "other", Host: "b.example", Prefix: "/x/", Backends: one("desk")},
	)
	rows := []struct {
		name, host, path string
		want             ident.Route
	}{
		{"longest prefix", "a.example", "/x/y/1", "deep"},
		{"shorter prefix", "a.example", "/x/z", "all"},
		{"prefix ends with its slash", "a.example", "/x/yz", "all"},
		{"path without the slash", "a.example", "/x", ""},
		{"other host", "b.example", "/x/y/1", "other"},
		{"port and case", "A.example:80", "/x/z", "all"},
		{"unknown host", "c.example", "/x/", ""},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			o, ok := n.Find(r.host, r.path)
			if ok != (r.want != "") || ok && o.Name != r.want {
				t.Errorf("Find = %v, %t, want %q", o, ok, r.want)
			}
		})
	}
}

// TestNewFindings checks that all findings are reported together.
func TestNewFindings(t *testing.T) {
	_, err := New(1, Limits{}, []Service{{Name: "book"}}, []Route{
		{Name: "r1", Prefix: "/x/", Backends: one("book")},
		{Name: "r2", Host: "h", Prefix: "/x", Backends: one("book")},
		{Name: "r3", Host: "h", Prefix: "/x/"},
		{Name: "r4", Host: "h", Prefix: "/x/", Backends: one("desk")},
	})
	if err == nil {
		t.Fatal("no error")
	}
	for _, w := range []string{"r1: host is missing", "r2: prefix", "r3: no service", `r4: service "desk"`} {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("%q is missing in:\n%v", w, err)
		}
	}
}

// TestBackendShares checks that each part gets its share of the weights, within a tenth of all requests.
func TestBackendShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 4).Draw(t, "weights")
		r := Route{}
		total := 0
		for i, n := range w {
			r.Backends = append(r.Backends, Backend{Service: ident.Service(rune('a' + i)), Weight: ident.Weight(n)})
			total += n
		}
		const draws = 2000
		got := map[ident.Service]int{}
		for range draws {
			got[r.Backend()]++
		}
		for i, n := range w {
			if total == 0 {
				return
			}
			want := float64(n) / float64(total)
			have := float64(got[ident.Service(rune('a'+i))]) / draws
			if have < want-0.1 || have > want+0.1 {
				t.Fatalf("part %d has %.3f of the requests, want %.3f", i, have, want)
			}
		}
	})
}
