package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

func oddRecord(name string, r ident.Revision) Record {
	return Record{Name: name, Revision: r, Entry: Undecodable{Err: errors.New("cause")}}
}

// TestOddEntryUnreported checks that an odd entry is in the log once a revision, with its name, kind and cause: in the
// first listing and in a large batch it was not, so that nobody saw why a target got no requests.
func TestOddEntryUnreported(t *testing.T) {
	var b bytes.Buffer
	g := New(clock.NewFake(), zerolog.New(&b))
	expect := func(step string, want ...string) {
		t.Helper()
		for _, w := range want {
			if n := strings.Count(b.String(), `"Kind":"targets","Name":"`+w+`","Revision":`); n != 1 {
				t.Errorf("%s: entry %q is in the log %d times, want once:\n%s", step, w, n, b.String())
			}
		}
		if n := strings.Count(b.String(), `"error":"cause"`); n != len(want) {
			t.Errorf("%s: %d causes in the log, want %d:\n%s", step, n, len(want), b.String())
		}
		b.Reset()
	}
	g.Replace(Targets, []Record{oddRecord("i-1", 1), oddRecord("i-2", 2)}, Position{Revision: 2})
	expect("first listing", "i-1", "i-2")
	g.Replace(Targets, []Record{oddRecord("i-1", 1), oddRecord("i-2", 3)}, Position{Revision: 3})
	expect("further listing", "i-2")
	g.Apply(Targets, Batch{Changes: []Change{{Record: oddRecord("i-2", 3)}}, AsOf: Position{Revision: 4}})
	expect("the same again")
	many := []Change{{Record: oddRecord("i-3", 5)}, {Record: oddRecord(strings.Repeat("i", 1000), 6)}}
	for i := range 2 * maxLoggedChanges {
		many = append(many, Change{Record: Record{Name: fmt.Sprint("t-", i), Revision: 7, Entry: registration("t", false)}})
	}
	g.Apply(Targets, Batch{Changes: many, AsOf: Position{Revision: 7}})
	expect("large batch", "i-3", strings.Repeat("i", maxLoggedName)+"...")
}

// TestOddEntryBackAfterCopy checks that a target whose entry has become odd stays out when the store comes back from a
// copy that still has the good one, as after a removal: it got requests again.
func TestOddEntryBackAfterCopy(t *testing.T) {
	g := New(clock.NewFake(), zerolog.Nop())
	good := Record{Name: "i-1", Revision: 1, Entry: registration("i-1", false)}
	g.Replace(Targets, []Record{good}, Position{Era: 1, Revision: 1})
	g.Apply(Targets, Batch{Changes: []Change{{Record: oddRecord("i-1", 2)}}, AsOf: Position{Era: 1, Revision: 2}})
	if n := len(g.Get().Roster.Available("s")); n != 0 {
		t.Fatalf("%d targets available after the entry became odd, want none", n)
	}
	g.Replace(Targets, []Record{good}, Position{Era: 2, Revision: 1})
	if n := len(g.Get().Roster.Available("s")); n != 0 {
		t.Errorf("%d targets available in the new era, want none", n)
	}
	good.Revision = 2
	g.Apply(Targets, Batch{Changes: []Change{{Record: good}}, AsOf: Position{Era: 2, Revision: 2}})
	if n := len(g.Get().Roster.Available("s")); n != 1 {
		t.Errorf("%d targets available after the target wrote again, want one", n)
	}
}
