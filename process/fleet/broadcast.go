package fleet

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// directTime is how long a VM that has begun to read sends to all members itself in a large fleet: after a start of the
// whole fleet the members that would pass datagrams on do not know the others yet.
const directTime = 3 * time.Second

// fetchFromField is the number of the field FetchFrom in a digest.
const fetchFromField = 10

// broadcast sends a digest to all other members, itself or through members that pass it on.
func (f *Fleet) broadcast(ctx context.Context, d *wire.Digest) {
	t := f.topology()
	f.mu.Lock()
	direct := t.size <= directLimit || f.clock.Now().Sub(f.readingSince) < directTime
	f.sent++
	turn := f.sent
	f.mu.Unlock()
	for _, c := range t.dataCentres {
		if direct || c == f.self.DataCentre {
			f.sendTo(ctx, t, d, t.byDataCentre[c])
			continue
		}
		m := t.relay(c, turn)
		d.Relay = true
		f.sendTo(ctx, t, d, []roster.Member{m})
		d.Relay = false
	}
}

// sendTo sends a digest to the members in a list but this VM and the reader, with a pause after each burst. Each learns
// from whom to fetch what it lacks.
func (f *Fleet) sendTo(ctx context.Context, t *topology, d *wire.Digest, l []roster.Member) {
	b, err := proto.Marshal(d)
	if err != nil {
		f.log.Error().Err(err).Msg("could not encode digest")
		return
	}
	for i := range l {
		m := &l[i]
		if m.Name == f.self.Name || m.Name == ident.VM(d.GetMember()) {
			continue
		}
		a, err := netip.ParseAddrPort(string(m.Address))
		if err != nil {
			f.log.Debug().Str("Member", string(m.Name)).Err(err).Msg("member has an invalid address")
			continue
		}
		n := b
		if p, ok := t.fetchFrom(ident.VM(d.GetMember()), m); ok {
			// A field after the encoded message belongs to the message.
			n = protowire.AppendTag(b[:len(b):len(b)], fetchFromField, protowire.BytesType)
			n = protowire.AppendString(n, string(p.Address))
		}
		// A failure to send is like a lost datagram; the next digest follows soon.
		_, _ = f.conn.WriteToUDPAddrPort(n, a)
		if i%burstSize == burstSize-1 {
			clock.Sleep(ctx, f.burstPause())
		}
	}
}

// relayDigests passes digests of readers elsewhere on to the members in this VM's data centre.
func (f *Fleet) relayDigests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-f.relayQueue.Out():
			d.Relay, d.FetchFrom = false, ""
			t := f.topology()
			f.sendTo(ctx, t, d, t.byDataCentre[f.self.DataCentre])
		}
	}
}
