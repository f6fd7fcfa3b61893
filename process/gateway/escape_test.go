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
