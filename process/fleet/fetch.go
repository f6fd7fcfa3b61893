package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// methodNews is the JSON-RPC method that fetches updates from a reader.
const methodNews = "Fleet.News"

// methodKindNews is the JSON-RPC method that fetches the update of one kind beyond listedKinds. Members of older builds
// do not have it.
const methodKindNews = "Fleet.KindNews"

// fetchTimeout bounds one fetch: if a reader takes longer, the next reader that sends a digest is asked. A reader from
// which all members fetch a full listing needs seconds, and repeated calls would slow it down further.
const fetchTimeout = 3 * time.Second

// datagramWait is how long a member that learns of a change from a digest waits for its datagrams before it fetches it.
const datagramWait = 40 * time.Millisecond

// Limits on when a member fetches, and from whom.
const (
	// fetchSpreadPerMember times the number of members is the span over which the fetches from a reader after one digest
	// are spread, within maxFetchSpread.
	fetchSpreadPerMember = 3 * time.Millisecond
	maxFetchSpread       = 200 * time.Millisecond
	// catchUpWait is how long a member that is asked for changes which it lacks itself waits for them.
	catchUpWait = 400 * time.Millisecond
	// memberFetchTimeout bounds a fetch from a member other than a reader.
	memberFetchTimeout = 600 * time.Millisecond
	// failedMemory is how long a member from which a fetch has failed is not asked again; the reader is asked instead.
	failedMemory = 5 * time.Second
)

// waitToCatchUp waits until this VM has the changes that another member has heard of, for catchUpWait at most.
func (f *Fleet) waitToCatchUp(ctx context.Context, q *wire.Since) {
	if len(q.GetWant()) != int(listedKinds) {
		return
	}
	var want [catalog.KindCount]catalog.Position
	for k := range listedKinds {
		want[k] = catalog.Position{Era: eraAt(q.GetWantEras(), k), Revision: ident.Revision(q.GetWant()[k])}
	}
	f.waitFor(ctx, &want)
}

