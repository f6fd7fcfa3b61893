package fleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// fleetSize is the size of the largest fleet known.
const fleetSize = 471

// countReaders returns how many members of a large fleet of ranks 0 to fleetSize-1 would read in a situation.
func countReaders(s readerSituation) int {
	n := 0
	s.members = fleetSize
	for s.rank = range fleetSize {
		s.hash = float64(s.rank) / fleetSize
		if s.reasonToRead() != "" {
			n++
		}
	}
	return n
}

// TestReadersOfLargeFleet checks how many of 471 members would read the store in situations in which all members know
// the same. Several of them once made hundreds of members read within a second.
func TestReadersOfLargeFleet(t *testing.T) {
	at := clock.Instant(time.Hour)
	ago := func(d time.Duration) clock.Instant { return at.Add(-d) }
	rows := []struct {
		name      string
		situation readerSituation
		min, max  int
	}{
		{"calm", readerSituation{
			started: ago(time.Minute), confirmed: ago(time.Second), existingFleet: true, freshReaders: 2,
			hasActiveReader: true, newestConfirmation: ago(time.Second),
		}, 2, 2},
		{"both readers have just failed", readerSituation{
			started: ago(time.Minute), confirmed: ago(staleAfter + 150*time.Millisecond), existingFleet: true,
		}, 3, 8},
		{"many objects change, all members are fetching", readerSituation{
			started: ago(time.Minute), confirmed: ago(2 * time.Second), existingFleet: true, freshReaders: 2,
			hasActiveReader: true, newestConfirmation: ago(100 * time.Millisecond), behindSince: ago(500 * time.Millisecond),
		}, 2, 2},
		{"no member can fetch", readerSituation{
			started: ago(time.Minute), confirmed: ago(2 * time.Second), existingFleet: true, freshReaders: 2,
			hasActiveReader: true, newestConfirmation: ago(100 * time.Millisecond),
			behindSince: ago(fetchGrace + rankDelaySpan),
		}, fleetSize, fleetSize},
		{"the store has come back after an outage of 8 s", readerSituation{
			started: ago(time.Minute), confirmed: ago(8 * time.Second), existingFleet: true, freshReaders: 1,
			hasActiveReader: true, newestConfirmation: ago(100 * time.Millisecond),
			behindSince: ago(100 * time.Millisecond), shortageSince: ago(100 * time.Millisecond),
		}, 2, 2},
		{"outage of 3 s", readerSituation{
			started: ago(time.Minute), confirmed: ago(3 * time.Second), existingFleet: true, hasActiveReader: true,
			newestConfirmation: ago(3 * time.Second),
		}, 16, 16},
		{"outage that began as one of two readers had failed", readerSituation{
			started: ago(time.Minute), confirmed: ago(2 * time.Second), existingFleet: true, freshReaders: 1,
			hasActiveReader: true, newestConfirmation: ago(2 * time.Second), shortageSince: ago(2500 * time.Millisecond),
		}, 16, 16},
		{"one of two readers has failed", readerSituation{
			started: ago(time.Minute), confirmed: ago(500 * time.Millisecond), existingFleet: true, freshReaders: 1,
			hasActiveReader: true, newestConfirmation: ago(500 * time.Millisecond), shortageSince: ago(1600 * time.Millisecond),
		}, 3, 32},
		{"all have restarted 2 s ago", readerSituation{started: ago(2 * time.Second), existingFleet: true}, 16, 32},
		{"all have restarted 5 s ago, no reader came up", readerSituation{
			started: ago(5 * time.Second), existingFleet: true,
		}, 48, 80},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			r.situation.now = at
			if n := countReaders(r.situation); n < r.min || n > r.max {
				t.Errorf("%d of %d members would read the store, want %d to %d", n, fleetSize, r.min, r.max)
			}
		})
	}
}

