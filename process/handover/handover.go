package handover

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Kind is the kind of the message from one member to another that carries a handover.
const Kind = peer.MessageKind("Handover")

// QueryKind is the kind of the query of a new owner for a handover. Its message has only the shard and the new epoch.
const QueryKind = peer.MessageKind("HandoverAsk")

// maxRemainingTime bounds how long a former owner's requests are counted, whatever time it sent.
const maxRemainingTime = time.Minute

// Handover is what the former owner of a shard sends to the next.
type Handover struct {
	Shard  ident.Shard
	Member ident.Member
	// Epoch is the epoch under which the sender is no longer the owner.
	Epoch   ident.Epoch
	Targets []Target
}

// Target is what the sender knew about one target.
type Target struct {
	Address ident.Address
	target.Snapshot
	// RemainingTime is how long the last of the sender's requests to the target may still run.
	RemainingTime time.Duration
}

// InFlight returns the number of the sender's requests that are still running.
func (h *Handover) InFlight() int {
	n := 0
	for _, t := range h.Targets {
		n += t.InFlight
	}
	return n
}

// Encode returns the wire message of a handover.
func Encode(h *Handover) *wire.Handover {
	m := &wire.Handover{Shard: string(h.Shard), Member: string(h.Member), Epoch: uint64(h.Epoch)}
	for _, t := range h.Targets {
		m.Targets = append(m.Targets, &wire.HandedTarget{
			Address: string(t.Address), State: string(t.State), Limit: int32(t.Limit), InFlight: int32(t.InFlight),
			LeftNs: int64(t.RemainingTime), PaceNs: int64(t.RecentLatency), PastNs: int64(t.BaselineLatency),
			Incarnation: t.Incarnation,
		})
	}
	return m
}

// Decode decodes a wire message. It fails if the bytes are not a handover.
func Decode(b []byte) (*Handover, error) {
	m := &wire.Handover{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("decode handover: %w", err)
	}
	return FromWire(m), nil
}

// FromWire converts a wire message. Numbers out of bounds are set to the bound.
func FromWire(m *wire.Handover) *Handover {
	h := &Handover{
		Shard: ident.Shard(m.GetShard()), Member: ident.Member(m.GetMember()), Epoch: ident.Epoch(m.GetEpoch()),
	}
	for _, t := range m.GetTargets() {
		h.Targets = append(h.Targets, Target{
			Address: ident.Address(t.GetAddress()),
			Snapshot: target.Snapshot{
				State: target.State(t.GetState()), Limit: ident.Slots(t.GetLimit()), InFlight: max(int(t.GetInFlight()), 0),
				RecentLatency: time.Duration(max(t.GetPaceNs(), 0)), BaselineLatency: time.Duration(max(t.GetPastNs(), 0)),
				Incarnation: t.GetIncarnation(),
			},
			RemainingTime: min(max(time.Duration(t.GetLeftNs()), 0), maxRemainingTime),
		})
	}
	return h
}
