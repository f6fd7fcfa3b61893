package catalog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// lossyStore is a store whose answers to the watches of some kinds get lost: the call is not answered before its
// timeout. Unlike those of fakeStore, its watches wait as long as they are asked to.
type lossyStore struct {
	*fakeStore

	mu sync.Mutex
	// losses is how many more answers with changes get lost for each kind, and lastLossAt when the last one did.
	losses     [KindCount]int
	lastLossAt time.Time
}

// lose has the next answers with changes of a kind get lost.
func (s *lossyStore) lose(k Kind, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses[k] = n
}

func (s *lossyStore) loses(k Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.losses[k] == 0 {
		return false
	}
	s.losses[k]--
	s.lastLossAt = time.Now()
	return true
}

func (s *lossyStore) lastLoss() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLossAt
}

func (s *lossyStore) Watch(ctx context.Context, k Kind, since ident.Revision, wait time.Duration) (Batch, error) {
	deadline := time.Now().Add(wait)
	for {
		b, err := s.fakeStore.Watch(ctx, k, since, time.Millisecond)
		switch {
		case err == nil && len(b.Changes) > 0 && s.loses(k):
			<-ctx.Done()
			return Batch{}, ctx.Err()
		case err != nil || len(b.Changes) > 0 || time.Now().After(deadline):
			return b, err
		}
	}
}

// change writes an object of a kind that differs from all earlier ones.
func (s *lossyStore) change(k Kind, n int) {
	name := fmt.Sprintf("%s-%d", k, n)
	switch k {
	case Configurations:
		s.put(k, "main", configuration(ident.Version(n+1)))
	case Evacuations:
		s.put(k, name, Evacuation{DataCentre: ident.DataCentre(name)})
	case Rollouts:
		s.put(k, name, Rollout{Service: ident.Service(name), NewVersion: "v2"})
	default:
		s.put(k, name, registration(name, false))
	}
}

// newLossyFollower starts a follower of a new store and waits until it has read everything.
func newLossyFollower(ctx context.Context, t interface {
	Helper()
	Fatalf(format string, args ...any)
},
) (*lossyStore, *Catalog, *Follower) {
	t.Helper()
	s := &lossyStore{fakeStore: newFakeStore()}
	c := clock.New()
	g := New(c, zerolog.Nop(), Rollouts)
	f := NewFollower(g, s, c, zerolog.Nop())
	f.Start(ctx, "test")
	for range 1000 {
		if _, confirmed := f.Reading(); confirmed != 0 {
			return s, g, f
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("store not read within 1 s")
	return nil, nil, nil
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// applyBound is the time in which a change has to be in force.
const applyBound = 2 * time.Second

// TestLostAnswersNoticed checks, for each kind, that a change is read within the bound although the answers to several
// watches that tell of it get lost, also if another kind changes at once afterwards, whose watch works. The change was
// missed until the watch ended by itself.
func TestLostAnswersNoticed(t *testing.T) {
	for lost := range KindCount {
		for other := range KindCount {
			for losses := 1; losses <= 3; losses += 2 {
				if other == lost && losses > 1 {
					continue
				}
				t.Run(fmt.Sprintf("%s lost %d times and %s", lost, losses, other), func(t *testing.T) {
					t.Parallel()
					s, g, _ := newLossyFollower(t.Context(), t)
					s.lose(lost, losses)
					s.change(lost, 0)
					time.Sleep(50 * time.Millisecond)
					s.change(other, 1)
					began := time.Now()
					for !g.holds(s.fakeStore) {
						if time.Since(later(began, s.lastLoss())) > applyBound+watchTimeoutMargin {
							t.Fatalf("change of %s not read within %s of the end of the losses", lost, applyBound)
						}
						time.Sleep(time.Millisecond)
					}
					if s.lastLoss().IsZero() {
						t.Errorf("no answer on %s got lost", lost)
					}
				})
			}
		}
	}
}

// TestLostAnswersNeverConfirm makes changes of random kinds while answers to random watches get lost, and checks that
// the catalog holds each change that the store had accepted before the instant at which the follower says that the
// catalog was current. A copy that lacked a change was confirmed by the answers to the watch of the configurations.
func TestLostAnswersNeverConfirm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, g, f := newLossyFollower(ctx, t)
		// accepted holds, for each change, its kind, its revision, and when the store had accepted it.
		type change struct {
			kind     Kind
			revision ident.Revision
			at       clock.Instant
		}
		var accepted []change
		check := func() {
			_, confirmed := f.Reading()
			_, asOf := g.Positions()
			for _, c := range accepted {
				if c.kind != Members && c.at < confirmed && asOf[c.kind].Revision < c.revision {
					t.Fatalf("copy at revision %d of %s is confirmed %s after revision %d", asOf[c.kind].Revision, c.kind,
						confirmed.Sub(c.at), c.revision)
				}
			}
		}
		for n := range rapid.IntRange(1, 6).Draw(t, "changes") {
			s.lose(Kind(rapid.IntRange(0, int(KindCount)-1).Draw(t, "lost")), rapid.IntRange(0, 2).Draw(t, "losses"))
			k := Kind(rapid.IntRange(0, int(KindCount)-1).Draw(t, "kind"))
			s.change(k, n)
			s.fakeStore.mu.Lock()
			accepted = append(accepted, change{kind: k, revision: s.revision, at: f.clock.Now()})
			s.fakeStore.mu.Unlock()
			for range rapid.IntRange(1, 20).Draw(t, "checks") {
				check()
				time.Sleep(2 * time.Millisecond)
			}
		}
	})
}

// countingStore counts the calls.
type countingStore struct {
	*lossyStore
	calls atomic.Int32
}

func (s *countingStore) List(ctx context.Context, k Kind, after string, f Freshness) (Page, error) {
	s.calls.Add(1)
	return s.lossyStore.List(ctx, k, after, f)
}

func (s *countingStore) Watch(ctx context.Context, k Kind, since ident.Revision, wait time.Duration) (Batch, error) {
	s.calls.Add(1)
	return s.lossyStore.Watch(ctx, k, since, wait)
}

// TestCallsAreBounded checks that a follower makes at most 20 calls a second while all kinds change all the time and
// answers get lost: a hundred readers, far more than a fleet of 471 VMs has, stay within 2,000 a second.
func TestCallsAreBounded(t *testing.T) {
	s := &countingStore{lossyStore: &lossyStore{fakeStore: newFakeStore()}}
	c := clock.New()
	f := NewFollower(New(c, zerolog.Nop()), s, c, zerolog.Nop())
	f.Start(t.Context(), "test")
	const span = 4 * time.Second
	for n, end := 0, time.Now().Add(span); time.Now().Before(end); n++ {
		s.change(Kind(n%int(Rollouts)), n)
		if n%50 == 0 {
			s.lose(Kind(n/50%int(Rollouts)), 2)
		}
		time.Sleep(10 * time.Millisecond)
	}
	n := s.calls.Load()
	t.Logf("%d calls in %s", n, span)
	if n > 20*int32(span.Seconds()) {
		t.Errorf("%d calls in %s, want at most 20 a second", n, span)
	}
}
