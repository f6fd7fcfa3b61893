package credential

import (
	"net/http"
	"strings"
)

// Header is the name of the header that carries the API key of a caller.
const Header = "Authorization"

// scheme is what comes before the key in the header.
const scheme = "Token "

// Credential is what a request holds as proof of its team: a Key, Absent or Unreadable.
type Credential interface{ credential() }

// Key is an API key in the accepted form; it may be unknown.
type Key string

// Absent means that the request has no Authorization header.
type Absent struct{}

// Unreadable means that the Authorization headers do not have the accepted form.
type Unreadable struct{ Problem Problem }

// Problem says in one word why a header can't be read; it holds nothing of the header.
type Problem string

// The problems of Authorization headers.
const (
	// Duplicated means that there are several headers.
	Duplicated Problem = "duplicated"
	// Malformed means that the header is not the word Token, one space and a key.
	Malformed Problem = "malformed"
)

func (Key) credential()        {}
func (Absent) credential()     {}
func (Unreadable) credential() {}

// String returns a text without the key, so that no log line or error can contain it.
func (Key) String() string {
	return "API key"
}

// GoString returns a text without the key.
func (k Key) GoString() string {
	return k.String()
}

// Parse reads the Authorization headers of a request, whatever the case of their names.
func Parse(h http.Header) Credential {
	var l []string
	for n, v := range h {
		if strings.EqualFold(n, Header) {
			l = append(l, v...)
		}
	}
	switch {
	case len(l) == 0:
		return Absent{}
	case len(l) > 1:
		return Unreadable{Duplicated}
	}
	k, ok := strings.CutPrefix(l[0], scheme)
	if !ok || !Sendable(k) {
		return Unreadable{Malformed}
	}
	return Key(k)
}

// Sendable reports whether a request can carry the key: it is not empty, has no control characters but the tab, and
// neither begins nor ends with white space, which is no part of a header's value. The limit on the header of a request
// bounds its length.
func Sendable(key string) bool {
	return key != "" && strings.Trim(key, " \t") == key &&
		!strings.ContainsFunc(key, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}

// Strip removes the Authorization headers and those with the given names, whatever the case of their names.
func Strip(h http.Header, names ...string) {
	for n := range h {
		if strings.EqualFold(n, Header) {
			delete(h, n)
			continue
		}
		for _, o := range names {
			if strings.EqualFold(n, o) {
				delete(h, n)
				break
			}
		}
	}
}
