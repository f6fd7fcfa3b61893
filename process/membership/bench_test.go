package membership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// BenchmarkRenewal measures one lease renewal with one witness without the network: the request and its grant are each
// encoded, decoded and handled.
func BenchmarkRenewal(b *testing.B) {
	f := newFleet(newDraw(1), 13, 4, disabledRules{})
	if err := f.advance(settleTime); err != nil {
		b.Fatal(err)
	}
	holder := f.nodes[0]
	var q packet
	for _, p := range holder.control.renewLease(holder.clock() + clock.Instant(settleTime)) {
		q = p
	}
	w := f.nodes[nodeIndex(q.to)]
	size := 0
	for b.Loop() {
		r := w.control.receive(w.clock(), "0", roundTrip(b, q.frame, &size))
		holder.control.receive(holder.clock(), "1", roundTrip(b, r[0].frame, &size))
	}
	b.ReportMetric(float64(size)/float64(b.N), "B/renewal")
}

func roundTrip(b *testing.B, f *wire.Frame, size *int) *wire.Frame {
	t, err := proto.Marshal(f)
	if err != nil {
		b.Fatal(err)
	}
	*size += len(t)
	r := &wire.Frame{}
	if err := proto.Unmarshal(t, r); err != nil {
		b.Fatal(err)
	}
	return r
}
