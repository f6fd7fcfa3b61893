package fleet

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// TestShareWhileMembersUnknown checks that a VM that does not know the members yet uses no allowance of the fleet,
// rather than all of it, and that registrations lost by the store don't raise its part.
func TestShareWhileMembersUnknown(t *testing.T) {
	g := catalog.New(clock.NewFake(), zerolog.Nop())
	f := &Fleet{catalog: g}
	if a := f.Share(12); a != 0 {
		t.Errorf("share of 12 is %.1f while the members are unknown, want 0", a)
	}
	var l []catalog.Record
	for i, name := range []ident.VM{"a", "b", "c"} {
		l = append(l, catalog.Record{
			Name: string(name), Revision: ident.Revision(i + 1), Entry: catalog.Membership{Member: roster.Member{Name: name}},
		})
	}
	g.Replace(catalog.Members, l, catalog.Position{Revision: 3})
	if a := f.Share(12); a != 4 {
		t.Errorf("share of 12 is %.1f with three members, want 4", a)
	}
	g.Replace(catalog.Members, l[:1], catalog.Position{Era: 1, Revision: 1})
	if a := f.Share(12); a != 4 {
		t.Errorf("share of 12 is %.1f after the store has lost two registrations, want 4", a)
	}
}
