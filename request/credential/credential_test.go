package credential

import (
	"bufio"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestParse checks each form of the header that is accepted or rejected.
func TestParse(t *testing.T) {
	long := strings.Repeat("k", 300)
	rows := []struct {
		name   string
		header http.Header
		want   Credential
	}{
		{"key", http.Header{"Authorization": {"Token 8m82th"}}, Key("8m82th")},
		{"long key", http.Header{"Authorization": {"Token " + long}}, Key(long)},
		{"lower-case name", http.Header{"authorization": {"Token k"}}, Key("k")},
		{"no header", http.Header{"Authorizations": {"Token k"}}, Absent{}},
		{"two headers", http.Header{"Authorization": {"Token k", "Token k"}}, Unreadable{Duplicated}},
		{"two names", http.Header{"Authorization": {"Token k"}, "AUTHORIZATION": {"Token k"}}, Unreadable{Duplicated}},
		{"empty", http.Header{"Authorization": {""}}, Unreadable{Malformed}},
		{"no key", http.Header{"Authorization": {"Token "}}, Unreadable{Malformed}},
		{"scheme alone", http.Header{"Authorization": {"Token"}}, Unreadable{Malformed}},
		{"another scheme", http.Header{"Authorization": {"Bearer k"}}, Unreadable{Malformed}},
		{"scheme in lower case", http.Header{"Authorization": {"token k"}}, Unreadable{Malformed}},
		{"two spaces", http.Header{"Authorization": {"Token  k"}}, Unreadable{Malformed}},
		{"tab", http.Header{"Authorization": {"Token\tk"}}, Unreadable{Malformed}},
		{"space within", http.Header{"Authorization": {"Token k, Token k"}}, Key("k, Token k")},
		{"space at the end", http.Header{"Authorization": {"Token k "}}, Unreadable{Malformed}},
		{"control character", http.Header{"Authorization": {"Token k\x00"}}, Unreadable{Malformed}},
		{"not ASCII", http.Header{"Authorization": {"Token ké"}}, Key("ké")},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if got := Parse(r.header); got != r.want {
				t.Errorf("credential %T, want %T %v", got, r.want, r.want)
			}
		})
	}
}

// TestKeyIsNotPrinted checks that a key that gets into a formatted text by mistake does not show there.
func TestKeyIsNotPrinted(t *testing.T) {
	for _, f := range []string{"%s", "%v", "%+v", "%#v"} {
		for _, v := range []any{Key("secret"), struct{ C Credential }{Key("secret")}} {
			if s := fmt.Sprintf(f, v); strings.Contains(s, "secret") {
				t.Errorf("%s prints %q, want no key", f, s)
			}
		}
	}
}

// oracle is the accepted form of the header's value, as a request on the wire has it.
var oracle = regexp.MustCompile(`^Token [^\x00- \x7f]([^\x00-\x08\x0a-\x1f\x7f]*[^\x00- \x7f])?$`)

// TestParseRandom compares requests on the wire with random Authorization headers, in any case and number, with the
// accepted form.
func TestParseRandom(t *testing.T) {
	name := rapid.SampledFrom([]string{"Authorization", "authorization", "AUTHORIZATION", "aUthorizatioN"})
	value := rapid.OneOf(
		rapid.SampledFrom([]string{"Token k", "token k", "Token", "Token ", "Basic k", "", "Token k, Token k", "Token k l"}),
		rapid.StringMatching(`Token [ -~]{0,6}`), rapid.StringMatching(`[ -~]{0,9}`),
		rapid.Map(rapid.IntRange(250, 5000), func(n int) string { return "Token " + strings.Repeat("k", n) }),
	)
	rapid.Check(t, func(t *rapid.T) {
		var b strings.Builder
		b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
		values := rapid.SliceOfN(value, 0, 3).Draw(t, "values")
		for _, v := range values {
			fmt.Fprintf(&b, "%s:%s%s\r\nX-Other: 1\r\n", name.Draw(t, "name"),
				rapid.SampledFrom([]string{"", " ", "\t "}).Draw(t, "space"), v)
		}
		b.WriteString("\r\n")
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(b.String())))
		if err != nil {
			return
		}
		got := Parse(r.Header)
		var want Credential = Unreadable{Malformed}
		switch {
		case len(values) == 0:
			want = Absent{}
		case len(values) > 1:
			want = Unreadable{Duplicated}
		default:
			// White space around a value is no part of it.
			v := strings.Trim(values[0], " \t")
			if oracle.MatchString(v) {
				want = Key(strings.TrimPrefix(v, "Token "))
			}
		}
		if got != want {
			t.Fatalf("values %q: %T %v, want %T %v", values, got, got, want, want)
		}
	})
}

// TestStrip checks that headers are removed in whatever case and number, and no others.
func TestStrip(t *testing.T) {
	h := http.Header{
		"Authorization": {"a", "b"}, "authorization": {"c"}, "Amaranthramp-Tenant": {"x"}, "amaranthramp-TENANT": {"y"},
		"Amaranthramp-Tenants": {"z"}, "X": {"1"},
	}
	Strip(h, "Amaranthramp-Tenant")
	if len(h) != 2 || h["X"] == nil || h["Amaranthramp-Tenants"] == nil {
		t.Errorf("headers left: %v, want X and Amaranthramp-Tenants", h)
	}
}

// FuzzParse checks that an accepted value has exactly the accepted form.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"Token k", "token k", "Token  k", "Token k\r\n", "Token k,l", "", "Token \x7f", "Basic k"} {
		f.Add(s, false)
	}
	f.Fuzz(func(t *testing.T, v string, twice bool) {
		h := http.Header{Header: {v}}
		if twice {
			h.Add(Header, v)
		}
		k, ok := Parse(h).(Key)
		if want := oracle.MatchString(v) && !twice; ok != want || ok && "Token "+string(k) != v {
			t.Errorf("value %q, twice %t: accepted %t, want %t", v, twice, ok, want)
		}
	})
}
