package route

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
)

func onlyService(service ident.Service) []WeightedService {
	return []WeightedService{{Service: service, Weight: 1}}
}

func newTable(t *testing.T, routes ...Route) *Table {
	t.Helper()
	n, err := New(1, Limits{}, []Service{{Name: "book"}, {Name: "desk"}}, routes)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestFind checks which route is selected by a host and a path.
func TestFind(t *testing.T) {
	n := newTable(t,
		Route{Name: "all", Host: "a.example", Prefix: "/x/", Services: onlyService("book")},
		Route{Name: "deep", Host: "a.example", Prefix: "/x/y/", Services: onlyService("desk")},
		Route{Name: "other", Host: "b.example", Prefix: "/x/", Services: onlyService("desk")},
		Route{Name: "escape", Host: "c.example", Prefix: "/n%C3%B5/", Services: onlyService("book")},
		Route{Name: "letter", Host: "d.example", Prefix: "/nõ/", Services: onlyService("book")},
	)
	rows := []struct {
		name, host, path string
		want             ident.Route
	}{
		{"longest prefix", "a.example", "/x/y/1", "deep"},
		{"shorter prefix", "a.example", "/x/z", "all"},
		{"prefix includes its trailing slash", "a.example", "/x/yz", "all"},
		{"path without the trailing slash", "a.example", "/x", ""},
		{"other host", "b.example", "/x/y/1", "other"},
		{"host with a port and in upper case", "A.example:80", "/x/z", "all"},
		{"escaped slash", "a.example", "/x/y%2F1", "all"},
		{"escape in the prefix", "c.example", "/n%C3%B5/1", "escape"},
		{"letter in the prefix that callers escape", "d.example", "/n%C3%B5/1", "letter"},
		{"letter in the prefix that callers do not escape", "d.example", "/nõ/1|", "letter"},
		{"escaped slash beside an unescaped character", "a.example", "/x/y%2F1|", "all"},
		{"only escaped slashes", "a.example", "/x%2Fy%2F1|", ""},
		{"unknown host", "e.example", "/x/", ""},
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

// TestNewErrors checks that New reports all invalid routes together.
func TestNewErrors(t *testing.T) {
	_, err := New(1, Limits{}, []Service{{Name: "book"}}, []Route{
		{Name: "r1", Prefix: "/x/", Services: onlyService("book")},
		{Name: "r2", Host: "h", Prefix: "/x", Services: onlyService("book")},
		{Name: "r3", Host: "h", Prefix: "/x/"},
		{Name: "r4", Host: "h", Prefix: "/x/", Services: onlyService("desk")},
	})
	if err == nil {
		t.Fatal("New accepted invalid routes, want an error")
	}
	for _, w := range []string{"r1: host is missing", "r2: prefix", "r3: service is missing", `r4: service "desk"`} {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("error does not contain %q:\n%v", w, err)
		}
	}
}

// TestServiceShares checks that each service gets its share of the requests by weight, whole or not, within a tenth of
// all requests.
func TestServiceShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 4).Draw(t, "weights")
		r := Route{}
		total := 0
		for i, n := range w {
			r.Services = append(r.Services,
				WeightedService{Service: ident.Service(rune('a' + i)), Weight: ident.SplitWeight(n) / 8})
			total += n
		}
		const draws = 2000
		got := map[ident.Service]int{}
		for range draws {
			got[r.PickService()]++
		}
		for i, n := range w {
			if total == 0 {
				return
			}
			want := float64(n) / float64(total)
			have := float64(got[ident.Service(rune('a'+i))]) / draws
			if have < want-0.1 || have > want+0.1 {
				t.Fatalf("service %d gets %.3f of the requests, want %.3f", i, have, want)
			}
		}
	})
}
