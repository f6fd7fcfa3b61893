package call

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// TestPathOf checks that the path of a request is as the caller wrote it: one with a character that should be escaped
// was made anew from its decoded form, with other escapes and with a slash in place of an escaped one.
func TestPathOf(t *testing.T) {
	rows := []struct{ target, path, route string }{
		{"/a/b?c=%2F", "/a/b?c=%2F", "/a/b"},
		{"/a%2Fb|c", "/a%2Fb|c", "/a%2Fb|c"},
		{"/a%2fb%7c{}^", "/a%2fb%7c{}^", "/a%2fb%7c{}^"},
		{"/nõ%2F1?õ|=%2f", "/nõ%2F1?õ|=%2f", "/nõ%2F1"},
		{"//a/b%2F|", "//a/b%2F|", "//a/b%2F|"},
		{"/a%2F|#b", "/a%2F|#b", "/a%2F|#b"},
		{"/?", "/?", "/"},
		{"http://other.example/a%2F|?b", "/a%2F|?b", "/a%2F|"},
		{"http://other.example?b", "/?b", "/"},
		{"http://other.example", "/", "/"},
		{"*", "*", "*"},
	}
	for _, r := range rows {
		method := "GET"
		if r.target == "*" {
			method = "OPTIONS"
		}
		q, err := http.ReadRequest(bufio.NewReader(strings.NewReader(
			method + " " + r.target + " HTTP/1.1\r\nHost: h.example\r\n\r\n")))
		if err != nil {
			t.Errorf("%q: %v", r.target, err)
			continue
		}
		c := Call{Path: PathOf(q)}
		if c.Path != r.path || c.RoutePath() != r.route {
			t.Errorf("%q: path %q, for the route %q, want %q and %q", r.target, c.Path, c.RoutePath(), r.path, r.route)
		}
	}
}
