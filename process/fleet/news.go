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

// methodNews asks a reader for what is new.
const methodNews = "Fleet.News"

// newsTimeout bounds one call: a reader that takes longer is passed over for the next that sends a digest. A reader
// whose members all fetch a listing needs seconds, and repeated calls would make it later still.
const newsTimeout = 3 * time.Second

// pushWait is how long news that were told may take to arrive as datagrams before they are fetched.
const pushWait = 40 * time.Millisecond

// spreadPerMember is the span, for each member, over which the fetches after one digest are spread.
const spreadPerMember = 3 * time.Millisecond

// serve answers other members until the listener is closed.
func (f *Fleet) serve(ctx context.Context, l net.Listener) {
	h := jsonrpc2.HandlerWithError(f.handle)
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(n), h)
	}
}

func (f *Fleet) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodNews || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	q := &wire.Since{}
	if err := protojson.Unmarshal(*r.Params, q); err != nil || len(q.GetAsOf()) != int(catalog.Kinds) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "revisions are missing"}
	}
	n, err := f.news(q)
	if err != nil {
		return nil, err
	}
	b, err := protojson.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode news: %w", err)
	}
	return json.RawMessage(b), nil
}

// news collects what has changed since the revisions that another member has.
func (f *Fleet) news(q *wire.Since) (*wire.News, error) {
	a := &wire.News{}
	changed, _ := f.catalog.Revisions()
	for k := range catalog.Kinds {
		since := ident.Revision(q.GetAsOf()[k])
		if since >= changed[k] && since != 0 {
			continue
		}
		b, err := f.packed.of(f.catalog, k, since)
		if err != nil {
			return nil, err
		}
		a.Packed = append(a.Packed, b)
	}
	return a, nil
}

// offer is a reader that has news, and its revisions of the last change of each kind.
type offer struct {
	from    ident.Address
	changed [catalog.Kinds]ident.Revision
}

// behind tells whether a change is not known here.
func (f *Fleet) behind(changed *[catalog.Kinds]ident.Revision) bool {
	_, asOf := f.catalog.Revisions()
	for k := range catalog.Kinds {
		if changed[k] > asOf[k] {
			return true
		}
	}
	return false
}

// fetchNews fetches the news that did not arrive as datagrams, over one connection kept for each reader.
func (f *Fleet) fetchNews(ctx context.Context) {
	conns := map[ident.Address]*jsonrpc2.Conn{}
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-f.fetch.Out():
			clock.Sleep(ctx, pushWait+rand.N(time.Duration(f.Members())*spreadPerMember+1))
			if !f.behind(&o.changed) {
				continue
			}
			if err := f.fetchFrom(ctx, conns, o.from); err != nil {
				f.log.Warn().Str("From", string(o.from)).Err(err).Msg("news not fetched")
			}
		}
	}
}

func (f *Fleet) fetchFrom(ctx context.Context, conns map[ident.Address]*jsonrpc2.Conn, a ident.Address) error {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	c, ok := conns[a]
	if !ok {
		n, err := pool.DialTCP(ctx, "tcp", string(a))
		if err != nil {
			return err
		}
		h := jsonrpc2.HandlerWithError(f.handle)
		c = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(n), h)
		conns[a] = c
	}
	_, asOf := f.catalog.Revisions()
	q := &wire.Since{}
	for _, r := range asOf {
		q.AsOf = append(q.AsOf, uint64(r))
	}
	p, err := protojson.Marshal(q)
	if err != nil {
		return fmt.Errorf("encode revisions: %w", err)
	}
	var b json.RawMessage
	if err := c.Call(ctx, methodNews, json.RawMessage(p), &b); err != nil {
		delete(conns, a)
		return fmt.Errorf("ask for news: %w", closed(c, err))
	}
	w := &wire.News{}
	if err := protojson.Unmarshal(b, w); err != nil {
		return fmt.Errorf("decode news: %w", err)
	}
	f.fetched.Add(1)
	for _, b := range w.GetPacked() {
		if err := f.adopt(b); err != nil {
			return err
		}
	}
	return nil
}

// closed ends a connection that failed a call; an error on the way out adds nothing to that of the call.
func closed(c *jsonrpc2.Conn, err error) error {
	_ = c.Close()
	return err
}