// TestConfirmedAfterCatchUp checks that a member's copy counts as confirmed as of a digest once it has the changes that
// the digest listed, without a further digest, and that its list of members may lag.
func TestConfirmedAfterCatchUp(t *testing.T) {
	c := clock.NewFake()
	c.Advance(time.Hour)
	g := catalog.New(c, zerolog.Nop())
	f := catalog.NewFollower(g, nil, c, zerolog.Nop())
	n := New(roster.Member{Name: "vm-1"}, 0, true, WarmupRateBound{}, g, f, nil, c, zerolog.Nop())
	for k := range catalog.KindCount {
		g.Replace(k, nil, catalog.Position{Revision: 1})
	}
	n.handleDigest(&wire.Digest{
		Member: "vm-2", Changed: []uint64{5, 6, 1, 9}, AsOf: []uint64{9, 9, 9, 9}, Sums: []uint64{1, 1, 1, 1}, AgeMs: 200,
	}, "127.0.0.1:1")
	heardAt := c.Now()
	if at := n.ConfirmedAt(); at != 0 {
		t.Fatalf("confirmed at %d while changes are missing, want never", at)
	}
	// The readers go on to announce changes that the fetch under way does not bring.
	for i := range uint64(10) {
		c.Advance(30 * time.Millisecond)
		n.handleDigest(&wire.Digest{
			Member: "vm-2", Changed: []uint64{5, 10 + i, 1, 9}, AsOf: []uint64{30, 30, 30, 30}, Sums: []uint64{1, 1, 1, 1},
		}, "127.0.0.1:1")
	}
	for k, r := range map[catalog.Kind]ident.Revision{catalog.Configurations: 5, catalog.Targets: 6} {
		u := catalog.Update{
			Changes: []catalog.Change{{Record: catalog.Record{Name: "x", Revision: r}}}, AsOf: catalog.Position{Revision: 9},
		}
		b, err := encodeUpdate(k, u, 0)
		if err != nil {
			t.Fatal(err)
		}
		n.source = undecodable{}
		if err := n.applyUpdate(b); err != nil {
			t.Fatal(err)
		}
	}
	if want, at := heardAt.Add(-200*time.Millisecond), n.ConfirmedAt(); at != want {
		t.Errorf("confirmed at %d, want %d, 200 ms before the digest", at, want)
	}
}

// undecodable is a source whose objects can't be decoded.
type undecodable struct{ catalog.Source }

func (undecodable) Decode(catalog.Kind, []byte) (catalog.Record, error) {
	return catalog.Record{}, nil
}

// TestAnnouncedIsNotSent checks that a reader still sends a change that another reader has announced in a digest but
// not sent. A VM that began to read just before a change announced it without sending it; the other readers then took
// it for sent, and all members had to fetch it.
func TestAnnouncedIsNotSent(t *testing.T) {
	c := clock.NewFake()
	g := catalog.New(c, zerolog.Nop())
	f := catalog.NewFollower(g, nil, c, zerolog.Nop())
	n := New(roster.Member{Name: "vm-1"}, 0, true, WarmupRateBound{}, g, f, nil, c, zerolog.Nop())
	for k := range catalog.KindCount {
		g.Replace(k, nil, catalog.Position{Revision: 1})
	}
	n.pushUpdates(t.Context())
	d := &wire.Digest{
		Member: "vm-2", Changed: []uint64{1, 6, 1, 1}, AsOf: []uint64{6, 6, 6, 6}, Sums: []uint64{0, 1, 0, 0},
	}
	n.handleDigest(d, "127.0.0.1:1")
	o := catalog.Record{Name: "x", Revision: 6}
	g.Apply(catalog.Targets, catalog.Batch{
		Changes: []catalog.Change{{Record: o}}, AsOf: catalog.Position{Revision: 6},
	})
	if !n.hasUnsentUpdates() {
		t.Error("reader takes an announced change for sent, want it to send the change")
	}
	n.handleFragment(&reassembler{}, &wire.Piece{Kind: 1, From: 1, AsOf: 6, Count: 1}, "127.0.0.1:1")
	if n.hasUnsentUpdates() {
		t.Error("reader sends a change that another reader has sent, want it not to")
	}
}
