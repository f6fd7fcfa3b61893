package fleet_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/amaranthramp/amaranthramp/platform"
)

// serveStore passes a call on to the store, and replaces texts in the response that the store of the tests can't hold.
func (b *testFleet) serveStore(w http.ResponseWriter, r *http.Request) {
	x := b.texts.Load()
	if x == nil {
		b.store.ServeHTTP(w, r)
		return
	}
	p := httptest.NewRecorder()
	b.store.ServeHTTP(p, r)
	for k, v := range p.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(p.Code)
	_, _ = x.WriteString(w, p.Body.String())
}

const goodEntry = `{"address":"10.0.0.9:80","born":%d,"info":{"service":"book","zone":"a","max-concurrency":2},` +
	`"status":{"state":"ready","warmup-left-ms":0}}`

// putEntry writes the entry of a sound target.
func putEntry(b *testFleet, id string) {
	b.store.Put(platform.TargetKind, id, fmt.Sprintf(goodEntry, 1))
}

// TestOddEntryEndsFollowing checks that the members that read the store follow it beside odd entries, and that the
// others get through them what is written after: with one odd entry no member learned of a further change of the kind.
func TestOddEntryEndsFollowing(t *testing.T) {
	b := newTestFleet(t, 0)
	b.texts.Store(strings.NewReplacer(`"@nested@"`, strings.Repeat("[", 400_000)+strings.Repeat("]", 400_000),
		`"@unnamed@"`, `{}`))
	b.store.Put(platform.TargetKind, "i-1", fmt.Sprintf(goodEntry, 1))
	for i := range 6 {
		b.nodes = append(b.nodes, b.start(t, i))
	}
	waitUntil(t, inForceWithin*4, "readers and the first target", func() bool {
		return b.readerCount() >= 2 && b.readerCount() <= 4 && b.haveTargets("i-1")
	})
	b.store.Put(platform.TargetKind, "i-1", `"@nested@"`)
	b.store.Put(platform.TargetKind, "@unnamed@", fmt.Sprintf(goodEntry, 1))
	b.store.Put(platform.TargetKind, "i-3", `"@nested@"`)
	b.store.Put(platform.TargetKind, "i-2", fmt.Sprintf(goodEntry, 2))
	waitUntil(t, inForceWithin, "the second target alone", func() bool { return b.haveTargets("i-2") })
	b.store.Put(platform.TargetKind, "i-3", fmt.Sprintf(goodEntry, 3))
	waitUntil(t, inForceWithin, "the third target", func() bool { return b.haveTargets("i-2", "i-3") })
	b.nodes = append(b.nodes, b.start(t, 6))
	waitUntil(t, inForceWithin*4, "a member that started later", func() bool { return b.haveTargets("i-2", "i-3") })
	if n := b.readerCount(); n >= len(b.nodes) {
		t.Errorf("%d of %d members read the store, want some that don't", n, len(b.nodes))
	}
}

// haveTargets reports whether all nodes have exactly the given targets.
func (b *testFleet) haveTargets(ids ...string) bool {
	for _, n := range b.nodes {
		l := n.catalog.Get().Roster.Available("book")
		if len(l) != len(ids) {
			return false
		}
		for i := range l {
			if string(l[i].ID) != ids[i] {
				return false
			}
		}
	}
	return true
}
