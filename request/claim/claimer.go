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

// The backoff between attempts to reserve a key.
const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
	// majorityTimeout is how long a majority of the replicas may be out of reach before the caller is told that the
	// state of the key is unknown.
	majorityTimeout = 500 * time.Millisecond
)

// Sleep waits for a duration and reports false if the context ended first.
type Sleep func(ctx context.Context, d time.Duration) bool

// Claimer reserves keys for the requests that an entry process accepts. It is safe for concurrent use.
type Claimer struct {
	views   *view.Holder
	network Network
	clock   clock.Clock
	sleep   Sleep
	pending sync.WaitGroup
}

// NewClaimer returns a claimer that asks the replicas of the newest view.
func NewClaimer(v *view.Holder, n Network, c clock.Clock, s Sleep) *Claimer {
	return &Claimer{views: v, network: n, clock: c, sleep: s}
}

// Reservation is the right to run the request of a key once.
type Reservation struct {
	claimer  *Claimer
	record   *wire.ClaimRecord
	replicas []*wire.Member
}

// Reserve reserves the key of a call that must not run twice. If it returns no reservation, the answer is final.
func (m *Claimer) Reserve(ctx context.Context, c *call.Call) (*Reservation, call.Answer) {
	start := m.clock.Now()
	for d := minBackoff; ; d = min(2*d, maxBackoff) {
		t, w := m.reserveOnce(ctx, c)
		switch x := w.(type) {
		case acquired:
			return t, call.Answer{}
		case finalAnswer:
			return nil, x.answer
		case inProgress:
			if m.clock.Now() >= c.Deadline {
				return nil, call.Unknown(outcome.KeyUnknown)
			}
		case noMajority:
			if now := m.clock.Now(); now >= c.Deadline || now.Sub(start) >= majorityTimeout {
				return nil, call.Unknown(outcome.KeyUnknown)
			}
		}
		if !m.sleep(ctx, d) {
			return nil, call.Unknown(outcome.Cancelled)
		}
	}
}

// Finish sends the result of the call to the replicas, without waiting for them.
func (t *Reservation) Finish(a *call.Answer) {
	s := &wire.ClaimSettle{Record: t.record, Release: a.Outcome == outcome.NotRun}
	if !s.GetRelease() {
		t.record.Answer = encodeAnswer(a)
	}
	t.claimer.settle(t.replicas, s)
}

// Drain waits until the results of all finished calls have been sent to the replicas.
func (m *Claimer) Drain() {
	m.pending.Wait()
}

// reserveOnce asks all replicas once. Each attempt has a new token, so that a delayed message of an earlier attempt
// has no effect on it.
func (m *Claimer) reserveOnce(ctx context.Context, c *call.Call) (*Reservation, result) {
	v := m.views.Get()
	s, ok := v.Config.FindService(c.Service)
	if !ok {
		return nil, finalAnswer{answer: call.NotRun(outcome.NoService)}
	}
	t := &Reservation{
		claimer: m, record: newRecord(s, c),
		replicas: replicasOf(v.Epoch.GetMembers(), partitionOf(c.Service, c.Key)),
	}
	y := tally{replicas: len(t.replicas), fingerprint: t.record.GetFingerprint()}
	m.network.FanOut(ctx, t.requests(v), func(_ int, r *wire.ClaimReply) bool { return y.add(r) })
	w := y.result()
	if _, ok := w.(acquired); !ok {
		m.settle(t.replicas, &wire.ClaimSettle{Record: t.record, Release: true})
	}
	return t, w
}

// requests returns a request to reserve the key for each replica.
func (t *Reservation) requests(v *view.View) []Envelope {
	r := t.record
	q := &wire.ClaimReserve{
		Service: r.GetService(), Key: r.GetKey(), Fingerprint: r.GetFingerprint(), Token: r.GetToken(),
		RetentionMs: r.GetRetentionMs(),
	}
	l := make([]Envelope, 0, len(t.replicas))
	for _, m := range t.replicas {
		l = append(l, Envelope{To: m, Request: &wire.ClaimRequest{
			To: m.GetId(), Epoch: v.Epoch.GetNumber(), Body: &wire.ClaimRequest_Reserve{Reserve: q},
		}})
	}
	return l
}

// settle sends a settlement to the replicas in the background.
func (m *Claimer) settle(replicas []*wire.Member, s *wire.ClaimSettle) {
	if len(replicas) == 0 {
		return
	}
	l := make([]Envelope, 0, len(replicas))
	for _, k := range replicas {
		l = append(l, Envelope{To: k, Request: &wire.ClaimRequest{
			To: k.GetId(), Body: &wire.ClaimRequest_Settle{Settle: s},
		}})
	}
	m.pending.Go(func() {
		m.network.FanOut(context.Background(), l, func(int, *wire.ClaimReply) bool { return false })
	})
}

func newRecord(s *config.Service, c *call.Call) *wire.ClaimRecord {
	return &wire.ClaimRecord{
		Service: string(c.Service), Key: string(c.Key), Token: rand.Text(),
		Fingerprint: uint64(quarantine.FingerprintOf(string(c.Service), c)),
		RetentionMs: time.Duration(s.KeyRetention).Milliseconds(),
	}
}
