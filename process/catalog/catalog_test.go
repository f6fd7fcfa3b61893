package catalog

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// fakeStore is an in-memory store with the faults of a real one.
type fakeStore struct {
	mu       sync.Mutex
	revision ident.Revision
	records  [KindCount]map[string]Record
	history  []fakeEvent
	// historyStart is the revision after which the history is complete.
	historyStart ident.Revision
	down         bool
	// era is how often the store has come back from its copy, which backUp makes.
	era  ident.Era
	copy struct {
		revision ident.Revision
		records  [KindCount]map[string]Record
	}
}

type fakeEvent struct {
	kind   Kind
	change Change
}

var errDown = errors.New("store is down")

func newFakeStore() *fakeStore {
	m := &fakeStore{revision: 1, historyStart: 1}
	for k := range KindCount {
		m.records[k] = map[string]Record{}
	}
	m.backUp()
	return m
}

func (m *fakeStore) backUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copy.revision = m.revision
	for k := range KindCount {
		m.copy.records[k] = maps.Clone(m.records[k])
	}
}

// restore replaces the content by the copy and begins a new era.
func (m *fakeStore) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.history, m.historyStart = m.copy.revision, nil, m.copy.revision
	for k := range KindCount {
		m.records[k] = maps.Clone(m.copy.records[k])
	}
}

// position returns the state of the store; the lock must be held.
func (m *fakeStore) position() Position {
	return Position{Era: m.era, Revision: m.revision}
}

func (m *fakeStore) put(k Kind, name string, e Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	r := Record{Name: name, Revision: m.revision, Entry: e}
	m.records[k][name] = r
	m.history = append(m.history, fakeEvent{k, Change{Record: r}})
}

func (m *fakeStore) delete(k Kind, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[k][name]
	if !ok {
		return
	}
	m.revision++
	r.Revision = m.revision
	delete(m.records[k], name)
	m.history = append(m.history, fakeEvent{k, Change{Record: r, Deleted: true}})
}

func (m *fakeStore) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.historyStart = nil, m.revision
}

func (m *fakeStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *fakeStore) names(k Kind) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.records[k]))
}

// List returns pages of two records.
func (m *fakeStore) List(_ context.Context, k Kind, after string, _ Freshness) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return Page{}, errDown
	}
	p := Page{AsOf: m.position()}
	for _, n := range slices.Sorted(maps.Keys(m.records[k])) {
		if n <= after {
			continue
		}
		if len(p.Records) == 2 {
			p.More = true
			break
		}
		p.Records = append(p.Records, m.records[k][n])
		p.Last = n
	}
	return p, nil
}

// Watch waits 20 ms at most, to keep the tests fast.
func (m *fakeStore) Watch(ctx context.Context, k Kind, since ident.Revision, wait time.Duration) (Batch, error) {
	deadline := time.Now().Add(min(wait, 20*time.Millisecond))
	for {
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			return Batch{}, errDown
		}
		if since < m.historyStart || since > m.revision {
			m.mu.Unlock()
			return Batch{}, ErrHistoryGone
		}
		b := Batch{AsOf: m.position()}
		for _, e := range m.history {
			if e.kind == k && e.change.Revision > since {
				b.Changes = append(b.Changes, e.change)
			}
		}
		m.mu.Unlock()
		if len(b.Changes) > 0 || time.Now().After(deadline) {
			return b, nil
		}
		if ctx.Err() != nil {
			return Batch{}, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

func (m *fakeStore) Decode(Kind, []byte) (Record, error) { return Record{}, errDown }
func (m *fakeStore) Register(context.Context, roster.Member) (Position, error) {
	return Position{}, nil
}
func (m *fakeStore) WriteStanding(context.Context, roster.Member, ident.Revision, Standing) error {
	return nil
}

func registration(id string, draining bool) Entry {
	return Registration{Target: roster.Target{ID: ident.Target(id), Service: "s", Address: "a:1", Draining: draining}}
}

func configuration(n ident.Version) Entry {
	t, err := route.New(n, route.Limits{}, nil, nil)
	if err != nil {
		panic(err)
	}
	return Configuration{Table: t}
}

// at returns the position of a revision in era 0.
func at(r ident.Revision) Position {
	return Position{Revision: r}
}

// holds reports whether the catalog has exactly the records of the store.
func (g *Catalog) holds(m *fakeStore) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range g.kinds {
		if g.asOf[k].Era != m.era || !maps.EqualFunc(g.records[k], m.records[k], sameRecord) {
			return false
		}
	}
	return true
}

// sameRecord reports whether two records of one era are the same.
func sameRecord(a, b Record) bool {
	return a.Revision == b.Revision
}

func sortedIDs(l []roster.Target) []string {
	var n []string
	for _, t := range l {
		n = append(n, string(t.ID))
	}
	slices.Sort(n)
	return n
}

// TestFollowerConverges makes random changes in a store, drops its history, and restarts the follower, and checks that
// the catalog ends up with the contents of the store and that its version never decreases.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFakeStore()
		c := clock.NewFake()
		g := New(c, zerolog.Nop())
		f := NewFollower(g, m, c, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f.Start(ctx, "test")
		newest, shown := ident.Version(0), ident.Version(0)
		steps := []string{
			"put", "delete", "version", "evacuate", "take back", "compact", "restart", "back up", "restore from copy",
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom(steps).Draw(t, "step") {
			case "put":
				name := fmt.Sprintf("t-%d", rapid.IntRange(0, 6).Draw(t, "n"))
				m.put(Targets, name, registration("x", rapid.Bool().Draw(t, "draining")))
			case "delete":
				m.delete(Targets, fmt.Sprintf("t-%d", rapid.IntRange(0, 6).Draw(t, "n")))
			case "version":
				newest += ident.Version(rapid.IntRange(1, 3).Draw(t, "by"))
				m.put(Configurations, "main", configuration(newest))
			case "evacuate":
				m.put(Evacuations, "a", Evacuation{DataCentre: "a"})
			case "take back":
				m.delete(Evacuations, "a")
			case "compact":
				m.compact()
			case "restart":
				f.Stop("test")
				f.Start(ctx, "test")
			case "back up":
				m.backUp()
			case "restore from copy":
				m.restore()
				// The operator writes again what the store has lost.
				if newest > 0 {
					m.put(Configurations, "main", configuration(newest))
				}
			}
			if v := g.Get().Table; v != nil {
				if v.Version < shown {
					t.Fatalf("version of the table went from %d back to %d, want no older one", shown, v.Version)
				}
				shown = v.Version
			}
		}
		agree := func() bool {
			v := g.Get()
			return v.Complete && g.holds(m) &&
				(newest == 0 || v.Table != nil && v.Table.Version == newest)
		}
		for range 1000 {
			if agree() {
				return
			}
			time.Sleep(5 * time.Millisecond)
			c.Advance(reregisterGrace / 20)
			g.RemoveExpired()
		}
		t.Fatalf("catalog still differs from the store: it has %d targets, want %v", g.Get().Roster.Size(), m.names(Targets))
	})
}

