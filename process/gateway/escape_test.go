package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/standin/objects"
)

// TestEscapedSlashTakesOtherRoute guards against a request that gets the kind of a longer prefix, which its path has
// only once an escaped slash is decoded. One that must not repeat then ran twice when its answer was lost.
func TestEscapedSlashTakesOtherRoute(t *testing.T) {
	b := &testGateway{log: zerolog.Nop(), store: objects.New()}
	text := strings.Replace(fmt.Sprintf(configuration, 1), `{"name":"book",`, `{"name":"desk"},{"name":"book",`, 1)
	b.store.Put("config", "main", strings.Replace(text, `"path-prefix":"/read/","kind":"safe","timeout-ms":2000,`+
		`"aim-ms":500,"service":"book"`, `"path-prefix":"/claim/notes/","kind":"safe","timeout-ms":2000,`+
		`"aim-ms":500,"service":"desk"`, 1))
	b.startWithTargets(t, 2, time.Millisecond)
	for _, r := range []struct {
		path string
		// The service of the longer prefix has no targets.
		status int
	}{
		{"/claim/notes/17", http.StatusServiceUnavailable},
		{"/claim/notes%2F17", http.StatusOK},
	} {
		p, _, err := b.send(t.Context(), http.MethodPost, r.path, r.path, "")
		if err != nil {
			t.Fatal(err)
		}
		if p.StatusCode != r.status {
			t.Errorf("%s: status %d, want %d", r.path, p.StatusCode, r.status)
		}
	}
}

// TestPathIsForwardedUnchanged guards against a request that is run with another path than its caller wrote, or gets
// the route of that path: one with a character that should be escaped was escaped anew, with a slash in place of an
// escaped one. The second VM sends its requests through the first.
func TestPathIsForwardedUnchanged(t *testing.T) {
	b := newTestGateway(t, 2, time.Millisecond)
	detouring := b.addGateway(t, "vm-2")
	detouring.link.useRelays()
	detouring.link.set(refusesNew)
	got := make(chan string, 10)
	for _, g := range b.targets {
		g.Observe(func(r *http.Request) { got <- r.RequestURI })
	}
	b.waitUntil(t, "request passed through the other VM", func() bool {
		p, err := detouring.exchangeRaw("/read/1", nil, "")
		return err == nil && p.StatusCode == http.StatusOK && <-got == "/read/1"
	})
	for _, g := range []*testGateway{b, detouring} {
		for _, path := range []string{
			"/read/1", "/read/notes%2F17|a", "/read/{õ}%2f%7C?a|b=%2F&õ", "/read//x%2F^", "/read/%2e%2E/|",
		} {
			p, err := g.exchangeRaw(path, nil, "")
			if err != nil || p.StatusCode != http.StatusOK {
				t.Errorf("%s, %s: response %v, error %v, want status 200", g.settings.Name, path, p, err)
				continue
			}
			if ran := <-got; ran != path {
				t.Errorf("%s: target ran %s, want %s", g.settings.Name, ran, path)
			}
		}
		for _, path := range []string{"/read%2F12|7", "/%72ead/1|", "//read/1"} {
			if p, err := g.exchangeRaw(path, nil, ""); err != nil || p.StatusCode != http.StatusNotFound {
				t.Errorf("%s, %s: response %v, error %v, want status 404", g.settings.Name, path, p, err)
			}
		}
	}
}
