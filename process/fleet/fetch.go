package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// methodNews is the JSON-RPC method that fetches updates from a reader.
const methodNews = "Fleet.News"

// fetchTimeout bounds one fetch: if a reader takes longer, the next reader that sends a digest is asked. A reader from
// which all members fetch a full listing needs seconds, and repeated calls would slow it down further.
const fetchTimeout = 3 * time.Second

// datagramWait is how long a member that learns of a change from a digest waits for its datagrams before it fetches it.
const datagramWait = 40 * time.Millisecond

// fetchSpreadPerMember times the number of members is the span over which the fetches after one digest are spread.
const fetchSpreadPerMember = 3 * time.Millisecond

// serveFetches answers fetches of other members until the listener is closed.
func (f *Fleet) serveFetches(ctx context.Context, l net.Listener) {
	h := jsonrpc2.HandlerWithError(f.handleCall)
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(n), h)
	}
}

func (f *Fleet) handleCall(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodNews || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	q := &wire.Since{}
	if err := protojson.Unmarshal(*r.Params, q); err != nil || len(q.GetAsOf()) != int(catalog.KindCount) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "revisions are missing"}
	}
	n, err := f.updatesSince(q)
	if err != nil {
		return nil, err
	}
	b, err := protojson.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode updates: %w", err)
	}
	return json.RawMessage(b), nil
}

// updatesSince returns the changes of each kind since the revisions that another member has.
func (f *Fleet) updatesSince(q *wire.Since) (*wire.News, error) {
	a := &wire.News{}
	changed, _ := f.catalog.Positions()
	for k := range catalog.KindCount {
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

// pendingFetch is a reader that has changes this VM lacks, and its positions of the last change of each kind.
type pendingFetch struct {
	reader  ident.Address
	changed [catalog.KindCount]catalog.Position
}

// isBehind reports whether this VM lacks a change of any kind.
func (f *Fleet) isBehind(changed *[catalog.KindCount]catalog.Position) bool {
	_, asOf := f.catalog.Positions()
	for k := range catalog.KindCount {
		if asOf[k].Before(changed[k]) {
			return true
		}
	}
	return false
}

// fetchUpdates fetches the updates that did not arrive as datagrams, over one persistent connection to each reader.
func (f *Fleet) fetchUpdates(ctx context.Context) {
	conns := map[ident.Address]*jsonrpc2.Conn{}
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.fetchQueue.Out():
			clock.Sleep(ctx, datagramWait+rand.N(time.Duration(f.Members())*fetchSpreadPerMember+1))
			if !f.isBehind(&p.changed) {
				continue
			}
			if err := f.fetchFrom(ctx, conns, p.reader); err != nil {
				f.log.Warn().Str("From", string(p.reader)).Err(err).Msg("could not fetch updates from reader")
			}
		}
	}
}

// fetchFrom fetches from one reader all changes since the revisions of this VM, and applies them.
func (f *Fleet) fetchFrom(ctx context.Context, conns map[ident.Address]*jsonrpc2.Conn, a ident.Address) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c, ok := conns[a]
	if !ok {
		n, err := pool.DialTCP(ctx, "tcp", string(a))
		if err != nil {
			return err
		}
		h := jsonrpc2.HandlerWithError(f.handleCall)
		c = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(n), h)
		conns[a] = c
	}
	_, asOf := f.catalog.Positions()
	q := &wire.Since{}
	for _, p := range asOf {
		q.AsOf = append(q.AsOf, uint64(p.Revision))
		q.Eras = append(q.Eras, uint64(p.Era))
	}
	p, err := protojson.Marshal(q)
	if err != nil {
		return fmt.Errorf("encode revisions: %w", err)
	}
	var b json.RawMessage
	if err := c.Call(ctx, methodNews, json.RawMessage(p), &b); err != nil {
		delete(conns, a)
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

// closeAfterError closes a connection on which a call failed and returns the error of the call; an error of Close would
// add nothing to it.
func closeAfterError(c *jsonrpc2.Conn, err error) error {
	_ = c.Close()
	return err
}
