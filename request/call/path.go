package call

import (
	"net/http"
	"strings"
)

// PathOf returns the path and query of a request as its sender wrote them. The URL of the request does not tell: if
// the path holds a character that should be escaped, its escapes are made anew from the decoded path, so that an
// escaped slash becomes a slash.
func PathOf(r *http.Request) string {
	t := r.RequestURI
	if strings.HasPrefix(t, "/") || t == "*" {
		return t
	}
	_, rest, ok := strings.Cut(t, "://")
	if !ok {
		return r.URL.RequestURI()
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	default:
		return rest[i:]
	}
}

// RoutePath returns the path of a call without the query, by which its route is found.
func (c *Call) RoutePath() string {
	p, _, _ := strings.Cut(c.Path, "?")
	return p
}
