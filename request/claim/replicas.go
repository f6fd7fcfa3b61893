package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Kind is the kind of the messages between members.
const Kind peer.MessageKind = "Claim"

// The time limits that all members must agree on.
const (
	// maxRetention is the longest time for which a record is kept.
	maxRetention = 24 * time.Hour
	// maxWallSkew is the largest difference allowed between the wall clocks of two members and the platform.
	maxWallSkew = time.Minute
)

// Replicas holds the records of the partitions that are placed on this member. It is safe for concurrent use.
type Replicas struct {
	views   *view.Holder
	clock   clock.Clock
	wall    func() time.Time
	network Network

	mu    sync.Mutex
	table *table
	// newestEpoch is the newest epoch that this member knows, from its view or from a request for its records.
	newestEpoch ident.Epoch
	placements  placements
	// ownIDs are the member IDs that this process has had; it answers for all of them.
	ownIDs     map[ident.Member]bool
	partitions [partitionCount]partitionState
}

// partitionState is how complete this member's records of a partition are.
type partitionState struct {
	// completeThrough is the newest epoch for which all records, also those of the epochs before it, are held.
	completeThrough ident.Epoch
	// readyEpoch is the last epoch under which the records were complete, so that the replica could answer.
	readyEpoch ident.Epoch
	// replies holds the coverage of the members that returned their records under the epoch repliesEpoch.
	repliesEpoch ident.Epoch
	replies      map[ident.Member]coverage
}

// coverage is how complete the records of a member are.
type coverage struct {
	completeThrough, readyEpoch ident.Epoch
}

// completeFor reports whether the records of this member, together with those of a majority of the generation's
// replicas, are all the records that exist. A replica that was ready during the generation holds the records from
// before it, even if the epoch no longer tells when the generation began.
func (x coverage) completeFor(e *generation) bool {
	return x.completeThrough >= e.first-1 || x.readyEpoch >= e.first && x.readyEpoch <= e.last
}

// NewReplicas returns replicas without records; wall returns the time of the wall clock.
func NewReplicas(v *view.Holder, n Network, c clock.Clock, wall func() time.Time) *Replicas {
	return &Replicas{
		views: v, network: n, clock: c, wall: wall, table: newTable(), placements: placements{},
		ownIDs: map[ident.Member]bool{},
	}
}

// Receive answers one message. It returns an error only if the bytes can't be decoded.
func (k *Replicas) Receive(_ context.Context, b []byte) (proto.Message, error) {
	q := &wire.ClaimRequest{}
	if err := proto.Unmarshal(b, q); err != nil {
		return nil, fmt.Errorf("decode claim request: %w", err)
	}
	return k.Handle(q), nil
}

// Handle answers one request.
func (k *Replicas) Handle(q *wire.ClaimRequest) *wire.ClaimReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.refresh()
	if !k.ownIDs[ident.Member(q.GetTo())] {
		return &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictStranger}
	}
	switch b := q.GetBody().(type) {
	case *wire.ClaimRequest_Reserve:
		return k.handleReserve(v, ident.Epoch(q.GetEpoch()), b.Reserve)
	case *wire.ClaimRequest_Settle:
		k.handleSettle(b.Settle)
		return &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictTaken}
	case *wire.ClaimRequest_Sync:
		return k.handleSync(ident.Epoch(q.GetEpoch()), b.Sync)
	default:
		return &wire.ClaimReply{}
	}
}

// refresh returns the newest view after applying its member ID and epoch, and removes expired records.
func (k *Replicas) refresh() *view.View {
	v := k.views.Get()
	if v.Self != "" {
		k.ownIDs[v.Self] = true
	}
	k.newestEpoch = max(k.newestEpoch, ident.Epoch(v.Epoch.GetNumber()))
	k.table.sweep(k.clock.Now())
	return v
}

// handleReserve records a key unless it is known. Only a replica with a valid lease answers: one that was cut off for
// longer than past epochs are remembered would not know that it was replaced.
func (k *Replicas) handleReserve(v *view.View, n ident.Epoch, r *wire.ClaimReserve) *wire.ClaimReply {
	now := k.clock.Now()
	if n < k.newestEpoch {
		return &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictStale}
	}
	p := partitionOf(ident.Service(r.GetService()), ident.Key(r.GetKey()))
	if n != ident.Epoch(v.Epoch.GetNumber()) || !v.HasLease(now) || !k.isReady(v, p) {
		return &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictNotReady}
	}
	i := recordKey{service: ident.Service(r.GetService()), key: ident.Key(r.GetKey())}
	if l := k.table.find(i); len(l) > 0 {
		return &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictKnown, Records: l}
	}
	o := &wire.ClaimRecord{
		Service: r.GetService(), Key: r.GetKey(), Fingerprint: r.GetFingerprint(), Token: r.GetToken(),
		RetentionMs: r.GetRetentionMs(),
	}
	if !k.table.put(o, now.Add(retention(o)), maxReserveBytes) {
		return &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictFull}
	}
	return &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictReserved}
}

// handleSettle applies a settlement under any epoch, since a settlement states only what is certain.
func (k *Replicas) handleSettle(s *wire.ClaimSettle) {
	r := s.GetRecord()
	if s.GetRelease() {
		k.table.release(keyOf(r), r.GetToken())
		return
	}
	k.table.put(copyRecord(r, 0, true), k.clock.Now().Add(retention(r)), maxBytes)
}

// isReady reports whether this member is a replica of the partition and its records are complete under the current
// epoch.
func (k *Replicas) isReady(v *view.View, p partition) bool {
	n := ident.Epoch(v.Epoch.GetNumber())
	if k.partitions[p].readyEpoch == n {
		return n > 0
	}
	l := k.placements.get(n, v.Epoch.GetMembers())
	if !containsAny(l.replicas[p], map[ident.Member]bool{v.Self: true}) {
		return false
	}
	_, done := k.membersToAsk(v, p)
	if done {
		k.partitions[p].readyEpoch = n
	}
	return done
}

func retention(r *wire.ClaimRecord) time.Duration {
	return min(time.Duration(r.GetRetentionMs())*time.Millisecond, maxRetention)
}
