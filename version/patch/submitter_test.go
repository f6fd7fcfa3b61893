package patch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/store"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/patch"
)

const seedConfig = `
[[DataCentre]]
Name = "a"
[[DataCentre]]
Name = "b"
[[Service]]
Name = "s0"
Host = "s0.example"
  [[Service.Class]]
  Name = "Read"
  Methods = ["GET"]
  PathPrefix = "/"
  Idempotent = true
  [[Service.Upstream]]
  Name = "u0"
  Address = "10.0.0.1:9000"
  DataCentre = "a"
`

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// operatorModel simulates two operators at two control processes and records which answers they got.
type operatorModel struct {
	ctx        context.Context
	store      *store.Local
	stores     []*faultyStore
	submitters []*patch.Submitter
	restarts   int
	// slots is the number of slots that each submitted patch sets, by its id.
	slots map[ident.Patch]int
	// accepted and refused hold the last answer to the operators for each patch.
	accepted map[ident.Patch]ident.Version
	refused  map[ident.Patch]bool
	// inProgress holds the patches that are being submitted, such as by the other operator.
	inProgress map[ident.Patch]bool
	// possiblyApplied holds the patches with a submission that may have taken effect.
	possiblyApplied map[ident.Patch]bool
	// highest is the newest version that check has seen.
	highest ident.Version
	sent    []patch.Submission
}

func newOperatorModel(t *rapid.T) *operatorModel {
	s := store.New()
	o := &operatorModel{
		ctx: context.Background(), store: store.NewLocal(s), slots: map[ident.Patch]int{},
		accepted: map[ident.Patch]ident.Version{}, refused: map[ident.Patch]bool{},
		possiblyApplied: map[ident.Patch]bool{}, inProgress: map[ident.Patch]bool{},
	}
	if err := archive.Seed(o.ctx, o.store, "seed.toml", []byte(seedConfig)); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		o.stores = append(o.stores, &faultyStore{Local: o.store})
		o.submitters = append(o.submitters, nil)
		o.restart(i)
	}
	return o
}

// restart gives an operator a new control process, which generates ids that no earlier one has used.
func (o *operatorModel) restart(i int) {
	o.restarts++
	n, p := 0, o.restarts
	a := archive.New(o.stores[i], func() string { n++; return fmt.Sprintf("%d-%d", p, n) })
	now := func() time.Time { return epoch.Add(time.Duration(o.restarts) * time.Second) }
	o.submitters[i] = patch.NewSubmitter(a, now, func(*archive.Snapshot) {})
}

func (o *operatorModel) loadSnapshot(t *rapid.T) *archive.Snapshot {
	h, err := archive.New(o.store, nil).Load(o.ctx, archive.Empty())
	if err != nil {
		t.Fatalf("load configuration: %v", err)
	}
	return h
}

func (o *operatorModel) send(i int, q patch.Submission) {
	delete(o.refused, q.ID)
	before := o.possiblyApplied[q.ID] || o.inProgress[q.ID]
	o.inProgress[q.ID] = true
	defer delete(o.inProgress, q.ID)
	a := o.submitters[i].Submit(o.ctx, q)
	switch a.Outcome {
	case patch.Accepted:
		o.accepted[q.ID] = a.Version
		o.possiblyApplied[q.ID] = true
	case patch.Unknown:
		o.possiblyApplied[q.ID] = true
	case patch.Refused:
		// Without access to the platform, a control process can't know the outcome of another submission of the patch,
		// whether an earlier one or one that the other operator sent meanwhile.
		o.refused[q.ID] = a.Cause != patch.CausePlatform || (!before && !o.possiblyApplied[q.ID])
	}
}

// drawSubmission draws a new patch against a version that may be stale, or repeats an earlier submission.
func (o *operatorModel) drawSubmission(t *rapid.T) patch.Submission {
	if len(o.sent) > 0 && rapid.Bool().Draw(t, "again") {
		return rapid.SampledFrom(o.sent).Draw(t, "which")
	}
	n := len(o.sent) + 1
	v := o.loadSnapshot(t).Head.Version - ident.Version(rapid.IntRange(0, 1).Draw(t, "behind"))
	q := patch.Submission{
		File: "p.toml", ID: ident.Patch(fmt.Sprintf("p%d", n)), Against: &v, Operator: "o",
		Text: fmt.Sprintf("[[Service]]\nName = \"s0\"\nSlots = %d\n", n),
	}
	if rapid.IntRange(0, 5).Draw(t, "bad") == 0 {
		q.Text = "[[Service]]\nName = \"s0\"\nSlots = -1\n"
	}
	o.slots[q.ID] = n
	o.sent = append(o.sent, q)
	return q
}

// check compares the stored configuration with the answers that the operators got.
func (o *operatorModel) check(t *rapid.T) {
	h := o.loadSnapshot(t)
	if h.Head.Version < o.highest {
		t.Fatalf("the stored version went down from %d to %d", o.highest, h.Head.Version)
	}
	o.highest = h.Head.Version
	versions := map[ident.Patch]ident.Version{}
	for i, e := range h.Head.History {
		if e.Version != h.Head.Version-ident.Version(i) {
			t.Fatalf("history entry %d has version %d, want %d", i, e.Version, h.Head.Version-ident.Version(i))
		}
		if _, ok := versions[e.Patch]; ok {
			t.Fatalf("the history contains patch %s twice", e.Patch)
		}
		versions[e.Patch] = e.Version
	}
	for p, v := range o.accepted {
		if versions[p] != v {
			t.Fatalf("patch %s was accepted as version %d, but has version %d in the history", p, v, versions[p])
		}
	}
	for p, refused := range o.refused {
		if v, ok := versions[p]; ok && refused {
			t.Fatalf("patch %s was refused, but is version %d in the history", p, v)
		}
	}
	if newest := h.Head.History[0].Patch; h.Head.Version > 1 && int(h.Config.Service[0].Slots) != o.slots[newest] {
		t.Fatalf("version %d has %d slots, but its patch %s sets %d", h.Head.Version, h.Config.Service[0].Slots, newest,
			o.slots[newest])
	}
}

// TestConcurrentOperators checks that no answer contradicts the history when two operators submit patches and responses
// are lost, writes take effect late, the store fails and control processes restart.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOperatorModel(t)
		for _, s := range o.stores {
			s.t = t
		}
		operator := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				i := operator.Draw(t, "operator")
				o.stores[i].faults = rapid.IntRange(0, 8).Draw(t, "faults")
				o.send(i, o.drawSubmission(t))
				o.stores[i].faults = 0
			},
			"race": func(t *rapid.T) {
				i := operator.Draw(t, "operator")
				q := o.drawSubmission(t)
				other := o.drawSubmission(t)
				o.stores[i].beforePut = func() { o.send(1-i, other) }
				o.stores[i].faults = rapid.IntRange(0, 4).Draw(t, "faults")
				o.send(i, q)
				o.stores[i].beforePut, o.stores[i].faults = nil, 0
			},
			"late":    func(t *rapid.T) { o.stores[operator.Draw(t, "operator")].applyDelayed(o.ctx) },
			"outage":  func(t *rapid.T) { s := o.stores[operator.Draw(t, "operator")]; s.down = !s.down },
			"restart": func(t *rapid.T) { o.restart(operator.Draw(t, "operator")) },
			"":        func(t *rapid.T) { o.check(t) },
		})
		for _, s := range o.stores {
			s.applyDelayed(o.ctx)
		}
		o.check(t)
	})
}
