package fleet

import (
	"context"
	"net/netip"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// pieceSize is how much of the news goes into one datagram, which fits in a packet with its headers.
	pieceSize = 1100
	// maxPieces bounds the datagrams of one kind's news for a member; longer news are fetched.
	maxPieces = 64
	// maxHeld bounds the news that are being put together.
	maxHeld = 8
	// firstPush is how long a VM that begins to read waits before it sends, so that it knows all members: the answers to
	// its first watches take a few milliseconds.
	firstPush = 100 * time.Millisecond
	// pushTurn is how long a reader that is not the first waits for another one to send the same news.
	pushTurn = 60 * time.Millisecond
	// burst is how many datagrams are sent at once; the pause after them leaves half of the link to requests.
	burst     = 32
	burstBits = burst * (pieceSize + headerSize) * 8
	linkShare = 0.5
	// headerSize is what the headers and the digest add to a piece, in bytes.
	headerSize = 200
	// longestPush is how long the news of a kind may take to send; members fetch longer ones side by side.
	longestPush = 500 * time.Millisecond
)

// pusher remembers up to which revision of each kind the members were sent the news, by this VM or by another reader.
type pusher struct {
	sent [catalog.Kinds]ident.Revision
}

// push sends the news of each kind to all members, in datagrams; those who lose one fetch the news.
func (f *Fleet) push(ctx context.Context) {
	changed, _ := f.catalog.Revisions()
	// Members come first: a fleet that has just started hears of its readers by them.
	for _, k := range []catalog.Kind{catalog.Members, catalog.Configurations, catalog.Evacuations, catalog.Targets} {
		f.mu.Lock()
		from := f.pusher.sent[k]
		f.pusher.sent[k] = max(from, changed[k])
		f.mu.Unlock()
		if from == 0 || from >= changed[k] {
			continue
		}
		b, err := f.packed.of(f.catalog, k, from)
		if err != nil {
			f.log.Error().Err(err).Str("Kind", k.String()).Msg("news not packed")
			continue
		}
		l := split(b, &wire.Piece{Kind: uint32(k), From: uint64(from), AsOf: uint64(changed[k])})
		if bursts := len(l) * f.Members() / burst; len(l) > maxPieces || time.Duration(bursts)*f.burstPause() > longestPush {
			continue
		}
		for i, p := range l {
			f.send(ctx, p, i*f.Members())
		}
	}
}

// split cuts packed news into pieces.
func split(b []byte, p *wire.Piece) []*wire.Piece {
	n := (len(b) + pieceSize - 1) / pieceSize
	l := make([]*wire.Piece, 0, n)
	for i := range n {
		l = append(l, &wire.Piece{
			Kind: p.GetKind(), From: p.GetFrom(), AsOf: p.GetAsOf(), Index: uint32(i), Count: uint32(n),
			Data: b[i*pieceSize : min((i+1)*pieceSize, len(b))],
		})
	}
	return l
}

// pushed notes that another reader has sent the news up to its revisions.
func (f *Fleet) pushed(changed *[catalog.Kinds]ident.Revision) {
	for k := range catalog.Kinds {
		f.pusher.sent[k] = max(f.pusher.sent[k], changed[k])
	}
}

// burstPause is the pause after a burst of datagrams.
func (f *Fleet) burstPause() time.Duration {
	if f.linkMbps <= 0 {
		return 0
	}
	return time.Duration(burstBits / (linkShare * f.linkMbps) * float64(time.Microsecond))
}

// sendAll writes one datagram to all other members, with pauses; before is how many were sent just now.
func (f *Fleet) sendAll(ctx context.Context, b []byte, before int) {
	for i, m := range f.catalog.Get().Members {
		if m.Name == f.self.Name {
			continue
		}
		a, err := netip.ParseAddrPort(string(m.Address))
		if err != nil {
			f.log.Debug().Str("Member", string(m.Name)).Err(err).Msg("address of a member can't be used")
			continue
		}
		// A datagram that can't be sent is one that is lost; the next one follows soon.
		_, _ = f.conn.WriteToUDPAddrPort(b, a)
		if (before+i)%burst == burst-1 {
			clock.Sleep(ctx, f.burstPause())
		}
	}
}

// assembly is the pieces of one kind's news that have arrived from one reader.
type assembly struct {
	reader     ident.Address
	from, asOf ident.Revision
	pieces     [][]byte
	missing    int
}

// assemblies puts the pieces of news together; callers serialise access.
type assemblies struct {
	held [catalog.Kinds][]*assembly
}

// put takes a piece and returns the news that it completes, or nil.
func (s *assemblies) put(reader ident.Address, p *wire.Piece) []byte {
	if p.GetKind() >= uint32(catalog.Kinds) || p.GetCount() == 0 || p.GetCount() > maxPieces ||
		p.GetIndex() >= p.GetCount() {
		return nil
	}
	a := s.of(reader, p)
	if len(a.pieces) != int(p.GetCount()) || a.pieces[p.GetIndex()] != nil {
		return nil
	}
	a.pieces[p.GetIndex()] = p.GetData()
	a.missing--
	if a.missing > 0 {
		return nil
	}
	var b []byte
	for _, d := range a.pieces {
		b = append(b, d...)
	}
	return b
}

func (s *assemblies) of(reader ident.Address, p *wire.Piece) *assembly {
	l := s.held[p.GetKind()]
	from, asOf := ident.Revision(p.GetFrom()), ident.Revision(p.GetAsOf())
	for _, a := range l {
		if a.reader == reader && a.from == from && a.asOf == asOf {
			return a
		}
	}
	a := &assembly{
		reader: reader, from: from, asOf: asOf, pieces: make([][]byte, p.GetCount()), missing: int(p.GetCount()),
	}
	if len(l) == maxHeld {
		l = l[1:]
	}
	s.held[p.GetKind()] = append(l, a)
	return a
}
