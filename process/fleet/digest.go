package fleet

import (
	"context"
	"math"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/listener"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxDatagram bounds the size of received datagrams.
const maxDatagram = 2048

// announce sends updates and digests to all members while this VM reads the store: at once after a change, and
// otherwise every digestInterval.
func (f *Fleet) announce(ctx context.Context) {
	t := time.NewTicker(digestInterval)
	defer t.Stop()
	wasReading := false
	for {
		c := f.catalog.Changed()
		reading, confirmed := f.follower.Reading()
		reading = reading && confirmed != 0
		if reading && !wasReading {
			clock.Sleep(ctx, firstPushDelay)
		}
		wasReading = reading
		if reading {
			if f.hasUnsentUpdates() && !f.isTopRankedReader() {
				clock.Sleep(ctx, pushDelay)
			}
			f.pushUpdates(ctx)
			f.sendDigest(ctx, nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c:
		}
	}
}

// hasUnsentUpdates reports whether there are changes that no reader has sent yet.
func (f *Fleet) hasUnsentUpdates() bool {
	changed, _ := f.catalog.Positions()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.catalog.Kinds() {
		if f.pushState.sentUpTo[k].Before(changed[k]) {
			return true
		}
	}
	return false
}

// isTopRankedReader reports whether this VM comes before all active readers in the order of rank. Ranks count from 0.
func (f *Fleet) isTopRankedReader() bool {
	now := f.clock.Now()
	t := f.topology()
	f.mu.Lock()
	defer f.mu.Unlock()
	mine := t.rank(f.self.Name)
	for v, h := range f.readers {
		if now.Sub(h.receivedAt) < readerTimeout && t.rank(v) < mine {
			return false
		}
	}
	return true
}

// sendDigest sends a digest to all members, with a fragment of an update unless p is nil.
func (f *Fleet) sendDigest(ctx context.Context, p *wire.Piece) {
	f.broadcast(ctx, f.newDigest(p))
}

// newDigest returns a digest of this VM's copy, with a fragment of an update unless p is nil.
func (f *Fleet) newDigest(p *wire.Piece) *wire.Digest {
	// The confirmation is read first: it holds for what the catalog has from then on.
	_, confirmed := f.follower.Reading()
	changed, asOf := f.catalog.Positions()
	d := &wire.Digest{
		Member: string(f.self.Name), Address: string(f.self.Address),
		AgeMs: milliseconds(f.clock.Now().Sub(confirmed)), ServedMs: milliseconds(f.catalog.ServedFor(confirmed)), Piece: p,
	}
	sums := f.catalog.Checksums()
	for k := range listedKinds {
		d.Sums = append(d.Sums, sums[k])
		d.Changed = append(d.Changed, uint64(changed[k].Revision))
		d.AsOf = append(d.AsOf, uint64(asOf[k].Revision))
		d.Eras = append(d.Eras, uint64(asOf[k].Era))
	}
	for _, k := range f.catalog.Kinds() {
		if k >= listedKinds {
			d.Extra = append(d.Extra, &wire.KindState{
				Kind: uint32(k), Changed: uint64(changed[k].Revision), AsOf: uint64(asOf[k].Revision), Sum: sums[k],
				Era: uint64(asOf[k].Era),
			})
		}
	}
	if p == nil {
		d.Load = f.loads.Summary()
		f.loads.Follow(d.GetLoad())
		f.describePresence(d)
	}
	return d
}

// milliseconds returns a duration as a digest holds it.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(d.Milliseconds(), math.MaxInt32))
}

// receiveDigests handles incoming digests until the socket is closed.
func (f *Fleet) receiveDigests(u net.PacketConn) {
	s := &reassembler{}
	listener.ReadDatagrams(u, maxDatagram, f.log, func(from net.Addr, b []byte) { f.receiveDigest(s, from, b) })
}

func (f *Fleet) receiveDigest(s *reassembler, from net.Addr, b []byte) {
	d := &wire.Digest{}
	err := proto.Unmarshal(b, d)
	if err == nil && f.handleMessage(d) {
		return
	}
	if err != nil || len(d.GetChanged()) != int(listedKinds) ||
		len(d.GetAsOf()) != int(listedKinds) || len(d.GetSums()) != int(listedKinds) {
		f.log.Warn().Str("From", from.String()).Msg("received a datagram that is not a valid digest")
		return
	}
	reader := ident.Address(d.GetAddress())
	if reader == "" {
		reader = ident.Address(from.String())
	}
	if d.GetRelay() {
		f.relayQueue.Replace(proto.CloneOf(d))
	}
	if d.GetPiece() != nil {
		f.recordReader(d)
		f.handleFragment(s, d.GetPiece(), reader)
		return
	}
	f.loads.Follow(d.GetLoad())
	f.handleDigest(d, reader)
}

// handleFragment applies an update once its last fragment has arrived, unless this VM lacks changes from before it or
// already knows all of it.
func (f *Fleet) handleFragment(s *reassembler, p *wire.Piece, from ident.Address) {
	if !f.follows(p.GetKind()) {
		return
	}
	_, asOf := f.catalog.Positions()
	known := asOf[p.GetKind()]
	b := s.add(from, p)
	since, until := spanOf(p)
	f.markPushed(catalog.Kind(p.GetKind()), until)
	if b == nil || known.Before(since) || !known.Before(until) {
		return
	}
	if err := f.applyUpdate(b); err != nil {
		f.log.Warn().Str("From", string(from)).Err(err).Msg("could not apply pushed update")
	}
}

// recordReader records that the sender of a digest is an active reader, and returns when the store last confirmed the
// reader's copy.
func (f *Fleet) recordReader(d *wire.Digest) clock.Instant {
	now := f.clock.Now()
	confirmed := now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)
	f.catalog.RecordServed(confirmed.Add(-time.Duration(d.GetServedMs())*time.Millisecond), confirmed)
	f.mu.Lock()
	defer f.mu.Unlock()
	v := ident.VM(d.GetMember())
	f.readers[v] = readerState{
		receivedAt: now, confirmedAt: confirmed, takesLoads: f.readers[v].takesLoads || d.GetLoad() != nil,
	}
	return confirmed
}

