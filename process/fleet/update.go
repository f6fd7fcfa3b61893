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

// maxUpdateSize bounds the decompressed update of one kind, in bytes. A full listing of a store of the size that the
// system is designed for takes a tenth of it.
const maxUpdateSize = 64 << 20

// updateCache holds the last encoded full listing of each kind and its last encoded changes, since many members fetch
// the same.
type updateCache struct {
	mu      sync.Mutex
	full    [catalog.KindCount]cachedUpdate
	changes [catalog.KindCount]cachedUpdate
}

// cachedUpdate is an encoded update of the changes between two positions, or of everything if since is the zero value.
type cachedUpdate struct {
	since, asOf catalog.Position
	// retain is how long the receiver retains targets that are missing from the store after an outage.
	retain time.Duration
	data   []byte
}

// retentionTolerance is how far the retention time in a cached listing may exceed the current one. After an outage of
// the store, members retain targets that are missing from it for a time that runs down. Without the tolerance a listing
// would have to be encoded again whenever that time has changed; with it, a member may retain them this much too long.
const retentionTolerance = 300 * time.Millisecond

// get returns the encoded update of a kind since a position.
func (c *updateCache) get(g *catalog.Catalog, k catalog.Kind, since catalog.Position) ([]byte, error) {
	n := g.UpdateSince(k, since)
	retain := g.RetainFor()
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.changes[k]
	if n.Whole {
		w, since = &c.full[k], catalog.Position{}
	}
	if w.data == nil || w.since != since || w.asOf != n.AsOf || w.retain < retain ||
		w.retain > retain+retentionTolerance {
		b, err := encodeUpdate(k, n, retain)
		if err != nil {
			return nil, err
		}
		*w = cachedUpdate{since: since, asOf: n.AsOf, retain: retain, data: b}
	}
	return w.data, nil
}

// encodeUpdate encodes and compresses the update of a kind.
func encodeUpdate(k catalog.Kind, n catalog.Update, retain time.Duration) ([]byte, error) {
	m := &wire.KindNews{
		Kind: uint32(k), Whole: n.Whole, Era: uint64(n.AsOf.Era), AsOf: uint64(n.AsOf.Revision),
		KeepMs: uint32(retain.Milliseconds()),
	}
	for _, c := range n.Changes {
		m.Records = append(m.Records, &wire.RecordNews{
			Name: c.Name, Revision: uint64(c.Revision), Deleted: c.Deleted, InEra: c.InEra, Raw: c.Raw,
		})
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode update of %s: %w", k, err)
	}
	var z bytes.Buffer
	w, err := flate.NewWriter(&z, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress update of %s: %w", k, err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("compress update of %s: %w", k, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress update of %s: %w", k, err)
	}
	return z.Bytes(), nil
}

// decodeUpdate decompresses and decodes the update of a kind.
func decodeUpdate(b []byte) (*wire.KindNews, error) {
	r := flate.NewReader(bytes.NewReader(b))
	u, err := io.ReadAll(io.LimitReader(r, maxUpdateSize))
	if err != nil {
		return nil, fmt.Errorf("decompress update: %w", err)
	}
	m := &wire.KindNews{}
	if err := proto.Unmarshal(u, m); err != nil {
		return nil, fmt.Errorf("decode update: %w", err)
	}
	if m.GetKind() >= uint32(catalog.KindCount) {
		return nil, fmt.Errorf("decode update: unknown kind %d", m.GetKind())
	}
	return m, nil
}

// applyUpdate decodes an update from a reader and applies it to the catalog.
func (f *Fleet) applyUpdate(b []byte) error {
	m, err := decodeUpdate(b)
	if err != nil {
		return err
	}
	if m.GetKeepMs() > 0 {
		f.catalog.StoreRegained(time.Duration(m.GetKeepMs()) * time.Millisecond)
	}
	k := catalog.Kind(m.GetKind())
	if !f.catalog.Follows(k) {
		return nil
	}
	n := catalog.Update{
		Whole: m.GetWhole(),
		AsOf:  catalog.Position{Era: ident.Era(m.GetEra()), Revision: ident.Revision(m.GetAsOf())},
	}
	for _, r := range m.GetRecords() {
		n.Changes = append(n.Changes, f.decodeChange(k, r))
	}
	f.catalog.ApplyUpdate(k, n)
	f.confirm()
	return nil
}

// decodeChange decodes one change; a record that can't be decoded becomes an Undecodable.
func (f *Fleet) decodeChange(k catalog.Kind, r *wire.RecordNews) catalog.Change {
	c, err := f.source.Decode(k, r.GetRaw())
	if err != nil {
		c = catalog.Record{Entry: catalog.Undecodable{Err: err}}
	}
	c.Name, c.Revision = r.GetName(), ident.Revision(r.GetRevision())
	return catalog.Change{Record: c, Deleted: r.GetDeleted(), InEra: r.GetInEra()}
}
