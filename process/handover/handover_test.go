package handover

import (
	"context"
	"reflect"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/target"
)

// TestEncode checks that a handover is decoded as it was encoded.
func TestEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(n string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(maxRemainingTime)).Draw(t, n))
		}
		h := &Handover{Shard: "notes/here/0", Member: "a", Epoch: ident.Epoch(rapid.Uint64().Draw(t, "epoch"))}
		for range rapid.IntRange(0, 5).Draw(t, "targets") {
			h.Targets = append(h.Targets, Target{
				Address: ident.Address(rapid.StringMatching(`[a-z0-9.:]*`).Draw(t, "address")), RemainingTime: d("remaining time"),
				Snapshot: target.Snapshot{
					State: target.Warming, Limit: 2, InFlight: rapid.IntRange(0, 9).Draw(t, "inFlight"),
					RecentLatency: d("recent latency"), BaselineLatency: d("baseline latency"), Incarnation: "7",
				},
			})
		}
		b, err := proto.Marshal(Encode(h))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, h) {
			t.Fatalf("got %+v, %v; want %+v", got, err, h)
		}
	})
}

// FuzzDecode checks that arbitrary bytes are rejected or decoded to values within bounds.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("\x0a\x01a\x22\x04\x20\xff\xff\x03"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := Decode(b)
		if err != nil {
			return
		}
		for _, g := range h.Targets {
			if g.InFlight < 0 || g.RemainingTime < 0 || g.RemainingTime > maxRemainingTime ||
				g.RecentLatency < 0 || g.BaselineLatency < 0 {
				t.Errorf("got target %+v, want no negative value and a remaining time of at most %v", g, maxRemainingTime)
			}
		}
	})
}

// TestInbox checks by which handovers a shard counts as released, and that handovers expire.
func TestInbox(t *testing.T) {
	rows := []struct {
		name  string
		put   []ident.Epoch
		epoch ident.Epoch
		want  bool
	}{
		{"no handover", nil, 5, false},
		{"released", []ident.Epoch{6}, 5, true},
		{"owner again under a later epoch", []ident.Epoch{6}, 6, false},
		{"delayed copy of an earlier handover", []ident.Epoch{8, 6}, 7, true},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := clock.NewFake()
			b := NewInbox(c)
			for _, e := range r.put {
				b.Put(&Handover{Shard: "s", Member: "a", Epoch: e})
			}
			if got := b.HasReleased("s", "a", r.epoch); got != r.want {
				t.Errorf("HasReleased = %t, want %t", got, r.want)
			}
			if b.HasReleased("s", "b", r.epoch) || b.HasReleased("x", "a", r.epoch) {
				t.Error("HasReleased = true for another member or shard, want false")
			}
			c.Advance(2 * retention)
			if l := b.ForShard("s"); len(l) != 0 {
				t.Errorf("%d handovers are left after the retention time, want none", len(l))
			}
		})
	}
}

// fakeSource provides a fixed list of handovers and records which were received.
type fakeSource struct {
	mu       sync.Mutex
	pending  []Outgoing
	received map[ident.Shard]bool
}

func (s *fakeSource) PendingHandovers() []Outgoing { return s.pending }

func (s *fakeSource) MarkReceived(h *Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[h.Shard] = true
}

// unreachableMember is a messenger to which the member at the address "unreachable" times out. The timeout ends only
// after another member has answered; the other members answer at once.
type unreachableMember struct{ answered chan struct{} }

func (d unreachableMember) SendMessage(_ context.Context, to ident.Address, _ peer.MessageKind,
	_, _ proto.Message,
) error {
	if to == "unreachable" {
		<-d.answered
		return context.DeadlineExceeded
	}
	close(d.answered)
	return nil
}

// TestSend checks that an unreachable member delays no other: sending to it fails only after the other member has
// received its handover.
func TestSend(t *testing.T) {
	s := &fakeSource{received: map[ident.Shard]bool{}, pending: []Outgoing{
		{Handover: Handover{Shard: "a"}, To: "unreachable"}, {Handover: Handover{Shard: "b"}, To: "other"},
	}}
	NewSender(s, unreachableMember{answered: make(chan struct{})}).Send(t.Context())
	if s.received["a"] || !s.received["b"] {
		t.Errorf("received handovers for shards %v, want b only", s.received)
	}
}
