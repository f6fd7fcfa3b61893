package fleet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxDigest bounds a datagram that is read.
const maxDigest = 2048

// announce sends digests to all members while this VM reads: at once after a change, else now and then.
func (f *Fleet) announce(ctx context.Context) {
	t := time.NewTicker(digestEvery)
	defer t.Stop()
	for {
		c := f.catalog.Changed()
		if reading, confirmed := f.follower.Reading(); reading && confirmed != 0 {
			f.send()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-c:
		}
	}
}

func (f *Fleet) send() {
	changed, asOf := f.catalog.Revisions()
	_, confirmed := f.follower.Reading()
	d := &wire.Digest{
		Member: string(f.self.Name), AgeMs: uint32(min(f.clock.Now().Sub(confirmed).Milliseconds(), 1<<31)),
	}
	for k := range catalog.Kinds {
		d.Changed = append(d.Changed, uint64(changed[k]))
		d.AsOf = append(d.AsOf, uint64(asOf[k]))
	}
	b, err := proto.Marshal(d)
	if err != nil {
		f.log.Error().Err(err).Msg("digest not encoded")
		return
	}
	for _, m := range f.catalog.Get().Members {
		if m.Name == f.self.Name {
			continue
		}
		a, err := netip.ParseAddrPort(string(m.Address))
		if err != nil {
			continue
		}
		// A datagram that can't be sent is one that is lost; the next one follows soon.
		_, _ = f.conn.WriteToUDPAddrPort(b, a)
	}
}

// receive takes digests until the socket is closed.
func (f *Fleet) receive(u *net.UDPConn) {
	b := make([]byte, maxDigest)
	for {
		n, from, err := u.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		d := &wire.Digest{}
		if err := proto.Unmarshal(b[:n], d); err != nil || len(d.GetChanged()) != int(catalog.Kinds) ||
			len(d.GetAsOf()) != int(catalog.Kinds) {
			f.log.Warn().Str("From", from.String()).Msg("datagram is no digest")
			continue
		}
		f.take(d, ident.Address(from.String()))
	}
}

// take notes what a reader knows, and whether there is something to fetch from it.
func (f *Fleet) take(d *wire.Digest, from ident.Address) {
	now := f.clock.Now()
	confirmed := now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)
	_, asOf := f.catalog.Revisions()
	behind := false
	for k := range catalog.Kinds {
		if ident.Revision(d.GetChanged()[k]) > asOf[k] {
			behind = true
		}
	}
	if !behind {
		for k := range catalog.Kinds {
			f.catalog.Unchanged(k, ident.Revision(d.GetAsOf()[k]))
		}
	}
	f.mu.Lock()
	f.heard[ident.VM(d.GetMember())] = heard{at: now, confirmed: confirmed}
	if !behind {
		f.confirmed = max(f.confirmed, confirmed)
	}
	f.mu.Unlock()
	if behind {
		f.fetch.Offer(from)
	}
}
