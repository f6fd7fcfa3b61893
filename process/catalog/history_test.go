package catalog

import (
	"fmt"
	"maps"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/route"
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
	n := g.UpdateSince(Targets, at(1))
	if n.Whole || len(n.Changes) != records {
		t.Errorf("complete listing: %t with %d changes, want only the last change of %d records", n.Whole, len(n.Changes),
			records)
	}
	for _, c := range n.Changes {
		if r := g.records[Targets][c.Name]; r.Revision != c.Revision {
			t.Errorf("change of %s at revision %d, want its last one at %d", c.Name, c.Revision, r.Revision)
		}
	}
}

// TestVersionsAreNotKept checks that the history holds one version of the configuration however many there are, and a
// bounded size of other objects, and that members that are behind get what they lack: processes kept up to 1,000 whole
// versions with their routing tables, until all were ended for their memory at once.
func TestVersionsAreNotKept(t *testing.T) {
	const versions, size = 1000, 300 << 10
	g, member := New(clock.NewFake(), zerolog.Nop()), New(clock.NewFake(), zerolog.Nop())
	for _, c := range []*Catalog{g, member} {
		c.Replace(Configurations, nil, at(1))
		c.Replace(Targets, nil, at(1))
	}
	last := ident.Revision(versions + 1)
	for r := ident.Revision(2); r <= last; r++ {
		o := Record{Name: "main", Revision: r, Raw: make([]byte, size),
			Entry: Configuration{Table: &route.Table{Version: ident.Version(r)}}}
		g.Apply(Configurations, Batch{Changes: []Change{{Record: o}}, AsOf: at(r)})
		if h := &g.history[Configurations]; h.changes > 1 || len(h.batches) > 1 || h.bytes > size+len(o.Name) {
			t.Fatalf("%d changes in %d batches with %d bytes kept, want one version", h.changes, len(h.batches), h.bytes)
		}
	}
	for _, since := range []Position{at(1), at(last / 2), at(last - 1)} {
		u := g.UpdateSince(Configurations, since)
		if u.Whole || len(u.Changes) != 1 || u.Changes[0].Revision != last {
			t.Errorf("since %d: whole %t with %d changes, want the last version", since.Revision, u.Whole, len(u.Changes))
		}
		member.ApplyUpdate(Configurations, u)
	}
	if v := member.Get().Table; v == nil || v.Version != ident.Version(last) {
		t.Errorf("member has %+v, want version %d", v, last)
	}
	for r := ident.Revision(2); r <= 100; r++ {
		o := Record{Name: fmt.Sprint("t-", r), Revision: r, Raw: make([]byte, size)}
		g.Apply(Targets, Batch{Changes: []Change{{Record: o}}, AsOf: at(r)})
		if n := g.history[Targets].bytes; n > maxHistoryBytes {
			t.Fatalf("history of %d bytes, want at most %d", n, maxHistoryBytes)
		}
	}
	if u := g.UpdateSince(Targets, at(1)); !u.Whole || len(u.Changes) != 99 {
		t.Errorf("whole %t with %d changes for a member that is far behind, want all 99 records", u.Whole, len(u.Changes))
	}
}

// TestHistoryCatchesUp makes random changes in a reader's catalog, and lets a member that has taken some of its
// updates take the next one at random times. Checks that it then has the reader's records.
func TestHistoryCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		reader, member := New(c, zerolog.Nop()), New(c, zerolog.Nop())
		reader.Replace(Targets, nil, at(1))
		member.Replace(Targets, nil, at(1))
		for r := ident.Revision(2); r < 30; r++ {
			o := Record{Name: fmt.Sprint("t-", rapid.IntRange(0, 4).Draw(t, "name")), Revision: r}
			reader.Apply(Targets, Batch{
				Changes: []Change{{Record: o, Deleted: rapid.Bool().Draw(t, "deleted")}}, AsOf: at(r),
			})
			if rapid.IntRange(0, 3).Draw(t, "fetch") > 0 {
				continue
			}
			_, asOf := member.Positions()
			u := reader.UpdateSince(Targets, asOf[Targets])
			if u.Whole {
				t.Fatal("complete listing, want the changes")
			}
			member.ApplyUpdate(Targets, u)
			if !maps.EqualFunc(reader.records[Targets], member.records[Targets], sameRecord) {
				t.Fatalf("at %d the member has %v, want %v", r, member.records[Targets], reader.records[Targets])
			}
		}
	})
}
