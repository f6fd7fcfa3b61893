package catalog

import (
	"fmt"
	"maps"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestApplyDigest makes random changes in the catalog of a reader, of which a member receives only some, and then
// applies the reader's digest to the member's catalog. The digest says that the reader is current up to a later
// revision. Checks that the member becomes current up to that revision exactly if it has the same records, or has
// seen the reader's last change, and otherwise stays where it was.
func TestApplyDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		reader, member := New(c, zerolog.Nop()), New(c, zerolog.Nop())
		reader.Replace(Targets, nil, at(1))
		member.Replace(Targets, nil, at(1))
		last := ident.Revision(1)
		for r := ident.Revision(2); r < 12; r++ {
			o := Record{Name: fmt.Sprint("t-", rapid.IntRange(0, 2).Draw(t, "name")), Revision: r}
			b := Batch{Changes: []Change{{Record: o, Deleted: rapid.Bool().Draw(t, "deleted")}}, AsOf: at(r)}
			switch rapid.IntRange(0, 2).Draw(t, "who") {
			case 0:
				reader.Apply(Targets, b)
				member.Apply(Targets, b)
				last = r
			case 1:
				reader.Apply(Targets, b)
				last = r
			}
		}
		_, before := member.Positions()
		same := maps.EqualFunc(reader.records[Targets], member.records[Targets], sameRecord)
		member.ApplyDigest(Targets, at(last), reader.Checksums()[Targets], at(last+5))
		_, after := member.Positions()
		want := before[Targets].Revision
		if same || want >= last {
			want = last + 5
		}
		if after[Targets] != at(want) {
			t.Fatalf("member is current up to revision %d, want %d (same records: %t, reader's last change %d)",
				after[Targets].Revision, want, same, last)
		}
	})
}

// TestHistoryCoversLargeBatches checks that a member a few large batches behind gets changes, not a complete listing.
func TestHistoryCoversLargeBatches(t *testing.T) {
	const records, batch = 3000, 900
	g := New(clock.NewFake(), zerolog.Nop())
	var l []Record
	for i := range records {
		l = append(l, Record{Name: fmt.Sprint("t-", i), Revision: 1})
	}
	g.Replace(Targets, l, at(1))
	for n := range 4 {
		b := Batch{AsOf: at(ident.Revision(n + 2))}
		for i := range batch {
			o := l[(n*batch+i)%records]
			o.Revision = b.AsOf.Revision
			b.Changes = append(b.Changes, Change{Record: o})
		}
		g.Apply(Targets, b)
	}
	if n := g.UpdateSince(Targets, at(1)); n.Whole || len(n.Changes) != 4*batch {
		t.Errorf("complete listing: %t with %d changes, want only the %d changes", n.Whole, len(n.Changes), 4*batch)
	}
}
