package fleet

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxUnpacked bounds the news of one kind: a listing of the store at the target size is a tenth of it.
const maxUnpacked = 64 << 20

// packed holds the last packed listing of each kind; many members ask for the same.
type packed struct {
	mu    sync.Mutex
	whole [catalog.Kinds]struct {
		asOf ident.Revision
		keep time.Duration
		data []byte
	}
}

// keepGrain is how much longer than it has to be a member may keep targets that are missing after an outage.
const keepGrain = 300 * time.Millisecond

// of returns the packed news of a kind since a revision.
func (p *packed) of(g *catalog.Catalog, k catalog.Kind, since ident.Revision) ([]byte, error) {
	n := g.Since(k, since)
	keep := g.Keep()
	if !n.Whole {
		return pack(k, n, keep)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &p.whole[k]
	if w.data == nil || w.asOf != n.AsOf || w.keep < keep || w.keep > keep+keepGrain {
		b, err := pack(k, n, keep)
		if err != nil {
			return nil, err
		}
		w.asOf, w.keep, w.data = n.AsOf, keep, b
	}
	return w.data, nil
}

// pack encodes and compresses the news of a kind.
func pack(k catalog.Kind, n catalog.News, keep time.Duration) ([]byte, error) {
	m := &wire.KindNews{Kind: uint32(k), Whole: n.Whole, AsOf: uint64(n.AsOf), KeepMs: uint32(keep.Milliseconds())}
	for _, c := range n.Changes {
		m.Records = append(m.Records, &wire.RecordNews{
			Name: c.Name, Revision: uint64(c.Revision), Deleted: c.Deleted, Raw: c.Raw,
		})
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode news of %s: %w", k, err)
	}
	var z bytes.Buffer
	w, err := flate.NewWriter(&z, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress news of %s: %w", k, err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("compress news of %s: %w", k, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress news of %s: %w", k, err)
	}
	return z.Bytes(), nil
}

func unpack(b []byte) (*wire.KindNews, error) {
	r := flate.NewReader(bytes.NewReader(b))
	u, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return nil, fmt.Errorf("decompress news: %w", err)
	}
	m := &wire.KindNews{}
	if err := proto.Unmarshal(u, m); err != nil {
		return nil, fmt.Errorf("decode news: %w", err)
	}
	if m.GetKind() >= uint32(catalog.Kinds) {
		return nil, fmt.Errorf("decode news: unknown kind %d", m.GetKind())
	}
	return m, nil
}

// adopt takes the packed news of a reader into the catalog.
func (f *Fleet) adopt(b []byte) error {
	m, err := unpack(b)
	if err != nil {
		return err
	}
	if m.GetKeepMs() > 0 {
		f.catalog.Regained(time.Duration(m.GetKeepMs()) * time.Millisecond)
	}
	k := catalog.Kind(m.GetKind())
	n := catalog.News{Whole: m.GetWhole(), AsOf: ident.Revision(m.GetAsOf())}
	for _, r := range m.GetRecords() {
		n.Changes = append(n.Changes, f.change(k, r))
	}
	f.catalog.Take(k, n)
	return nil
}

func (f *Fleet) change(k catalog.Kind, r *wire.RecordNews) catalog.Change {
	c, err := f.source.Decode(k, r.GetRaw())
	if err != nil {
		c = catalog.Record{Entry: catalog.Unreadable{Err: err}}
	}
	c.Name, c.Revision = r.GetName(), ident.Revision(r.GetRevision())
	return catalog.Change{Record: c, Deleted: r.GetDeleted()}
}
