package catalog

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// unreadableStore is a store whose watches of targets, and if asked for their listings too, can't be read to the end
// once there is a change.
type unreadableStore struct {
	*fakeStore
	listings atomic.Bool
}

func (u *unreadableStore) List(ctx context.Context, k Kind, after string, f Freshness) (Page, error) {
	if k == Targets && u.listings.Load() {
		return Page{}, ErrUnreadable
	}
	return u.fakeStore.List(ctx, k, after, f)
}

func (u *unreadableStore) Watch(ctx context.Context, k Kind, since ident.Revision, wait time.Duration) (Batch, error) {
	b, err := u.fakeStore.Watch(ctx, k, since, wait)
	if k == Targets && err == nil && len(b.Changes) > 0 {
		return Batch{}, fmt.Errorf("watch: %w", ErrUnreadable)
	}
	return b, err
}

// TestUnreadableWatch checks that a kind whose watch can't be read is listed, and that the copy isn't confirmed while
// neither can be read: readers repeated the same watch until the store dropped its history, and went on confirming a
// copy that had become out of date.
func TestUnreadableWatch(t *testing.T) {
	m := &unreadableStore{fakeStore: newFakeStore()}
	c := clock.New()
	g := New(c, zerolog.Nop())
	f := NewFollower(g, m, c, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.Start(ctx, "test")
	waitFor(t, "the catalog is complete", func() bool { return g.Get().Complete })
	m.put(Targets, "t-1", registration("t-1", false))
	waitFor(t, "the catalog has the target", func() bool { return g.Get().Roster.Size() == 1 })

	m.listings.Store(true)
	m.put(Targets, "t-2", registration("t-2", false))
	unconfirmed := func() bool {
		_, before := f.Reading()
		time.Sleep(300 * time.Millisecond)
		_, after := f.Reading()
		return before == after
	}
	waitFor(t, "the copy is no longer confirmed", unconfirmed)
	m.listings.Store(false)
	waitFor(t, "the catalog has both targets and is confirmed", func() bool {
		return g.Get().Roster.Size() == 2 && !unconfirmed()
	})
}

// TestOddEntriesAreNotKept checks that objects which can't be decoded take no memory, however many another writer
// leaves and however they come, and that the others beside them are used.
func TestOddEntriesAreNotKept(t *testing.T) {
	const count = 5000
	odd := func(n string, r ident.Revision) Record {
		return Record{Name: n, Revision: r, Entry: Undecodable{Err: errors.New("cause")}}
	}
	sound := Record{Name: "t", Revision: 1, Entry: registration("t", false)}
	listing, batch := []Record{sound}, []Change{}
	for i := range count {
		listing = append(listing, odd(fmt.Sprint("listed-", i), 2))
		batch = append(batch, Change{Record: odd(fmt.Sprint("written-", i), 3)})
	}
	g := New(clock.NewFake(), zerolog.Nop())
	g.Replace(Targets, listing, at(2))
	g.Apply(Targets, Batch{Changes: batch, AsOf: at(3)})
	for i := range count {
		g.Apply(Targets, Batch{Changes: batch[i : i+1], AsOf: at(ident.Revision(4 + i))})
	}
	g.Replace(Targets, append(listing, Record{Name: "u", Revision: 2, Entry: registration("u", false)}), at(2*count))
	if _, asOf := g.Positions(); asOf[Targets] != at(2*count) {
		t.Errorf("current up to %v, want %v", asOf[Targets], at(2*count))
	}
	h := g.history[Targets]
	if n := len(g.records[Targets]); n != 2 || h.changes > 2 || len(h.batches) > 2 || len(g.odd) > maxOddLogged {
		t.Errorf("%d records, %d changes in %d batches and %d odd revisions kept, want 2, 2 and 2, and at most %d", n,
			h.changes, len(h.batches), len(g.odd), maxOddLogged)
	}
	if n := g.Get().Roster.Size(); n != 2 {
		t.Errorf("%d targets, want 2", n)
	}
	if u := g.UpdateSince(Targets, Position{}); len(u.Changes) != 2 {
		t.Errorf("%d records passed on, want 2", len(u.Changes))
	}
}

// TestOddEntryIsNotRetained checks that a target whose entry has become odd is out at once, also right after an
// outage.
func TestOddEntryIsNotRetained(t *testing.T) {
	for _, listed := range []bool{false, true} {
		g := New(clock.NewFake(), zerolog.Nop())
		g.Replace(Targets, []Record{{Name: "t", Revision: 1, Entry: registration("t", false)}}, at(2))
		g.StoreRegained(reregisterGrace)
		if listed {
			g.Replace(Targets, []Record{oddRecord("t", 3)}, at(3))
		} else {
			g.Apply(Targets, Batch{Changes: []Change{{Record: oddRecord("t", 3)}}, AsOf: at(3)})
		}
		if n := g.Get().Roster.Size(); n != 0 {
			t.Errorf("listed %t: %d targets after the entry has become odd, want none", listed, n)
		}
	}
}