// listedKinds is the number of kinds in the lists of digests and of fetches, which members of older builds demand. The
// states of further kinds are in fields of their own.
const listedKinds = catalog.Members + 1

// follows reports whether this VM follows the kind with a number that another member sent.
func (f *Fleet) follows(k uint32) bool {
	return k < uint32(catalog.KindCount) && f.catalog.Follows(catalog.Kind(k))
}

// applyExtra applies the part of a digest on the kinds beyond listedKinds. A digest without it, from a member of an
// older build, says nothing on them.
func (f *Fleet) applyExtra(d *wire.Digest, p *pendingFetch) {
	for _, s := range d.GetExtra() {
		if !f.follows(s.GetKind()) || s.GetKind() < uint32(listedKinds) {
			continue
		}
		k, era := catalog.Kind(s.GetKind()), ident.Era(s.GetEra())
		p.changed[k] = catalog.Position{Era: era, Revision: ident.Revision(s.GetChanged())}
		p.hasExtra[k] = true
		f.recordExtra(k)
		f.catalog.ApplyDigest(k, p.changed[k], s.GetSum(), catalog.Position{Era: era, Revision: ident.Revision(s.GetAsOf())})
	}
}

// eraAt returns the era of a kind in a list of all kinds; a list without it means era 0.
func eraAt(l []uint64, k catalog.Kind) ident.Era {
	if int(k) >= len(l) {
		return 0
	}
	return ident.Era(l[k])
}

// hasEras reports whether this VM has each kind of a digest in the digest's era. A reader that has not noticed yet that
// the store came back from an older copy can't confirm the copy of a member that has.
func (f *Fleet) hasEras(p *pendingFetch) bool {
	_, asOf := f.catalog.Positions()
	for k := range catalog.KindCount {
		if (k < listedKinds || p.hasExtra[k]) && p.changed[k].Era != asOf[k].Era {
			return false
		}
	}
	return true
}

// handleDigest compares the positions and checksums of a reader with those of this VM, and queues a fetch if this VM
// lacks a change.
func (f *Fleet) handleDigest(d *wire.Digest, reader ident.Address) {
	p := pendingFetch{reader: reader, from: ident.Address(d.GetFetchFrom()), confirmed: f.recordReader(d)}
	for k := range listedKinds {
		era := eraAt(d.GetEras(), k)
		p.changed[k] = catalog.Position{Era: era, Revision: ident.Revision(d.GetChanged()[k])}
		asOf := catalog.Position{Era: era, Revision: ident.Revision(d.GetAsOf()[k])}
		f.catalog.ApplyDigest(k, p.changed[k], d.GetSums()[k], asOf)
	}
	f.applyExtra(d, &p)
	f.followPresence(d, reader, p.changed[catalog.Members])
	f.mu.Lock()
	f.heard = append(f.heard[max(len(f.heard)-maxHeard+1, 0):], p)
	if f.behindSince == 0 {
		f.behindSince = f.clock.Now()
	}
	f.mu.Unlock()
	f.confirm()
	if f.isBehind(&p.changed) {
		f.fetchQueue.Replace(p)
	}
}

// maxHeard bounds the digests that this VM remembers until it has caught up with them: those of a few readers in the
// time that a fetch may take.
const maxHeard = 32

// confirm records when the store last confirmed this VM's copy, by the latest digests of readers with which it has
// caught up. It is called after each digest and each update: while objects change all the time, a copy that is current
// a moment after each digest is never current at one. The list of members may lag, since no bound depends on it.
func (f *Fleet) confirm() {
	f.mu.Lock()
	l := slices.Clone(f.heard)
	f.mu.Unlock()
	at, rolloutsAt, behind := clock.Instant(0), clock.Instant(0), false
	for i := range l {
		if f.isBehindIn(&l[i].changed, boundKinds) {
			behind = true
		} else if f.hasEras(&l[i]) {
			at = max(at, l[i].confirmed)
			if l[i].hasExtra[catalog.Rollouts] {
				rolloutsAt = max(rolloutsAt, l[i].confirmed)
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = max(f.confirmedAt, at)
	f.rolloutsConfirmedAt = max(f.rolloutsConfirmedAt, rolloutsAt)
	if !behind {
		f.behindSince = 0
	}
}
