package claim

import (
	"context"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The interval and the size of synchronisations.
const (
	minSyncInterval   = 10 * time.Millisecond
	maxSyncInterval   = time.Second
	maxSyncPartitions = 32
	// maxSyncBytes is the size of a reply from which on the answers in its records are sent without their bodies.
	maxSyncBytes = 2 << 20
	// maxAnswerBytes is the size up to which the body of an answer is recorded.
	maxAnswerBytes = 64 << 10
)

// Run fetches the records of earlier replicas whenever the epoch changes, until the context ends.
func (k *Replicas) Run(ctx context.Context) {
	interval := minSyncInterval
	completeEpoch, triedEpoch := ident.Epoch(0), ident.Epoch(0)
	for clock.Sleep(ctx, interval) {
		n := ident.Epoch(k.views.Get().Epoch.GetNumber())
		if n == completeEpoch {
			interval = minSyncInterval
			continue
		}
		interval = min(2*interval, maxSyncInterval)
		if n != triedEpoch {
			triedEpoch, interval = n, minSyncInterval
		}
		if k.Sync(ctx) {
			completeEpoch = n
		}
	}
}

// Sync asks earlier replicas once for the records that this member lacks. It reports whether none were lacking before
// the call.
func (k *Replicas) Sync(ctx context.Context) bool {
	l := k.syncRequests()
	if len(l) == 0 {
		return true
	}
	k.network.FanOut(ctx, l, func(i int, r *wire.ClaimReply) bool {
		k.applySyncReply(&l[i], r)
		return false
	})
	return false
}

// syncRequests returns one or more requests for each member whose records are lacking.
func (k *Replicas) syncRequests() []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.refresh()
	k.placements.prune(v.Epoch)
	wanted := map[string]*wire.Member{}
	parts := map[string][]uint32{}
	for p := range partition(partitionCount) {
		if !k.isReplica(v, p) || k.isReady(v, p) {
			continue
		}
		l, _ := k.membersToAsk(v, p)
		for _, m := range l {
			wanted[m.GetId()] = m
			parts[m.GetId()] = append(parts[m.GetId()], uint32(p))
		}
	}
	var r []Envelope
	for i, m := range wanted {
		for l := parts[i]; len(l) > 0; l = l[min(len(l), maxSyncPartitions):] {
			r = append(r, Envelope{To: m, Request: &wire.ClaimRequest{
				To: i, Epoch: v.Epoch.GetNumber(),
				Body: &wire.ClaimRequest_Sync{Sync: &wire.ClaimSync{Partitions: l[:min(len(l), maxSyncPartitions)]}},
			}})
		}
	}
	return r
}

// isReplica reports whether this member is a replica of the partition under the current epoch.
func (k *Replicas) isReplica(v *view.View, p partition) bool {
	l := k.placements.get(ident.Epoch(v.Epoch.GetNumber()), v.Epoch.GetMembers())
	return containsAny(l.replicas[p], map[ident.Member]bool{v.Self: true})
}

// handleSync returns the records of partitions. From then on this member records no key under an earlier epoch.
func (k *Replicas) handleSync(n ident.Epoch, s *wire.ClaimSync) *wire.ClaimReply {
	k.newestEpoch = max(k.newestEpoch, n)
	r := &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictTaken}
	now := k.clock.Now()
	bytes := ident.Bytes(0)
	for _, n := range s.GetPartitions() {
		p := partition(n % partitionCount)
		for i := range k.table.partitions[p] {
			for _, e := range k.table.records[i] {
				o := copyRecord(e.record, e.expires.Sub(now).Milliseconds(), bytes < maxSyncBytes)
				bytes += recordSize(o)
				r.Records = append(r.Records, o)
			}
		}
		o := &k.partitions[p]
		r.Parts = append(r.Parts, &wire.ClaimPart{
			Partition: uint32(p), Covers: uint64(o.completeThrough), Ready: uint64(o.readyEpoch),
		})
	}
	return r
}

// applySyncReply adds the records that an earlier replica returned.
func (k *Replicas) applySyncReply(e *Envelope, r *wire.ClaimReply) {
	if r.GetVerdict() != wire.ClaimVerdict_ClaimVerdictTaken {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.refresh()
	n := ident.Epoch(e.Request.GetEpoch())
	if n != ident.Epoch(v.Epoch.GetNumber()) {
		return
	}
	now := k.clock.Now()
	for _, o := range r.GetRecords() {
		if !k.table.put(o, now.Add(time.Duration(o.GetLeftMs())*time.Millisecond), maxBytes) {
			return
		}
	}
	for _, o := range r.GetParts() {
		a := k.syncReplies(partition(o.GetPartition()%partitionCount), n)
		a[ident.Member(e.To.GetId())] = coverage{
			completeThrough: ident.Epoch(o.GetCovers()), readyEpoch: ident.Epoch(o.GetReady()),
		}
	}
}

// membersToAsk returns members that are yet to be asked for their records of a partition, or reports that the records
// are complete.
func (k *Replicas) membersToAsk(v *view.View, p partition) ([]*wire.Member, bool) {
	n := ident.Epoch(v.Epoch.GetNumber())
	l, complete := k.placements.generations(v.Epoch, p, k.retentionCutoff(v))
	own := coverage{completeThrough: k.partitions[p].completeThrough, readyEpoch: k.partitions[p].readyEpoch}
	if own.completeFor(&l[0]) {
		return nil, true
	}
	all := []coverage{own}
	replies := k.syncReplies(p, n)
	for i := range l[1:] {
		e := &l[i+1]
		var ask []*wire.Member
		for _, m := range e.replicas {
			x, ok := replies[ident.Member(m.GetId())]
			if !ok && !k.ownIDs[ident.Member(m.GetId())] {
				ask = append(ask, m)
			}
			all = append(all, x)
		}
		if len(e.replicas) > 0 && len(e.replicas)-len(ask) < majority(len(e.replicas)) {
			return ask, false
		}
		if slices.ContainsFunc(all, func(x coverage) bool { return x.completeFor(e) }) {
			k.partitions[p].completeThrough = l[0].first - 1
			return nil, true
		}
	}
	if complete {
		k.partitions[p].completeThrough = l[0].first - 1
	}
	return nil, complete
}

// syncReplies returns what members answered under an epoch. Answers under an earlier epoch are dropped, since they
// may be incomplete by now.
func (k *Replicas) syncReplies(p partition, n ident.Epoch) map[ident.Member]coverage {
	o := &k.partitions[p]
	if o.repliesEpoch != n || o.replies == nil {
		o.repliesEpoch, o.replies = n, map[ident.Member]coverage{}
	}
	return o.replies
}

// retentionCutoff returns the Unix time in milliseconds before which no record counts any more.
func (k *Replicas) retentionCutoff(v *view.View) int64 {
	longest := time.Duration(0)
	for i := range v.Config.Service {
		longest = max(longest, time.Duration(v.Config.Service[i].KeyRetention))
	}
	return k.wall().Add(-longest - maxWallSkew).UnixMilli()
}

// copyRecord copies a record with the time that it has left, with or without the body of its answer.
func copyRecord(r *wire.ClaimRecord, left int64, body bool) *wire.ClaimRecord {
	o := &wire.ClaimRecord{
		Service: r.GetService(), Key: r.GetKey(), Fingerprint: r.GetFingerprint(), Token: r.GetToken(),
		RetentionMs: r.GetRetentionMs(), LeftMs: left, Answer: r.GetAnswer(),
	}
	if a := r.GetAnswer(); a != nil && !body {
		o.Answer = withoutBody(a)
	}
	return o
}
