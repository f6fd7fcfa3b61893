package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// olderKinds is the number of kinds in the build before roll-outs, whose members reject other lengths of the lists.
const olderKinds = 4

// newMember returns a member at revision 1 of all kinds that follows roll-outs too if asked to.
func newMember(rollouts bool) (*Fleet, *catalog.Catalog) {
	c := clock.NewFake()
	c.Advance(time.Hour)
	var more []catalog.Kind
	if rollouts {
		more = append(more, catalog.Rollouts)
	}
	g := catalog.New(c, zerolog.Nop(), more...)
	f := catalog.NewFollower(g, nil, c, zerolog.Nop())
	for _, k := range g.Kinds() {
		g.Replace(k, nil, catalog.Position{Revision: 1})
	}
	return New(roster.Member{Name: "vm-1"}, 0, true, WarmupRateBound{}, g, f, undecodable{}, c, zerolog.Nop()), g
}

// TestDigestForOlderBuild checks that members of the build before roll-outs accept digests and fetches, whose lists
// must have four entries, and that without roll-outs a digest has not one byte more than before.
func TestDigestForOlderBuild(t *testing.T) {
	for _, rollouts := range []bool{false, true} {
		f, _ := newMember(rollouts)
		d := f.newDigest(nil)
		if len(d.GetChanged()) != olderKinds || len(d.GetAsOf()) != olderKinds || len(d.GetSums()) != olderKinds {
			t.Errorf("roll-outs %t: lists of %d, %d and %d entries, want 4", rollouts, len(d.GetChanged()), len(d.GetAsOf()),
				len(d.GetSums()))
		}
		b, err := proto.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		d.Extra = nil
		if without, err := proto.Marshal(d); err != nil || (len(b) == len(without)) == rollouts {
			t.Errorf("roll-outs %t: digest of %d bytes, %d without the further kinds, error %v", rollouts, len(b),
				len(without), err)
		}
		q := f.newSince(&pendingFetch{})
		if len(q.GetAsOf()) != olderKinds || len(q.GetWant()) != olderKinds {
			t.Errorf("fetch with %d positions and %d wanted, want 4 of each", len(q.GetAsOf()), len(q.GetWant()))
		}
		// The older build rejects unknown fields of a fetch.
		text, err := protojson.Marshal(q)
		var fields map[string]any
		if err != nil || json.Unmarshal(text, &fields) != nil {
			t.Fatal(err)
		}
		for n := range fields {
			if n != "AsOf" && n != "Eras" && n != "Want" && n != "WantEras" {
				t.Errorf("fetch has the field %s, which the older build rejects", n)
			}
		}
	}
}

// TestDigestOfOlderBuild checks that a digest without the kind of roll-outs confirms the other kinds, and leaves the
// position of the roll-outs as it was: the reader may not know of an order that exists.
func TestDigestOfOlderBuild(t *testing.T) {
	f, g := newMember(true)
	f.handleDigest(&wire.Digest{
		Member: "vm-2", Changed: []uint64{1, 1, 1, 1}, AsOf: []uint64{9, 9, 9, 9}, Sums: []uint64{0, 0, 0, 0},
	}, "127.0.0.1:1")
	if f.ConfirmedAt() == 0 {
		t.Error("copy is not confirmed by a digest of the older build, so that the member would never become ready")
	}
	_, asOf := g.Positions()
	if asOf[catalog.Targets].Revision != 9 || asOf[catalog.Rollouts].Revision != 1 {
		t.Errorf("targets as of %d and roll-outs as of %d, want 9 and 1", asOf[catalog.Targets].Revision,
			asOf[catalog.Rollouts].Revision)
	}
}

// TestExtraKindDigest checks that a digest with the kind of roll-outs shows that this VM lacks an order, and that a
// member without roll-outs ignores it.
func TestExtraKindDigest(t *testing.T) {
	for _, rollouts := range []bool{false, true} {
		f, g := newMember(rollouts)
		d := &wire.Digest{
			Member: "vm-2", Changed: []uint64{1, 1, 1, 1}, AsOf: []uint64{9, 9, 9, 9}, Sums: []uint64{0, 0, 0, 0},
			Extra: []*wire.KindState{{Kind: uint32(catalog.Rollouts), Changed: 7, AsOf: 9, Sum: 3}},
		}
		f.handleDigest(d, "127.0.0.1:1")
		select {
		case p := <-f.fetchQueue.Out():
			if !rollouts || p.changed[catalog.Rollouts].Revision != 7 {
				t.Errorf("roll-outs %t: fetch of %+v queued", rollouts, p.changed)
			}
		case <-time.After(50 * time.Millisecond):
			if rollouts {
				t.Error("no fetch queued, want one since an order is missing")
			}
		}
		if !rollouts {
			continue
		}
		o := catalog.Record{Name: "s", Revision: 7, Raw: []byte("{}")}
		u := catalog.Update{Changes: []catalog.Change{{Record: o}}, AsOf: catalog.Position{Revision: 9}}
		b, err := encodeUpdate(catalog.Rollouts, u, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.applyUpdate(b); err != nil {
			t.Fatal(err)
		}
		if _, asOf := g.Positions(); asOf[catalog.Rollouts].Revision != 9 {
			t.Errorf("roll-outs as of %d after the update, want 9", asOf[catalog.Rollouts].Revision)
		}
	}
}

// TestKindCall checks the method that fetches the orders: the answer holds the changes after a position. A member
// without roll-outs, like one of the older build, refuses it.
func TestKindCall(t *testing.T) {
	ask := func(f *Fleet, asOf ident.Revision) (*wire.News, error) {
		q, err := protojson.Marshal(&wire.KindSince{Kind: uint32(catalog.Rollouts), AsOf: uint64(asOf)})
		if err != nil {
			t.Fatal(err)
		}
		m := json.RawMessage(q)
		build, err := f.prepareAnswer(t.Context(), &jsonrpc2.Request{Method: methodKindNews, Params: &m})
		if err != nil {
			return nil, err
		}
		u, err := build()
		if err != nil {
			return nil, err
		}
		a, err := encodeNews(u)
		if err != nil {
			return nil, err
		}
		b, _ := a.(json.RawMessage)
		n := &wire.News{}
		return n, protojson.Unmarshal(b, n)
	}
	f, g := newMember(true)
	o := catalog.Record{Name: "s", Revision: 6, Raw: []byte("{}")}
	g.Apply(catalog.Rollouts, catalog.Batch{Changes: []catalog.Change{{Record: o}}, AsOf: catalog.Position{Revision: 6}})
	for asOf, want := range map[ident.Revision]int{0: 1, 1: 1, 6: 0} {
		if n, err := ask(f, asOf); err != nil || len(n.GetPacked()) != want {
			t.Errorf("since %d: %d updates, error %v, want %d", asOf, len(n.GetPacked()), err, want)
		}
	}
	without, _ := newMember(false)
	if _, err := ask(without, 1); err == nil {
		t.Error("a member that does not follow roll-outs answered a fetch of them, want an error")
	}
}