// waitFor waits until this VM has the changes at the given positions, for catchUpWait at most.
func (f *Fleet) waitFor(ctx context.Context, want *[catalog.KindCount]catalog.Position) {
	t := time.NewTimer(catchUpWait)
	defer t.Stop()
	for {
		c := f.catalog.Changed()
		if !f.isBehind(want) {
			return
		}
		select {
		case <-c:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// updatesSince returns the changes of each kind since the revisions that another member has.
func (f *Fleet) updatesSince(q *wire.Since) (*wire.News, error) {
	a := &wire.News{}
	changed, _ := f.catalog.Positions()
	for k := range listedKinds {
		since := catalog.Position{Era: eraAt(q.GetEras(), k), Revision: ident.Revision(q.GetAsOf()[k])}
		if !since.Before(changed[k]) && since.Known() {
			continue
		}
		b, err := f.updates.get(f.catalog, k, since)
		if err != nil {
			return nil, err
		}
		a.Packed = append(a.Packed, b)
	}
	return a, nil
}

// pendingFetch is what a digest says of a reader: its positions of the last change of each kind, and when the store
// last confirmed its copy.
type pendingFetch struct {
	reader ident.Address
	// from is the member to fetch from; if empty, it is the reader.
	from    ident.Address
	changed [catalog.KindCount]catalog.Position
	// hasExtra is true for the kinds beyond listedKinds that the digest covers.
	hasExtra  [catalog.KindCount]bool
	confirmed clock.Instant
}

// boundKinds are the kinds whose changes have to take effect in time.
var boundKinds = []catalog.Kind{catalog.Configurations, catalog.Evacuations, catalog.Targets, catalog.Rollouts}

// allKinds are the kinds of objects in the order in which they are pushed: in a fleet that has just started, VMs learn
// of their readers through the kind Members.
var allKinds = []catalog.Kind{
	catalog.Members, catalog.Configurations, catalog.Evacuations, catalog.Rollouts, catalog.Targets,
}

// isBehind reports whether this VM lacks a change of any kind.
func (f *Fleet) isBehind(changed *[catalog.KindCount]catalog.Position) bool {
	return f.isBehindIn(changed, allKinds)
}

// isBehindIn reports whether this VM lacks a change of one of the given kinds.
func (f *Fleet) isBehindIn(changed *[catalog.KindCount]catalog.Position, kinds []catalog.Kind) bool {
	_, asOf := f.catalog.Positions()
	for _, k := range kinds {
		if asOf[k].Before(changed[k]) {
			return true
		}
	}
	return false
}

// fetcher fetches updates over one persistent connection to each member that it asks.
type fetcher struct {
	fleet *Fleet
	conns map[ident.Address]*jsonrpc2.Conn
	// failedAt is when the last fetch from a member failed.
	failedAt map[ident.Address]clock.Instant
}

// fetchUpdates fetches the updates that did not arrive as datagrams.
func (f *Fleet) fetchUpdates(ctx context.Context) {
	h := &fetcher{fleet: f, conns: map[ident.Address]*jsonrpc2.Conn{}, failedAt: map[ident.Address]clock.Instant{}}
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.fetchQueue.Out():
			clock.Sleep(ctx, datagramWait)
			h.fetch(ctx, &p)
		}
	}
}

// fetch fetches what a digest has shown to be missing: from the member that the digest names, or else from the reader.
func (h *fetcher) fetch(ctx context.Context, p *pendingFetch) {
	f := h.fleet
	now := f.clock.Now()
	if at, failed := h.failedAt[p.from]; p.from != "" && f.isBehind(&p.changed) &&
		(!failed || now.Sub(at) >= failedMemory) {
		if err := h.fetchFrom(ctx, p.from, memberFetchTimeout, p); err != nil {
			h.failedAt[p.from] = now
			f.log.Info().Str("From", string(p.from)).Err(err).Msg("could not fetch updates from member; asking the reader")
		}
	}
	if !f.isBehind(&p.changed) {
		return
	}
	clock.Sleep(ctx, rand.N(min(time.Duration(f.Members())*fetchSpreadPerMember, maxFetchSpread)+1))
	if !f.isBehind(&p.changed) {
		return
	}
	if err := h.fetchFrom(ctx, p.reader, fetchTimeout, p); err != nil {
		f.log.Warn().Str("From", string(p.reader)).Err(err).Msg("could not fetch updates from reader")
	}
}

// fetchFrom fetches from one member all changes since the positions of this VM, and applies them.
func (h *fetcher) fetchFrom(ctx context.Context, a ident.Address, timeout time.Duration, p *pendingFetch) error {
	f := h.fleet
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := h.connect(ctx, a)
	if err != nil {
		return err
	}
	if err := h.call(ctx, a, c, methodNews, f.newSince(p)); err != nil {
		return err
	}
	return h.fetchExtra(ctx, a, c, p)
}

// newSince returns the fetch of all changes since the positions of this VM.
func (f *Fleet) newSince(p *pendingFetch) *wire.Since {
	_, asOf := f.catalog.Positions()
	q := &wire.Since{}
	for k := range listedKinds {
		q.AsOf = append(q.AsOf, uint64(asOf[k].Revision))
		q.Eras = append(q.Eras, uint64(asOf[k].Era))
		q.Want = append(q.Want, uint64(p.changed[k].Revision))
		q.WantEras = append(q.WantEras, uint64(p.changed[k].Era))
	}
	return q
}

// fetchExtra fetches the changes of the kinds beyond listedKinds that this VM lacks.
func (h *fetcher) fetchExtra(ctx context.Context, a ident.Address, c *jsonrpc2.Conn, p *pendingFetch) error {
	f := h.fleet
	_, asOf := f.catalog.Positions()
	for _, k := range f.catalog.Kinds() {
		if k < listedKinds || !asOf[k].Before(p.changed[k]) {
			continue
		}
		q := &wire.KindSince{
			Kind: uint32(k), AsOf: uint64(asOf[k].Revision), Era: uint64(asOf[k].Era), Want: uint64(p.changed[k].Revision),
			WantEra: uint64(p.changed[k].Era),
		}
		err := h.call(ctx, a, c, methodKindNews, q)
		var refused *jsonrpc2.Error
		if errors.As(err, &refused) && refused.Code == jsonrpc2.CodeMethodNotFound {
			// A member of an older build; the kind is fetched from the reader, whose digest covers it.
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// call calls a method of a member and applies the updates in its answer.
func (h *fetcher) call(ctx context.Context, a ident.Address, c *jsonrpc2.Conn, method string, q proto.Message) error {
	f := h.fleet
	m, err := protojson.Marshal(q)
	if err != nil {
		return fmt.Errorf("encode positions: %w", err)
	}
	var b json.RawMessage
	if err := c.Call(ctx, method, json.RawMessage(m), &b); err != nil {
		delete(h.conns, a)
		return fmt.Errorf("request updates: %w", closeAfterError(c, err))
	}
	w := &wire.News{}
	if err := protojson.Unmarshal(b, w); err != nil {
		return fmt.Errorf("decode updates: %w", err)
	}
	f.fetchCount.Add(1)
	for _, b := range w.GetPacked() {
		if err := f.applyUpdate(b); err != nil {
			return err
		}
	}
	return nil
}

// connect returns the connection to a member, which it opens if there is none.
func (h *fetcher) connect(ctx context.Context, a ident.Address) (*jsonrpc2.Conn, error) {
	if c, ok := h.conns[a]; ok {
		return c, nil
	}
	n, err := pool.DialTCP(ctx, "tcp", string(a))
	if err != nil {
		return nil, err
	}
	c := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(n),
		&updateHandler{fleet: h.fleet})
	h.conns[a] = c
	return c, nil
}

// closeAfterError closes a connection on which a call failed and returns the error of the call; an error of Close would
// add nothing to it.
func closeAfterError(c *jsonrpc2.Conn, err error) error {
	_ = c.Close()
	return err
}
