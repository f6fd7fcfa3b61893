package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// standingSource is a store that never answers a reader and records which members are marked as absent.
type standingSource struct {
	catalog.Source
	absent []string
}

func (s *standingSource) List(ctx context.Context, _ catalog.Kind, _ string, _ catalog.Freshness,
) (catalog.Page, error) {
	<-ctx.Done()
	return catalog.Page{}, ctx.Err()
}

func (s *standingSource) WriteStanding(_ context.Context, m roster.Member, _ ident.Revision, n catalog.Standing) error {
	if n == catalog.Absent {
		s.absent = append(s.absent, string(m.Name))
	}
	return nil
}

// shortKeepers are keepers that are short if set.
type shortKeepers bool

func (shortKeepers) Active() bool  { return true }
func (k shortKeepers) Short() bool { return bool(k) }

// TestMarkAbsent checks which of eight members a reader marks as absent, and when: not those that only seem silent
// since the reader was paused, or that have just shown that they run, and none while the allowances suffice without
// them.
func TestMarkAbsent(t *testing.T) {
	const never = 0
	rows := []struct {
		name    string
		centres int
		short   bool
		silent  []string
		// heardAgain is when the silent members are heard and fall silent again, and returnedAt when they, having been
		// absent, return; both in milliseconds, or never.
		heardAgain, returnedAt int
		// rival means that a reader of a lower rank is active.
		rival bool
		// want is when the members are marked, in milliseconds.
		want int
	}{
		{"two data centres", 4, false, []string{"m1", "m2"}, never, never, false, 1000},
		{"heard in between", 4, false, []string{"m1", "m2"}, 900, never, false, 2000},
		{"returned a moment ago", 4, false, []string{"m1", "m2"}, never, 100, false, 30100},
		{"one data centre of four", 4, false, []string{"m1", "m5"}, never, never, false, 12000},
		{"one data centre of three", 3, false, []string{"m1", "m4"}, never, never, false, 1000},
		{"one member", 3, false, []string{"m1"}, never, never, false, 12000},
		{"one member, and requests are refused", 3, true, []string{"m1"}, never, never, false, 1000},
		{"another reader comes first", 4, false, []string{"m1", "m2"}, never, never, true, 1500},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := clock.NewFake()
			c.Advance(time.Hour)
			g := catalog.New(c, zerolog.Nop())
			source := &standingSource{}
			l := catalog.NewFollower(g, source, c, zerolog.Nop())
			f := New(roster.Member{Name: "m0"}, 0, false, WarmupRateBound{}, g, l, source, c, zerolog.Nop())
			f.ManageKeepers(shortKeepers(r.short), time.Second)
			l.Start(t.Context(), "test")
			load := func(revision ident.Revision, standing catalog.Standing) {
				var records []catalog.Record
				for i := range 8 {
					e := catalog.Membership{Member: roster.Member{
						Name: ident.VM(fmt.Sprint("m", i)), DataCentre: ident.DataCentre(fmt.Sprint(i % r.centres)), Capacity: 8 - i,
					}}
					if slices.Contains(r.silent, string(e.Member.Name)) {
						e.Standing = standing
					}
					if r.rival && i == 0 {
						e.Member.Capacity = 0
					}
					records = append(records, catalog.Record{Name: string(e.Member.Name), Revision: revision, Entry: e})
				}
				g.Replace(catalog.Members, records, catalog.Position{Revision: revision})
			}
			load(1, catalog.Present)
			if r.returnedAt != never {
				load(2, catalog.Absent)
			}
			s, start := newStandings(f), c.Now()
			for _, v := range r.silent {
				f.presence.heardAt[ident.VM(v)] = start
			}
			for at := 0; at < 40_000 && len(source.absent) == 0; at += 100 {
				f.presence.silent = map[ident.VM]struct{}{}
				for _, v := range r.silent {
					if r.heardAgain == never || at != r.heardAgain {
						f.presence.silent[ident.VM(v)] = struct{}{}
					}
				}
				if r.returnedAt != never && at == r.returnedAt {
					load(3, catalog.Returning)
				}
				if r.rival {
					f.readers["m1"] = readerState{receivedAt: c.Now()}
				}
				v := g.Get()
				s.recordReturns(c.Now(), v)
				s.markAbsent(t.Context(), c.Now(), v)
				if len(source.absent) > 0 && (at != r.want || len(source.absent) != len(r.silent)) {
					t.Errorf("members %v marked after %d ms, want %v after %d", source.absent, at, r.silent, r.want)
				}
				c.Advance(100 * time.Millisecond)
			}
			if len(source.absent) == 0 {
				t.Errorf("no member marked, want %v after %d ms", r.silent, r.want)
			}
		})
	}
}
