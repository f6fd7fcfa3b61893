package fleet

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/wire"
)

// TestFragments drops, duplicates and reorders the fragments of two readers, and checks that an update is reassembled
// correctly or not at all.
func TestFragments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type fragment struct {
			reader ident.Address
			piece  *wire.Piece
		}
		var l []fragment
		sent := map[ident.Address][]byte{}
		count := rapid.IntRange(1, 5).Draw(t, "fragments")
		for _, r := range []ident.Address{"a", "b"} {
			n := (count-1)*fragmentSize + rapid.IntRange(1, fragmentSize).Draw(t, "rest")
			sent[r] = bytes.Repeat([]byte(r), n)
			for _, p := range split(sent[r], &wire.Piece{Kind: 1, From: 3, AsOf: 5}) {
				for range rapid.IntRange(0, 2).Draw(t, "copies") {
					l = append(l, fragment{r, p})
				}
			}
		}
		s := &reassembler{}
		for _, d := range rapid.Permutation(l).Draw(t, "order") {
			if b := s.add(d.reader, d.piece); b != nil && !bytes.Equal(b, sent[d.reader]) {
				t.Fatalf("reassembled update differs from the one sent: want %d bytes, got %d bytes", len(sent[d.reader]), len(b))
			}
		}
	})
}

// TestInvalidFragments checks that fragments with an invalid kind, index or count are ignored.
func TestInvalidFragments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &reassembler{}
		n := rapid.Uint32Range(0, 2*maxFragments)
		for range 20 {
			b := s.add("a", &wire.Piece{
				Kind: rapid.Uint32Range(0, 9).Draw(t, "kind"), Index: n.Draw(t, "index"), Count: n.Draw(t, "count"),
			})
			if len(b) > 0 {
				t.Fatalf("fragments without data were reassembled to %d bytes, want none", len(b))
			}
		}
	})
}

// TestUpdateRoundTrip checks that an encoded update decodes to the same content.
func TestUpdateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := catalog.Update{Whole: rapid.Bool().Draw(t, "whole"), AsOf: catalog.Position{Era: 2, Revision: 7}}
		for range rapid.IntRange(0, 20).Draw(t, "changes") {
			n.Changes = append(n.Changes, catalog.Change{
				Record: catalog.Record{
					Name: rapid.String().Draw(t, "name"), Revision: 6, Raw: rapid.SliceOf(rapid.Byte()).Draw(t, "raw"),
				},
				Deleted: rapid.Bool().Draw(t, "deleted"),
			})
		}
		b, err := encodeUpdate(catalog.Targets, n, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		m, err := decodeUpdate(b)
		if err != nil {
			t.Fatal(err)
		}
		if m.GetWhole() != n.Whole || m.GetAsOf() != 7 || m.GetEra() != 2 || m.GetKeepMs() != 1000 ||
			len(m.GetRecords()) != len(n.Changes) {
			t.Fatalf("update decoded to %v, want %v", m, n)
		}
		for i, r := range m.GetRecords() {
			c := n.Changes[i]
			if r.GetName() != c.Name || !bytes.Equal(r.GetRaw(), c.Raw) || r.GetDeleted() != c.Deleted {
				t.Fatalf("change decoded to %v, want %v", r, c)
			}
		}
	})
}
