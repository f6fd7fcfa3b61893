package fleet

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxDigest bounds a datagram that is read.
const maxDigest = 2048

// announce sends digests to all members while this VM reads: at once after a change, else now and then.
func (f *Fleet) announce(ctx context.Context) {
	t := time.NewTicker(digestEvery)
	defer t.Stop()
	began := false
	for {
		c := f.catalog.Changed()
		reading, confirmed := f.follower.Reading()
		reading = reading && confirmed != 0
		if reading && !began {
			clock.Sleep(ctx, firstPush)
		}
		began = reading
		if reading {
			if f.unsent() && !f.first() {
				clock.Sleep(ctx, pushTurn)
			}
			f.push(ctx)
			f.send(ctx, nil, 0)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c:
		}
	}
}

// unsent tells whether there are news that no reader has sent.
func (f *Fleet) unsent() bool {
	changed, _ := f.catalog.Revisions()
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range catalog.Kinds {
		if changed[k] > f.pusher.sent[k] {
			return true
		}
	}
	return false
}

// first tells whether this VM is the first of the readers that are heard.
func (f *Fleet) first() bool {
	now := f.clock.Now()
	members := f.catalog.Get().Members
	f.mu.Lock()
	defer f.mu.Unlock()
	mine := rank(members, f.self.Name)
	for v, h := range f.heard {
		if now.Sub(h.at) < heardFor && rank(members, v) < mine {
			return false
		}
	}
	return true
}

// send sends a digest, with a piece of news or without; before is how many datagrams were sent just now.
func (f *Fleet) send(ctx context.Context, p *wire.Piece, before int) {
	changed, asOf := f.catalog.Revisions()
	_, confirmed := f.follower.Reading()
	d := &wire.Digest{
		Member: string(f.self.Name), AgeMs: uint32(min(f.clock.Now().Sub(confirmed).Milliseconds(), 1<<31)), Piece: p,
	}
	sums := f.catalog.Sums()
	for k := range catalog.Kinds {
		d.Sums = append(d.Sums, sums[k])
		d.Changed = append(d.Changed, uint64(changed[k]))
		d.AsOf = append(d.AsOf, uint64(asOf[k]))
	}
	b, err := proto.Marshal(d)
	if err != nil {
		f.log.Error().Err(err).Msg("digest not encoded")
		return
	}
	f.sendAll(ctx, b, before)
}

// receive takes digests until the socket is closed.
func (f *Fleet) receive(u *net.UDPConn) {
	b := make([]byte, maxDigest)
	s := &assemblies{}
	for {
		n, from, err := u.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		d := &wire.Digest{}
		if err := proto.Unmarshal(b[:n], d); err != nil || len(d.GetChanged()) != int(catalog.Kinds) ||
			len(d.GetAsOf()) != int(catalog.Kinds) || len(d.GetSums()) != int(catalog.Kinds) {
			f.log.Warn().Str("From", from.String()).Msg("datagram is no digest")
			continue
		}
		if d.GetPiece() != nil {
			f.hear(d)
			f.takePiece(s, d.GetPiece(), ident.Address(from.String()))
			continue
		}
		f.take(d, ident.Address(from.String()))
	}
}

// takePiece takes news once their last piece is there, if they follow what is known.
func (f *Fleet) takePiece(s *assemblies, p *wire.Piece, from ident.Address) {
	if p.GetKind() >= uint32(catalog.Kinds) {
		return
	}
	_, asOf := f.catalog.Revisions()
	known := asOf[p.GetKind()]
	b := s.put(from, p)
	if b == nil || known < ident.Revision(p.GetFrom()) || known >= ident.Revision(p.GetAsOf()) {
		return
	}
	if err := f.adopt(b); err != nil {
		f.log.Warn().Str("From", string(from)).Err(err).Msg("news not taken")
	}
}

// hear notes that there is a reader, and returns when the store last confirmed to it what it tells.
func (f *Fleet) hear(d *wire.Digest) clock.Instant {
	now := f.clock.Now()
	confirmed := now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[ident.VM(d.GetMember())] = heard{at: now, confirmed: confirmed}
	return confirmed
}

// take notes what a reader knows, and whether there is something to fetch from it.
func (f *Fleet) take(d *wire.Digest, from ident.Address) {
	confirmed := f.hear(d)
	o := offer{from: from}
	for k := range catalog.Kinds {
		o.changed[k] = ident.Revision(d.GetChanged()[k])
		f.catalog.Told(k, o.changed[k], d.GetSums()[k], ident.Revision(d.GetAsOf()[k]))
	}
	behind := f.behind(&o.changed)
	f.mu.Lock()
	f.pushed(&o.changed)
	if !behind {
		f.confirmed = max(f.confirmed, confirmed)
	}
	f.mu.Unlock()
	if behind {
		f.fetch.Offer(o)
	}
}
