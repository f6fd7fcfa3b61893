package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// urgentPresenceInterval and urgentPresencePerMember replace the interval of the questions whether members run while
	// the store does not answer: then only the answers of all members prove that the list of keepers still holds.
	urgentPresenceInterval  = 250 * time.Millisecond
	urgentPresencePerMember = 3 * time.Millisecond
	// urgentAfter is how long after the last confirmation by the store this applies.
	urgentAfter = time.Second
	// statementMemory is how long another list that a member has named rules out that one's own is the only one.
	statementMemory = 10 * time.Second
	// maxRounds bounds the questions whose answers still count.
	maxRounds = 32
)

// keeperStatement is the list of keepers that a member has named, by its checksum, and when it was asked.
type keeperStatement struct {
	at   clock.Instant
	list uint64
}

// statements holds what members have said of the list of keepers. An answer counts from the time of its question, so
// that it does not matter how long either was on its way.
type statements struct {
	round    uint64
	rounds   map[uint64]clock.Instant
	byMember map[ident.VM]keeperStatement
}

// newStatements returns an empty collection. The first round is a number at random, so that a process ignores the
// answers to its predecessor.
func newStatements(firstRound uint64) statements {
	return statements{round: firstRound, rounds: map[uint64]clock.Instant{}, byMember: map[ident.VM]keeperStatement{}}
}

// begin begins a round and returns its number.
func (s *statements) begin(now clock.Instant) uint64 {
	s.round++
	s.rounds[s.round] = now
	maps.DeleteFunc(s.rounds, func(n uint64, _ clock.Instant) bool { return s.round-n >= maxRounds })
	return s.round
}

// record records an answer to a round.
func (s *statements) record(v ident.VM, round, list uint64) {
	if at, ok := s.rounds[round]; ok && at >= s.byMember[v].at {
		s.byMember[v] = keeperStatement{at: at, list: list}
	}
}

// provenAt returns the instant as of which every member that may keep allowances, except self, has named a list; zero
// if one has not, or if a member has lately named another list.
func (s *statements) provenAt(now clock.Instant, v *catalog.View, self ident.VM, list uint64) clock.Instant {
	at := now
	for i := range v.Members {
		n := v.Members[i].Name
		if n == self {
			continue
		}
		o, ok := s.byMember[n]
		switch {
		case ok && o.list != list && now.Sub(o.at) < statementMemory:
			return 0
		case v.States[i].Standing == catalog.Absent:
		case !ok || o.list != list:
			return 0
		default:
			at = min(at, o.at)
		}
	}
	return at
}

// ProvenAt returns an instant as of which no other list of keepers than the one with the given checksum was in force
// anywhere; zero if this VM does not read the store, or has another list. The store proves it, or else the answers of
// all members on the list.
func (f *Fleet) ProvenAt(list uint64) clock.Instant {
	reading, _ := f.follower.Reading()
	v := f.catalog.Get()
	if !reading || roster.Checksum(v.Keepers) != list {
		return 0
	}
	store := f.follower.ProvenAt()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(store, f.statements.provenAt(f.clock.Now(), v, f.self.Name, list))
}

// Readers returns the addresses of the other members that read the store, in the order of their ranks.
func (f *Fleet) Readers() []ident.Address {
	now, t, v := f.clock.Now(), f.topology(), f.catalog.Get()
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []roster.Member
	for _, m := range v.Members {
		if s, ok := f.readers[m.Name]; ok && m.Name != f.self.Name && now.Sub(s.receivedAt) < readerTimeout {
			l = append(l, m)
		}
	}
	slices.SortFunc(l, func(a, b roster.Member) int { return cmp.Compare(t.rank(a.Name), t.rank(b.Name)) })
	a := make([]ident.Address, 0, len(l))
	for i := range l {
		a = append(a, l[i].Address)
	}
	return a
}

// presencePause returns the time between two questions whether the members run.
func (f *Fleet) presencePause(members int) time.Duration {
	_, confirmed := f.follower.Reading()
	if f.keepers == nil || !f.keepers.Active() || f.clock.Now().Sub(confirmed) < urgentAfter || !f.isTopRankedReader() {
		return 0
	}
	return max(urgentPresenceInterval, time.Duration(members)*urgentPresencePerMember)
}

// answerPresence tells a reader that this VM runs, and which members may keep allowances as far as it knows.
func (f *Fleet) answerPresence(d *wire.Digest, reader ident.Address) {
	f.sendMessage(reader, &wire.Digest{
		Address: string(f.self.Address), Member: string(f.self.Name), Present: true, Round: d.GetRound(),
		Keepers: roster.Checksum(f.catalog.Get().Keepers),
	})
}
