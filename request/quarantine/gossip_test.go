package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// network delivers datagrams between tables at once, except for those that lose says are lost.
type network struct {
	members []roster.Member
	tables  map[ident.Address]*Table
	lose    func() bool
}

// node is one member's way to the others.
type node struct {
	*network
	self roster.Member
}

func (n node) Self() roster.Member { return n.self }

func (n node) Running() []roster.Member {
	var l []roster.Member
	for _, m := range n.members {
		if m.Name != n.self.Name {
			l = append(l, m)
		}
	}
	return l
}

func (n node) SendQuarantine(to ident.Address, m *wire.QuarantineNews) {
	if n.lose() {
		return
	}
	for _, r := range n.members {
		if r.Address == to {
			n.tables[to].Handle(m, n.self.Address, node{network: n.network, self: r})
		}
	}
}

// flush sends the reports of all members until there are none left.
func (n *network) flush() {
	for again := true; again; {
		again = false
		for _, m := range n.members {
			t := n.tables[m.Address]
			for t.reports.Len() > 0 {
				t.sendReports(node{network: n, self: m}, t.collectReports(<-t.reports.Out()))
				again = true
			}
		}
	}
}

// sync makes each member compare its quarantines with those of another one, the given number of times.
func (n *network) sync(rounds int) {
	for range rounds {
		for _, m := range n.members {
			n.tables[m.Address].ask(node{network: n, self: m})
		}
		n.flush()
	}
}

func newNetwork(c clock.Clock, members, dataCentres int) *network {
	n := &network{tables: map[ident.Address]*Table{}, lose: func() bool { return false }}
	for i := range members {
		m := roster.Member{
			Name: ident.VM(fmt.Sprint("vm-", i)), Address: ident.Address(fmt.Sprint("127.0.0.1:", i+1)),
			DataCentre: ident.DataCentre(fmt.Sprint("d", i%dataCentres)),
		}
		n.members = append(n.members, m)
		n.tables[m.Address] = New(c, 3)
	}
	return n
}

// TestQuarantineReachesAllMembers checks, for members that each see some of the deaths, lose datagrams and restart,
// that a request that has crashed three targets is quarantined at all members, also at those that start later, and that
// one that succeeds elsewhere in between is not.
func TestQuarantineReachesAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		n := newNetwork(c, rapid.IntRange(1, 9).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "data centres"))
		table := func() *Table {
			return n.tables[rapid.SampledFrom(n.members).Draw(t, "member").Address]
		}
		// One datagram of the reports at most gets lost, so that two keepers of three hear of each death.
		lost := rapid.IntRange(0, 3*len(n.members)).Draw(t, "lost")
		n.lose = func() bool { lost--; return lost == -1 }
		succeeds := rapid.Bool().Draw(t, "succeeds")
		for i := range 3 {
			crash(table(), c, ident.Upstream(fmt.Sprint("u", i)))
			n.flush()
			if succeeds && i == 1 {
				b := table()
				b.Begin(1, "x")
				b.End(1, "x", done)
				n.flush()
			}
		}
		for range rapid.IntRange(0, 2).Draw(t, "restarts") {
			if len(n.members) > 2 {
				n.tables[rapid.SampledFrom(n.members).Draw(t, "restarted").Address] = New(c, 3)
			}
		}
		// With two members that know it of up to nine, some rounds pass until all have asked one that does.
		n.sync(40)
		c.Advance(3 * time.Second)
		for _, m := range n.members {
			if got := n.tables[m.Address].Quarantined(1); got == succeeds {
				t.Fatalf("quarantined %t at %s, want %t", got, m.Name, !succeeds)
			}
		}
	})
}

// TestEndOfQuarantineIsNoSuccess checks that a member that learns of a quarantine in its last millisecond does not take
// that for a success of the request, which would clear it.
func TestEndOfQuarantineIsNoSuccess(t *testing.T) {
	c := clock.NewFake()
	n := newNetwork(c, 2, 1)
	here, there := n.tables[n.members[0].Address], n.tables[n.members[1].Address]
	for _, u := range []ident.Upstream{"x", "y", "z"} {
		crash(here, c, u)
	}
	n.flush()
	c.Advance(here.QuarantinedFor(1) - time.Microsecond)
	l, _ := here.quarantines()
	there.Apply(&wire.QuarantineNews{Items: l})
	if !there.Quarantined(1) || there.Len() != 1 {
		t.Errorf("quarantined %t, %d suspects, want true and 1", there.Quarantined(1), there.Len())
	}
}

// TestKeepersAgree checks that all members choose the same keepers, in different data centres if there are enough.
func TestKeepersAgree(t *testing.T) {
	n := newNetwork(clock.NewFake(), 13, 4)
	for f := range Fingerprint(50) {
		want := keepers(f, append(node{network: n, self: n.members[0]}.Running(), n.members[0]))
		dataCentres := map[ident.DataCentre]bool{}
		for _, m := range want {
			dataCentres[m.DataCentre] = true
		}
		if len(want) != keeperCount || len(dataCentres) != keeperCount {
			t.Fatalf("keepers %v, want %d in different data centres", want, keeperCount)
		}
		for _, m := range n.members {
			got := keepers(f, append(node{network: n, self: m}.Running(), m))
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%s chooses the keepers %v, want %v", m.Name, got, want)
			}
		}
	}
}

// TestLostResponsesAreNoProof checks that two deaths in a row don't quarantine a request at a table that needs three.
func TestLostResponsesAreNoProof(t *testing.T) {
	c := clock.NewFake()
	b := New(c, 3)
	crash(b, c, "x")
	crash(b, c, "y")
	if b.Quarantined(1) {
		t.Error("quarantined after two deaths, want not quarantined")
	}
	crash(b, c, "z")
	if d := b.QuarantinedFor(1); d != firstQuarantinePeriod {
		t.Errorf("quarantined for %s after three deaths, want %s", d, firstQuarantinePeriod)
	}
}