// TestUpdatesConverge makes random changes in one catalog, passes them to a second catalog only through UpdateSince and
// ApplyUpdate, and checks that both end up with the same targets.
func TestUpdatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		a, b := New(c, zerolog.Nop()), New(c, zerolog.Nop())
		revision := ident.Revision(1)
		a.Replace(Targets, nil, at(revision))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			name := fmt.Sprintf("t-%d", rapid.IntRange(0, 5).Draw(t, "n"))
			r := Record{Name: name, Revision: revision, Entry: registration(name, false)}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				a.Apply(Targets, Batch{Changes: []Change{{Record: r}}, AsOf: at(revision)})
			case 2:
				a.Apply(Targets, Batch{Changes: []Change{{Record: r, Deleted: true}}, AsOf: at(revision)})
			case 3:
				a.Replace(Targets, []Record{r}, at(revision))
			case 4:
				_, asOf := b.Positions()
				b.ApplyUpdate(Targets, a.UpdateSince(Targets, asOf[Targets]))
			}
		}
		_, asOf := b.Positions()
		b.ApplyUpdate(Targets, a.UpdateSince(Targets, asOf[Targets]))
		if x, y := sortedIDs(a.Get().Roster.All()), sortedIDs(b.Get().Roster.All()); !slices.Equal(x, y) {
			t.Fatalf("sender has targets %v, receiver has %v", x, y)
		}
	})
}

// TestRetainAfterOutage checks when a target that is missing right after an outage of the store is retained.
func TestRetainAfterOutage(t *testing.T) {
	rows := []struct {
		name         string
		draining     bool
		regained     bool
		reregistered bool
		wait         time.Duration
		want         int
	}{
		{"no outage", false, false, false, 0, 0},
		{"right after an outage", false, true, false, 0, 1},
		{"still missing when the grace period ends", false, true, false, reregisterGrace, 0},
		{"registered again within the grace period", false, true, true, reregisterGrace, 1},
		{"draining before the outage", true, true, false, 0, 0},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := clock.NewFake()
			g := New(c, zerolog.Nop())
			o := Record{Name: "t", Revision: 2, Entry: registration("t", r.draining)}
			g.Replace(Targets, []Record{o}, at(2))
			if r.regained {
				g.StoreRegained(reregisterGrace)
			}
			g.Replace(Targets, nil, at(3))
			if r.reregistered {
				o.Revision = 4
				g.Apply(Targets, Batch{Changes: []Change{{Record: o}}, AsOf: at(4)})
			}
			c.Advance(r.wait)
			g.RemoveExpired()
			if n := g.Get().Roster.Size(); n != r.want {
				t.Errorf("catalog has %d targets, want %d", n, r.want)
			}
		})
	}
}

// TestFollowerOutage checks that a follower detects an outage of the store and recovers from it.
func TestFollowerOutage(t *testing.T) {
	m := newFakeStore()
	c := clock.New()
	g := New(c, zerolog.Nop())
	f := NewFollower(g, m, c, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.Start(ctx, "test")
	waitFor(t, "the catalog is complete", func() bool { return g.Get().Complete })
	m.setDown(true)
	waitFor(t, "the follower sees that the store does not answer", func() bool { return !f.storeAnswers() })
	m.put(Targets, "t-1", registration("t-1", false))
	m.setDown(false)
	waitFor(t, "the store answers and the catalog has one target", func() bool {
		return f.storeAnswers() && g.Get().Roster.Size() == 1
	})
}

// TestConfigurationWait checks that the wait of the configuration watch ends confirmInterval after the last
// answer, also after a pause of batchDelay, and is never shorter than the minimum.
func TestConfigurationWait(t *testing.T) {
	c := clock.NewFake()
	g := New(c, zerolog.Nop())
	for k := range KindCount {
		g.Replace(k, nil, at(1))
	}
	f := NewFollower(g, newFakeStore(), c, zerolog.Nop())
	rows := []struct {
		name        string
		since, wait time.Duration
	}{
		{"just confirmed", 0, confirmInterval},
		{"after a batch", batchDelay, confirmInterval - batchDelay},
		{"overdue", 2 * confirmInterval, minWait},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			f.confirm(t.Context(), at(1), c.Now(), c.Now())
			c.Advance(r.since)
			if got := f.configurationWait(); got != r.wait {
				t.Errorf("wait of the watch %s, want %s", got, r.wait)
			}
		})
	}
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 600 {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not reached within 3 s: %s", what)
}
