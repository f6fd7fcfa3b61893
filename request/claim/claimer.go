package claim

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The pace at which an entry asks again.
const (
	firstPause = 2 * time.Millisecond
	longPause  = 50 * time.Millisecond
	// maxUnsure is how long keepers may be out of reach before the caller is told that they are.
	maxUnsure = 500 * time.Millisecond
)

// Pause waits for a span and reports false when the context ended first.
type Pause func(ctx context.Context, d time.Duration) bool

// Claimer gets hold of keys on behalf of the requests that an entry takes; it is safe for concurrent use.
type Claimer struct {
	views   *view.Holder
	network Network
	clock   clock.Clock
	pause   Pause
	pending sync.WaitGroup
}

// New returns a claimer that asks the keepers of the newest view.
func New(v *view.Holder, n Network, c clock.Clock, p Pause) *Claimer {
	return &Claimer{views: v, network: n, clock: c, pause: p}
}

// Ticket is the right to run the request of a key once.
type Ticket struct {
	claimer *Claimer
	record  *wire.ClaimRecord
	keepers []*wire.Member
}

// Begin gets hold of the key of a call that must not run twice. Without a ticket the answer is final.
func (m *Claimer) Begin(ctx context.Context, c *call.Call) (*Ticket, call.Answer) {
	start := m.clock.Now()
	for d := firstPause; ; d = min(2*d, longPause) {
		t, w := m.try(ctx, c)
		switch x := w.(type) {
		case won:
			return t, call.Answer{}
		case settled:
			return nil, x.answer
		case running:
			if m.clock.Now() >= c.Deadline {
				return nil, call.Unknown(outcome.KeyUnknown)
			}
		case unsure:
			if now := m.clock.Now(); now >= c.Deadline || now.Sub(start) >= maxUnsure {
				return nil, call.Unknown(outcome.KeyUnknown)
			}
		}
		if !m.pause(ctx, d) {
			return nil, call.Unknown(outcome.Cancelled)
		}
	}
}

// Finish tells the keepers what became of the call, without waiting for them.
func (t *Ticket) Finish(a *call.Answer) {
	s := &wire.ClaimSettle{Record: t.record, Release: a.Outcome == outcome.NotRun}
	if !s.GetRelease() {
		t.record.Answer = encode(a)
	}
	t.claimer.tell(t.keepers, s)
}

// Drain waits until the keepers were told of all calls that are finished.
func (m *Claimer) Drain() {
	m.pending.Wait()
}

// try asks all keepers once. The token is new each time, so that a late message of an earlier try touches nothing.
func (m *Claimer) try(ctx context.Context, c *call.Call) (*Ticket, result) {
	v := m.views.Get()
	s, ok := v.Config.FindService(c.Service)
	if !ok {
		return nil, settled{answer: call.NotRun(outcome.NoService)}
	}
	t := &Ticket{
		claimer: m, record: newRecord(s, c),
		keepers: keepersOf(v.Epoch.GetMembers(), partitionOf(c.Service, c.Key)),
	}
	y := tally{of: len(t.keepers), fingerprint: t.record.GetFingerprint()}
	m.network.Fan(ctx, t.reserve(v), func(_ int, r *wire.ClaimReply) bool { return y.add(r) })
	w := y.result()
	if _, ok := w.(won); !ok {
		m.tell(t.keepers, &wire.ClaimSettle{Record: t.record, Release: true})
	}
	return t, w
}

func (t *Ticket) reserve(v *view.View) []Envelope {
	r := t.record
	q := &wire.ClaimReserve{
		Service: r.GetService(), Key: r.GetKey(), Fingerprint: r.GetFingerprint(), Token: r.GetToken(),
		RetentionMs: r.GetRetentionMs(),
	}
	l := make([]Envelope, 0, len(t.keepers))
	for _, m := range t.keepers {
		l = append(l, Envelope{To: m, Request: &wire.ClaimRequest{
			To: m.GetId(), Epoch: v.Epoch.GetNumber(), Body: &wire.ClaimRequest_Reserve{Reserve: q},
		}})
	}
	return l
}

// tell sends a settlement to the keepers in the background.
func (m *Claimer) tell(keepers []*wire.Member, s *wire.ClaimSettle) {
	if len(keepers) == 0 {
		return
	}
	l := make([]Envelope, 0, len(keepers))
	for _, k := range keepers {
		l = append(l, Envelope{To: k, Request: &wire.ClaimRequest{
			To: k.GetId(), Body: &wire.ClaimRequest_Settle{Settle: s},
		}})
	}
	m.pending.Go(func() {
		m.network.Fan(context.Background(), l, func(int, *wire.ClaimReply) bool { return false })
	})
}

func newRecord(s *config.Service, c *call.Call) *wire.ClaimRecord {
	return &wire.ClaimRecord{
		Service: string(c.Service), Key: string(c.Key), Fingerprint: uint64(quarantine.Of(c)), Token: rand.Text(),
		RetentionMs: time.Duration(s.KeyRetention).Milliseconds(),
	}
}
