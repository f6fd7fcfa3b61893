package membership

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// TestArbitraryDatagrams checks that no datagram, whatever its content, crashes the process or extends a lease without
// a pending request.
func TestArbitraryDatagrams(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := New("r", "", []byte("key"), nil, clock.NewFake(), zerolog.Nop(), nil)
		m.Join(&wire.Member{Id: "a"})
		m.core.adopt(m.clock.Now(), &wire.Epoch{Number: 1, Members: []*wire.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}}})
		for range 20 {
			b := rapid.SliceOfN(rapid.Byte(), 0, maxDatagram).Draw(t, "datagram")
			if rapid.Bool().Draw(t, "frame") {
				b, _ = proto.Marshal(anyFrame(t))
			}
			if rapid.Bool().Draw(t, "tagged") {
				b = appendTag(m.key, b)
			}
			m.handleDatagram(ident.Address("127.0.0.1:1"), b)
			m.apply(m.core.tick)
		}
		if s := m.State(); s.LeaseUntil != 0 && s.LeaseUntil.Sub(m.clock.Now()) > 2*time.Second {
			t.Fatalf("got a lease until %d, want at most 2s from now", s.LeaseUntil)
		}
	})
}

func anyFrame(t *rapid.T) *wire.Frame {
	n := rapid.Uint64()
	f := &wire.Frame{
		Sender: n.Draw(t, "sender"), Target: n.Draw(t, "target"), Epoch: n.Draw(t, "epoch"), Closed: n.Draw(t, "closed"),
	}
	switch rapid.IntRange(0, 7).Draw(t, "body") {
	case 0:
		f.Body = &wire.Frame_Request{Request: &wire.LeaseRequest{
			Sequence: n.Draw(t, "sequence"), Subject: n.Draw(t, "subject"),
		}}
	case 1:
		f.Body = &wire.Frame_Grant{Grant: &wire.LeaseGrant{Sequence: n.Draw(t, "sequence")}}
	case 2:
		f.Body = &wire.Frame_Question{Question: &wire.Question{Subject: n.Draw(t, "subject")}}
	case 3:
		f.Body = &wire.Frame_Report{Report: &wire.Report{Past: true, RemainingMs: rapid.Uint32().Draw(t, "ms")}}
	case 4:
		f.Body = &wire.Frame_Join{Join: &wire.Member{Id: rapid.String().Draw(t, "id")}}
	case 5:
		f.Body = &wire.Frame_Join{}
	case 6:
		f.Body = &wire.Frame_Deputy{Deputy: &wire.Deputy{Subject: n.Draw(t, "subject")}}
	case 7:
		f.Body = &wire.Frame_Deputy{}
	}
	return f
}

// TestDatagramAuthentication checks that only datagrams with a valid authentication tag under the region's key are
// accepted.
func TestDatagramAuthentication(t *testing.T) {
	t.Parallel()
	b := []byte("content")
	for _, c := range []struct {
		name     string
		datagram []byte
		accepted bool
	}{
		{"right key", appendTag([]byte("key"), append([]byte{}, b...)), true},
		{"other key", appendTag([]byte("other"), append([]byte{}, b...)), false},
		{"no authentication tag", b, false},
		{"changed content", append([]byte("C"), appendTag([]byte("key"), append([]byte{}, b...))[1:]...), false},
		{"empty", nil, false},
	} {
		if _, ok := checkTag([]byte("key"), c.datagram); ok != c.accepted {
			t.Errorf("%s: accepted = %t, want %t", c.name, ok, c.accepted)
		}
	}
}
