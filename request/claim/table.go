package claim

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The limits on the memory of one table.
const (
	// maxReserveBytes is the limit for new keys; the space between it and maxBytes is for records of earlier
	// replicas.
	maxReserveBytes ident.Bytes = 48 << 20
	maxBytes        ident.Bytes = 64 << 20
	// recordOverhead is the memory that a record takes in addition to its encoded size.
	recordOverhead ident.Bytes = 400
	// bucketSpan is the granularity at which records are grouped by their expiry.
	bucketSpan = time.Second
)

// recordKey identifies a key within its service.
type recordKey struct {
	service ident.Service
	key     ident.Key
}

// expiringRecord is the record of one attempt to run the request of a key, with its expiry. A key can have several if
// earlier replicas had recorded different attempts.
type expiringRecord struct {
	record  *wire.ClaimRecord
	expires clock.Instant
}

// table holds the records of the partitions of which a member is or was a replica. It never drops a record before its
// expiry.
type table struct {
	records    map[recordKey][]*expiringRecord
	partitions [partitionCount]map[recordKey]bool
	// buckets hold the keys to check for expired records at the end of each span.
	buckets   map[clock.Instant][]recordKey
	lastSweep clock.Instant
	used      ident.Bytes
}

func newTable() *table {
	return &table{records: map[recordKey][]*expiringRecord{}, buckets: map[clock.Instant][]recordKey{}}
}

func keyOf(r *wire.ClaimRecord) recordKey {
	return recordKey{service: ident.Service(r.GetService()), key: ident.Key(r.GetKey())}
}

func recordSize(r *wire.ClaimRecord) ident.Bytes {
	return recordOverhead + ident.Bytes(proto.Size(r))
}

// find returns the records of a key.
func (t *table) find(i recordKey) []*wire.ClaimRecord {
	var r []*wire.ClaimRecord
	for _, e := range t.records[i] {
		r = append(r, e.record)
	}
	return r
}

// put adds a record, or updates the known record of the same attempt, and reports false if there is no room for a new
// one.
func (t *table) put(r *wire.ClaimRecord, expires clock.Instant, limit ident.Bytes) bool {
	i := keyOf(r)
	j := t.index(i, r.GetToken())
	if j < 0 {
		if t.used+recordSize(r) > limit {
			return false
		}
		t.add(i, &expiringRecord{record: r, expires: expires})
		return true
	}
	e := t.records[i][j]
	if e.record.GetAnswer() == nil && r.GetAnswer() != nil {
		t.used -= recordSize(e.record)
		if t.used+recordSize(r) > maxBytes {
			r.Answer = withoutBody(r.GetAnswer())
		}
		e.record = r
		t.used += recordSize(r)
	}
	if expires > e.expires {
		e.expires = expires
		t.schedule(i, expires)
	}
	return true
}

// release removes the record of one attempt to run the request of a key.
func (t *table) release(i recordKey, token string) {
	if j := t.index(i, token); j >= 0 {
		t.remove(i, j)
	}
}

// sweep removes expired records.
func (t *table) sweep(now clock.Instant) {
	if now.Sub(t.lastSweep) < bucketSpan {
		return
	}
	t.lastSweep = now
	for b, l := range t.buckets {
		if b >= now {
			continue
		}
		delete(t.buckets, b)
		for _, i := range l {
			t.expire(i, now)
		}
	}
}

func (t *table) expire(i recordKey, now clock.Instant) {
	for j := len(t.records[i]) - 1; j >= 0; j-- {
		if t.records[i][j].expires < now {
			t.remove(i, j)
		}
	}
}

func (t *table) index(i recordKey, token string) int {
	return slices.IndexFunc(t.records[i], func(e *expiringRecord) bool { return e.record.GetToken() == token })
}

func (t *table) add(i recordKey, e *expiringRecord) {
	t.records[i] = append(t.records[i], e)
	t.used += recordSize(e.record)
	p := partitionOf(i.service, i.key)
	if t.partitions[p] == nil {
		t.partitions[p] = map[recordKey]bool{}
	}
	t.partitions[p][i] = true
	t.schedule(i, e.expires)
}

func (t *table) remove(i recordKey, j int) {
	l := t.records[i]
	t.used -= recordSize(l[j].record)
	l = slices.Delete(l, j, j+1)
	if len(l) > 0 {
		t.records[i] = l
		return
	}
	delete(t.records, i)
	delete(t.partitions[partitionOf(i.service, i.key)], i)
}

func (t *table) schedule(i recordKey, expires clock.Instant) {
	b := expires - expires%clock.Instant(bucketSpan) + clock.Instant(bucketSpan)
	t.buckets[b] = append(t.buckets[b], i)
}

func withoutBody(a *wire.ClaimAnswer) *wire.ClaimAnswer {
	return &wire.ClaimAnswer{Outcome: a.GetOutcome(), Reason: a.GetReason(), Status: a.GetStatus(), Dropped: true}
}
