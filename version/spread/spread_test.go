package spread_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/store"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/spread"
	"github.com/amaranthramp/amaranthramp/wire"
)

const nodes = 4

var errDisconnected = errors.New("disconnected")

// network connects the nodes; a response may be one from an earlier pull.
type network struct {
	node         [nodes]*spread.Replica
	disconnected [nodes]bool
	// earlier holds the responses that nodes have sent before.
	earlier []*wire.Snapshot
	t       *rapid.T
}

func (n *network) Pull(_ context.Context, a ident.Address, q *wire.Pull) (*wire.Snapshot, error) {
	var i int
	_, _ = fmt.Sscanf(string(a), "node-%d", &i)
	if n.disconnected[i] {
		return nil, errDisconnected
	}
	if len(n.earlier) > 0 && rapid.IntRange(0, 3).Draw(n.t, "late response") == 0 {
		return rapid.SampledFrom(n.earlier).Draw(n.t, "response"), nil
	}
	r, err := n.node[i].Respond(q)
	n.earlier = append(n.earlier, r)
	return r, err
}

// fleet is a set of nodes that use one platform.
type fleet struct {
	network
	local   *store.Local
	archive *archive.Archive
	highest [nodes]ident.Version
	newest  ident.Version
}

func (f *fleet) start(i int) {
	v := ident.VM(fmt.Sprintf("node-%d", i))
	f.node[i] = spread.New(v, f.archive, f.local, &f.network, nil, zerolog.Nop())
	f.highest[i] = 0
}

// accept puts the next version in force; it sets the slots to the version number.
func (f *fleet) accept(t *rapid.T) *archive.Snapshot {
	old, err := f.archive.Load(context.Background(), archive.Empty())
	if err != nil {
		t.Fatal(err)
	}
	f.newest++
	c := &config.Config{DataCentre: []config.DataCentre{{Name: "a"}}, Service: []config.Service{
		{Name: "fixed", Host: "fixed.example"}, {Name: "s", Host: "s.example", Slots: ident.Slots(f.newest)},
	}}
	c.Complete()
	e := archive.Entry{Version: f.newest, Patch: ident.Patch(f.newest.String())}
	n, err := f.archive.Replace(context.Background(), old, c, e, nil)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (f *fleet) pull(i, j int) {
	// A failed pull is repeated later; check verifies the versions that were adopted.
	_ = f.node[i].Pull(context.Background(), ident.Address(fmt.Sprintf("node-%d", j)))
}

// read loads the configuration into a node, as a watch of the platform does.
func (f *fleet) read(i int) {
	if s, err := f.archive.Load(context.Background(), f.node[i].Snapshot()); err == nil {
		f.node[i].AdoptIfNewer(s)
	}
}

func (f *fleet) check(t *rapid.T) {
	for i, n := range f.node {
		s := n.State()
		if s.Version < f.highest[i] {
			t.Fatalf("node %d returned from version %d to %d", i, f.highest[i], s.Version)
		}
		f.highest[i] = s.Version
		if s.Version == 0 {
			continue
		}
		c, err := config.Parse(s.Text)
		if err != nil {
			t.Fatal(err)
		}
		if v, ok := c.FindService("s"); !ok || v.Slots != ident.Slots(s.Version) || len(c.Service) != 2 {
			t.Fatalf("node %d has version %d, but the content of another one: %+v", i, s.Version, c.Service)
		}
	}
}

// TestReplication checks that no node returns to an older version, despite late responses, disconnections and restarts,
// and that all nodes reach the newest version in the end.
func TestReplication(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := 0
		f := &fleet{local: store.NewLocal(store.New())}
		f.archive = archive.New(f.local, func() string { n++; return fmt.Sprint(n) })
		f.t = t
		for i := range nodes {
			f.start(i)
		}
		node := rapid.IntRange(0, nodes-1)
		t.Repeat(map[string]func(*rapid.T){
			"accept":     func(t *rapid.T) { f.node[node.Draw(t, "at")].AdoptIfNewer(f.accept(t)) },
			"read":       func(t *rapid.T) { f.read(node.Draw(t, "node")) },
			"pull":       func(t *rapid.T) { f.pull(node.Draw(t, "node"), node.Draw(t, "from")) },
			"disconnect": func(t *rapid.T) { i := node.Draw(t, "node"); f.disconnected[i] = !f.disconnected[i] },
			"restart":    func(t *rapid.T) { f.start(node.Draw(t, "node")) },
			"":           f.check,
		})
		f.converge(t)
	})
}

// converge makes one node read the platform and each other node pull from the previous one, without late responses.
func (f *fleet) converge(t *rapid.T) {
	f.earlier, f.disconnected = nil, [nodes]bool{}
	if f.newest == 0 {
		return
	}
	f.read(0)
	for i := 1; i < nodes; i++ {
		f.earlier = nil
		f.pull(i, i-1)
	}
	f.check(t)
	for i, n := range f.node {
		if v := n.State().Version; v != f.newest {
			t.Fatalf("after convergence, node %d has version %d, want %d", i, v, f.newest)
		}
	}
}

// TestWatchers checks that each data centre has two watchers, and that a VM that is not a member watches.
func TestWatchers(t *testing.T) {
	var l []*wire.Member
	for i := range 12 {
		l = append(l, &wire.Member{Vm: fmt.Sprintf("vm-%d", i/2), DataCentre: fmt.Sprintf("dc-%d", i/2%2)})
	}
	watching := map[string]int{}
	for i := 0; i < len(l); i += 2 {
		if len(spread.Watchers(ident.VM(l[i].GetVm()), l)) == 0 {
			watching[l[i].GetDataCentre()]++
		}
	}
	if watching["dc-0"] != 2 || watching["dc-1"] != 2 {
		t.Fatalf("number of watchers of each data centre is %v, want 2 in dc-0 and in dc-1", watching)
	}
	if r := spread.WatcherRank("new", l); r != 0 {
		t.Fatalf("a VM that is not a member has rank %d, want 0, so that it watches the platform", r)
	}
}
