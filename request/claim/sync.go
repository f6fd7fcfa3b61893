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

// The pace and size of the exchange of records.
const (
	syncPause      = 10 * time.Millisecond
	maxSyncPause   = time.Second
	maxSyncParts   = 32
	maxSyncBytes   = 2 << 20
	maxAnswerBytes = 64 << 10
)

// Run takes over the records of former keepers whenever the epoch changes, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	pause := syncPause
	complete, tried := ident.Epoch(0), ident.Epoch(0)
	for clock.Sleep(ctx, pause) {
		n := ident.Epoch(k.views.Get().Epoch.GetNumber())
		if n == complete {
			pause = syncPause
			continue
		}
		pause = min(2*pause, maxSyncPause)
		if n != tried {
			tried, pause = n, syncPause
		}
		if k.Sync(ctx) {
			complete = n
		}
	}
}

// Sync asks former keepers once for the records that this keeper lacks and reports whether none lack any more.
func (k *Keeper) Sync(ctx context.Context) bool {
	l := k.questions()
	if len(l) == 0 {
		return true
	}
	k.network.Fan(ctx, l, func(i int, r *wire.ClaimReply) bool {
		k.hear(&l[i], r)
		return false
	})
	return false
}

// questions returns one or more messages for each member whose records are lacking.
func (k *Keeper) questions() []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.look()
	k.layouts.prune(v.Epoch)
	wanted := map[string]*wire.Member{}
	parts := map[string][]uint32{}
	for p := range partition(partitions) {
		if !k.keeps(v, p) || k.ready(v, p) {
			continue
		}
		l, _ := k.missing(v, p)
		for _, m := range l {
			wanted[m.GetId()] = m
			parts[m.GetId()] = append(parts[m.GetId()], uint32(p))
		}
	}
	var r []Envelope
	for i, m := range wanted {
		for l := parts[i]; len(l) > 0; l = l[min(len(l), maxSyncParts):] {
			r = append(r, Envelope{To: m, Request: &wire.ClaimRequest{
				To: i, Epoch: v.Epoch.GetNumber(),
				Body: &wire.ClaimRequest_Sync{Sync: &wire.ClaimSync{Partitions: l[:min(len(l), maxSyncParts)]}},
			}})
		}
	}
	return r
}

func (k *Keeper) keeps(v *view.View, p partition) bool {
	l := k.layouts.get(ident.Epoch(v.Epoch.GetNumber()), v.Epoch.GetMembers())
	return contains(l.keepers[p], map[ident.Member]bool{v.Self: true})
}

// give hands out the records of partitions. From then on this member records nothing under an earlier epoch.
func (k *Keeper) give(n ident.Epoch, s *wire.ClaimSync) *wire.ClaimReply {
	k.seen = max(k.seen, n)
	r := &wire.ClaimReply{Verdict: wire.ClaimVerdict_ClaimVerdictTaken}
	now := k.clock.Now()
	bytes := ident.Bytes(0)
	for _, n := range s.GetPartitions() {
		p := partition(n % partitions)
		for i := range k.table.parts[p] {
			for _, e := range k.table.entries[i] {
				o := copyOf(e.record, e.until.Sub(now).Milliseconds(), bytes < maxSyncBytes)
				bytes += sizeOf(o)
				r.Records = append(r.Records, o)
			}
		}
		o := &k.parts[p]
		r.Parts = append(r.Parts, &wire.ClaimPart{
			Partition: uint32(p), Covers: uint64(o.covers), Ready: uint64(o.ready),
		})
	}
	return r
}

// hear takes in what a former keeper gave.
func (k *Keeper) hear(e *Envelope, r *wire.ClaimReply) {
	if r.GetVerdict() != wire.ClaimVerdict_ClaimVerdictTaken {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.look()
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
		a := k.answers(partition(o.GetPartition()%partitions), n)
		a[ident.Member(e.To.GetId())] = extent{
			covers: ident.Epoch(o.GetCovers()), ready: ident.Epoch(o.GetReady()),
		}
	}
}

// missing returns members whose records of a partition are lacking, or reports that none lack.
func (k *Keeper) missing(v *view.View, p partition) ([]*wire.Member, bool) {
	n := ident.Epoch(v.Epoch.GetNumber())
	l, complete := k.layouts.eras(v.Epoch, p, k.horizon(v))
	own := extent{covers: k.parts[p].covers, ready: k.parts[p].ready}
	if own.reaches(&l[0]) {
		return nil, true
	}
	all := []extent{own}
	heard := k.answers(p, n)
	for i := range l[1:] {
		e := &l[i+1]
		var ask []*wire.Member
		for _, m := range e.keepers {
			x, ok := heard[ident.Member(m.GetId())]
			if !ok && !k.selves[ident.Member(m.GetId())] {
				ask = append(ask, m)
			}
			all = append(all, x)
		}
		if len(e.keepers) > 0 && len(e.keepers)-len(ask) < majority(len(e.keepers)) {
			return ask, false
		}
		if slices.ContainsFunc(all, func(x extent) bool { return x.reaches(e) }) {
			k.parts[p].covers = l[0].first - 1
			return nil, true
		}
	}
	if complete {
		k.parts[p].covers = l[0].first - 1
	}
	return nil, complete
}

// answers returns what members have given under an epoch; what they gave under an earlier one may be incomplete.
func (k *Keeper) answers(p partition, n ident.Epoch) map[ident.Member]extent {
	o := &k.parts[p]
	if o.asking != n || o.heard == nil {
		o.asking, o.heard = n, map[ident.Member]extent{}
	}
	return o.heard
}

// horizon is the Unix time in milliseconds before which no record counts any more.
func (k *Keeper) horizon(v *view.View) int64 {
	longest := time.Duration(0)
	for i := range v.Config.Service {
		longest = max(longest, time.Duration(v.Config.Service[i].KeyRetention))
	}
	return k.wall().Add(-longest - wallSkew).UnixMilli()
}

func copyOf(r *wire.ClaimRecord, left int64, body bool) *wire.ClaimRecord {
	o := &wire.ClaimRecord{
		Service: r.GetService(), Key: r.GetKey(), Fingerprint: r.GetFingerprint(), Token: r.GetToken(),
		RetentionMs: r.GetRetentionMs(), LeftMs: left, Answer: r.GetAnswer(),
	}
	if a := r.GetAnswer(); a != nil && !body {
		o.Answer = withoutBody(a)
	}
	return o
}
