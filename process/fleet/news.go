package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
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

// newsTimeout bounds one call: a reader that takes longer is passed over for the next that sends a digest.
const newsTimeout = time.Second

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
	return f.encode(q)
}

// encodedNews is the answer to one question at one state of the catalog.
type encodedNews struct {
	mu   sync.Mutex
	key  string
	news json.RawMessage
}

// encode returns the news since the revisions, encoded once for all that ask the same before the next change.
func (f *Fleet) encode(q *wire.Since) (json.RawMessage, error) {
	changed, _ := f.catalog.Revisions()
	e := &f.encoded
	e.mu.Lock()
	defer e.mu.Unlock()
	if k := fmt.Sprint(q.GetAsOf(), changed); k != e.key || f.catalog.Keep() > 0 {
		b, err := protojson.Marshal(f.news(q))
		if err != nil {
			return nil, fmt.Errorf("encode news: %w", err)
		}
		e.key, e.news = k, b
	}
	return e.news, nil
}

// news collects what has changed since the revisions that another member has.
func (f *Fleet) news(q *wire.Since) *wire.News {
	a := &wire.News{KeepMs: uint32(f.catalog.Keep().Milliseconds())}
	changed, _ := f.catalog.Revisions()
	for k := range catalog.Kinds {
		since := ident.Revision(q.GetAsOf()[k])
		if since >= changed[k] && since != 0 {
			continue
		}
		n := f.catalog.Since(k, since)
		m := &wire.KindNews{Kind: uint32(k), Whole: n.Whole, AsOf: uint64(n.AsOf)}
		for _, c := range n.Changes {
			m.Records = append(m.Records, &wire.RecordNews{
				Name: c.Name, Revision: uint64(c.Revision), Deleted: c.Deleted, Raw: c.Raw,
			})
		}
		a.Kinds = append(a.Kinds, m)
	}
	return a
}

// fetchNews fetches from the readers that have news, over one connection kept for each.
func (f *Fleet) fetchNews(ctx context.Context) {
	conns := map[ident.Address]*jsonrpc2.Conn{}
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-f.fetch.Out():
			clock.Sleep(ctx, rand.N(time.Duration(f.Members())*spreadPerMember+1))
			if err := f.fetchFrom(ctx, conns, a); err != nil {
				f.log.Warn().Str("From", string(a)).Err(err).Msg("news not fetched")
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
	f.adopt(w)
	return nil
}

// closed ends a connection that failed a call; an error on the way out adds nothing to that of the call.
func closed(c *jsonrpc2.Conn, err error) error {
	_ = c.Close()
	return err
}

// adopt takes the news of a reader into the catalog.
func (f *Fleet) adopt(w *wire.News) {
	if w.GetKeepMs() > 0 {
		f.catalog.Regained(time.Duration(w.GetKeepMs()) * time.Millisecond)
	}
	for _, m := range w.GetKinds() {
		if m.GetKind() >= uint32(catalog.Kinds) {
			continue
		}
		k := catalog.Kind(m.GetKind())
		n := catalog.News{Whole: m.GetWhole(), AsOf: ident.Revision(m.GetAsOf())}
		for _, r := range m.GetRecords() {
			n.Changes = append(n.Changes, f.change(k, r))
		}
		f.catalog.Take(k, n)
	}
}

func (f *Fleet) change(k catalog.Kind, r *wire.RecordNews) catalog.Change {
	c, err := f.source.Decode(k, r.GetRaw())
	if err != nil {
		c = catalog.Record{Entry: catalog.Unreadable{Err: err}}
	}
	c.Name, c.Revision = r.GetName(), ident.Revision(r.GetRevision())
	return catalog.Change{Record: c, Deleted: r.GetDeleted()}
}
