package fleet

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// fragmentSize is how many bytes of an update go into one datagram, so that it fits in a packet with its headers.
	fragmentSize = 1100
	// maxFragments bounds the datagrams of one update to a member; larger updates are fetched.
	maxFragments = 64
	// maxRelayedFragments bounds them in a fleet where members pass them on.
	maxRelayedFragments = 4
	// maxPartials bounds the updates of one kind that are reassembled at a time.
	maxPartials = 8
	// firstPushDelay is how long a VM that starts to read waits before it sends, so that it knows all members: the answers
	// to its first watches take a few milliseconds.
	firstPushDelay = 100 * time.Millisecond
	// pushDelay is how long a reader other than the top-ranked one waits for another reader to send the same update.
	pushDelay = 60 * time.Millisecond
	// burstSize is how many datagrams are sent without a pause. The pause after them limits the rate to linkShare of the
	// link, which leaves half of it to requests.
	burstSize = 32
	burstBits = burstSize * (fragmentSize + fragmentOverhead) * 8
	linkShare = 0.5
	// fragmentOverhead is how many bytes the headers and the digest add to a fragment.
	fragmentOverhead = 200
	// maxPushTime bounds the time to push the update of one kind; larger updates are fetched, by many members in parallel.
	maxPushTime = 500 * time.Millisecond
)

// pushState holds, for each kind, the position up to which this VM or another reader has sent updates to the members.
type pushState struct {
	sentUpTo [catalog.KindCount]catalog.Position
}

// pushUpdates sends the update of each kind to all members in datagrams. Members that lose one fetch the update.
func (f *Fleet) pushUpdates(ctx context.Context) {
	changed, _ := f.catalog.Positions()
	for _, k := range allKinds {
		f.mu.Lock()
		from := f.pushState.sentUpTo[k]
		f.pushState.sentUpTo[k] = later(from, changed[k])
		f.mu.Unlock()
		if !from.Known() || from.Era != changed[k].Era || !from.Before(changed[k]) {
			continue
		}
		b, err := f.updates.get(f.catalog, k, from)
		if err != nil {
			f.log.Error().Err(err).Str("Kind", k.String()).Msg("could not encode update")
			continue
		}
		l := split(b, &wire.Piece{
			Kind: uint32(k), Era: uint64(from.Era), From: uint64(from.Revision), AsOf: uint64(changed[k].Revision),
		})
		bursts := len(l) * f.Members() / burstSize
		if len(l) > f.maxPushedFragments() || time.Duration(bursts)*f.burstPause() > maxPushTime {
			continue
		}
		for _, p := range l {
			f.sendDigest(ctx, p)
		}
	}
}

// maxPushedFragments returns how many fragments an update may have to be pushed. In a large fleet they are few, since a
// member that passes them on may have a slow link; the tree of fetches is as fast for larger updates.
func (f *Fleet) maxPushedFragments() int {
	if f.Members() > directLimit {
		return maxRelayedFragments
	}
	return maxFragments
}

// split splits an encoded update into fragments, which have the kind and revisions of p.
func split(b []byte, p *wire.Piece) []*wire.Piece {
	n := (len(b) + fragmentSize - 1) / fragmentSize
	l := make([]*wire.Piece, 0, n)
	for i := range n {
		l = append(l, &wire.Piece{
			Kind: p.GetKind(), Era: p.GetEra(), From: p.GetFrom(), AsOf: p.GetAsOf(), Index: uint32(i), Count: uint32(n),
			Data: b[i*fragmentSize : min((i+1)*fragmentSize, len(b))],
		})
	}
	return l
}

// markPushed records that another reader has sent the updates of a kind up to a position. A digest does not show that:
// a VM that has just begun to read announces changes that it has not sent.
func (f *Fleet) markPushed(k catalog.Kind, p catalog.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pushState.sentUpTo[k] = later(f.pushState.sentUpTo[k], p)
}

// later returns the later of two positions.
func later(a, b catalog.Position) catalog.Position {
	if a.Before(b) {
		return b
	}
	return a
}

// burstPause returns the pause after a burst of datagrams.
func (f *Fleet) burstPause() time.Duration {
	if f.linkMbps <= 0 {
		return 0
	}
	return time.Duration(burstBits / (linkShare * f.linkMbps) * float64(time.Microsecond))
}

// partialUpdate holds the fragments of one update that have arrived from one reader.
type partialUpdate struct {
	reader     ident.Address
	from, asOf catalog.Position
	fragments  [][]byte
	missing    int
}

// reassembler joins the fragments of updates; it is not safe for concurrent use.
type reassembler struct {
	partials [catalog.KindCount][]*partialUpdate
}

// add adds a fragment and returns the update that it completes, or nil. It ignores invalid and duplicate fragments.
func (r *reassembler) add(reader ident.Address, p *wire.Piece) []byte {
	if p.GetKind() >= uint32(catalog.KindCount) || p.GetCount() == 0 || p.GetCount() > maxFragments ||
		p.GetIndex() >= p.GetCount() {
		return nil
	}
	a := r.partial(reader, p)
	if len(a.fragments) != int(p.GetCount()) || a.fragments[p.GetIndex()] != nil {
		return nil
	}
	a.fragments[p.GetIndex()] = p.GetData()
	a.missing--
	if a.missing > 0 {
		return nil
	}
	var b []byte
	for _, d := range a.fragments {
		b = append(b, d...)
	}
	return b
}

// spanOf returns the positions between which the update of a fragment holds the changes.
func spanOf(p *wire.Piece) (from, asOf catalog.Position) {
	e := ident.Era(p.GetEra())
	return catalog.Position{Era: e, Revision: ident.Revision(p.GetFrom())},
		catalog.Position{Era: e, Revision: ident.Revision(p.GetAsOf())}
}

// partial returns the update to which a fragment belongs. If it is new and too many are held, the oldest is dropped.
func (r *reassembler) partial(reader ident.Address, p *wire.Piece) *partialUpdate {
	l := r.partials[p.GetKind()]
	from, asOf := spanOf(p)
	for _, a := range l {
		if a.reader == reader && a.from == from && a.asOf == asOf {
			return a
		}
	}
	a := &partialUpdate{
		reader: reader, from: from, asOf: asOf, fragments: make([][]byte, p.GetCount()), missing: int(p.GetCount()),
	}
	if len(l) == maxPartials {
		l = l[1:]
	}
	r.partials[p.GetKind()] = append(l, a)
	return a
}
