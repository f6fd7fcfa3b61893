package quarantine

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/wire"
)

var (
	died = outcome.Broken{Reason: outcome.Reset}
	done = outcome.Completed{}
)

// logEntry is the end of one attempt in the log of the reference model.
type logEntry struct {
	upstream   ident.Upstream
	began, end clock.Instant
	success    bool
}

// mayQuarantine is the reference model for when a request may be quarantined: since its last success a target died
// during an attempt, and within the suspicion period another one died in an attempt that began after the first death.
func mayQuarantine(log []logEntry) bool {
	for i, a := range log {
		if a.success {
			continue
		}
		for _, b := range log[i+1:] {
			if b.success {
				break
			}
			if b.upstream != a.upstream && b.began > a.end && b.end.Sub(a.end) < suspicionPeriod {
				return true
			}
		}
	}
	return false
}

// TestTableMatchesLog compares two tables with the reference model: a request is quarantined only if the model allows
// it, and a success clears it. The first table observes the attempts, the second one learns of them by messages.
func TestTableMatchesLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		here, there := New(c, 2), New(c, 2)
		var log []logEntry
		open := map[ident.Upstream]clock.Instant{}
		u := func(t *rapid.T) ident.Upstream {
			return ident.Upstream(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "upstream"))
		}
		end := func(t *rapid.T, e outcome.Event) {
			n := u(t)
			began, ok := open[n]
			if !ok {
				return
			}
			delete(open, n)
			here.End(7, n, e)
			if here.reports.Len() > 0 {
				there.Apply(newMessage(here.collectReports(<-here.reports.Out())))
			}
			switch e {
			case done:
				log = nil
			case died:
				log = append(log, logEntry{upstream: n, began: began, end: c.Now()})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"Begin": func(t *rapid.T) {
				n := u(t)
				if _, ok := open[n]; !ok {
					open[n] = c.Now()
					here.Begin(7, n)
				}
			},
			"Died":    func(t *rapid.T) { end(t, died) },
			"Done":    func(t *rapid.T) { end(t, done) },
			"Other":   func(t *rapid.T) { end(t, outcome.Broken{Reason: outcome.Cancelled}) },
			"Advance": func(t *rapid.T) { c.Advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for _, b := range []*Table{here, there} {
					if b.Quarantined(7) && !mayQuarantine(log) {
						t.Fatal("request is quarantined, but the reference model does not allow it")
					}
					if b.Quarantined(8) {
						t.Fatal("request 8 is quarantined although it was never sent")
					}
				}
				if here.Quarantined(7) != there.Quarantined(7) {
					t.Fatal("request is quarantined at one member only, want both or neither")
				}
			},
		})
	})
}

// TestReportedSuccessIsNotNew checks that news of a success, learnt late, don't lift a quarantine for deaths after it.
func TestReportedSuccessIsNotNew(t *testing.T) {
	c := clock.NewFake()
	counts, succeeds, late := New(c, 2), New(c, 2), New(c, 2)
	next := func(b *Table) *wire.QuarantineNews { return newMessage(b.collectReports(<-b.reports.Out())) }
	crash(counts, c, "x")
	c.Advance(time.Millisecond)
	succeeds.Begin(1, "z")
	succeeds.End(1, "z", done)
	crash(counts, c, "y")
	succeeds.Apply(next(counts))
	lift := next(succeeds)
	counts.Apply(lift)
	crash(counts, c, "x")
	late.Apply(lift)
	crash(counts, c, "y")
	late.Apply(next(counts))
	if !counts.Quarantined(1) || !late.Quarantined(1) {
		t.Errorf("quarantined %t and %t after two deaths since the success, want both", counts.Quarantined(1),
			late.Quarantined(1))
	}
}

// TestOldNewsKeepLaterSuccess checks that news of an earlier success don't replace a later one.
func TestOldNewsKeepLaterSuccess(t *testing.T) {
	c := clock.NewFake()
	b := New(c, 2)
	b.Begin(1, "z")
	b.End(1, "z", done)
	c.Advance(time.Second)
	b.Apply(&wire.QuarantineNews{Items: []*wire.QuarantineItem{
		{Fingerprint: 1, AgeMs: 3000},
		{Fingerprint: 1, AgeMs: 2000, QuarantinedMs: 1000, Quarantines: 1},
	}})
	if b.Quarantined(1) {
		t.Error("quarantined for deaths before a success, want not quarantined")
	}
}

// TestQuarantine covers the sequences of crashes that users have encountered.
func TestQuarantine(t *testing.T) {
	rows := []struct {
		name string
		do   func(b *Table, c *clock.Fake)
		want bool
	}{
		{"resent after a crash, and crashes a second target", func(b *Table, c *clock.Fake) {
			crash(b, c, "x")
			crash(b, c, "y")
		}, true},
		{"the same target crashes twice", func(b *Table, c *clock.Fake) { crash(b, c, "x"); crash(b, c, "x") }, false},
		{"in flight at all targets of a data centre that fails", func(b *Table, _ *clock.Fake) {
			for _, u := range []ident.Upstream{"x", "y", "z"} {
				b.Begin(1, u)
			}
			for _, u := range []ident.Upstream{"x", "y", "z"} {
				b.End(1, u, died)
			}
		}, false},
		{"succeeds between two crashes", func(b *Table, c *clock.Fake) {
			crash(b, c, "x")
			b.Begin(1, "y")
			b.End(1, "y", done)
			crash(b, c, "z")
		}, false},
		{"quarantined, then an earlier attempt succeeds", func(b *Table, c *clock.Fake) {
			b.Begin(1, "z")
			crash(b, c, "x")
			crash(b, c, "y")
			b.End(1, "z", done)
		}, false},
		{"the quarantine ends", func(b *Table, c *clock.Fake) {
			crash(b, c, "x")
			crash(b, c, "y")
			c.Advance(firstQuarantinePeriod)
		}, false},
		{"after a quarantine one crash is enough", func(b *Table, c *clock.Fake) {
			crash(b, c, "x")
			crash(b, c, "y")
			c.Advance(firstQuarantinePeriod)
			crash(b, c, "z")
			c.Advance(firstQuarantinePeriod)
		}, true},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := clock.NewFake()
			b := New(c, 2)
			r.do(b, c)
			if got := b.Quarantined(1); got != r.want {
				t.Errorf("quarantined %t, want %t", got, r.want)
			}
		})
	}
}

func crash(b *Table, c *clock.Fake, u ident.Upstream) {
	c.Advance(time.Millisecond)
	b.Begin(1, u)
	c.Advance(time.Millisecond)
	b.End(1, u, died)
}

// TestTableIsBounded checks that the table doesn't grow beyond its limit, and that it evicts a plain suspect before a
// request that is quarantined for longer.
func TestTableIsBounded(t *testing.T) {
	c := clock.NewFake()
	b := New(c, 2)
	crash(b, c, "x")
	crash(b, c, "y")
	for i := range 2 * maxSuspects {
		b.Apply(&wire.QuarantineNews{Items: []*wire.QuarantineItem{{Fingerprint: uint64(i + 100), Upstream: "x"}}})
	}
	if n := b.Len(); n > maxSuspects || !b.Quarantined(1) {
		t.Errorf("%d suspects, quarantined %t, want at most %d and true", n, b.Quarantined(1), maxSuspects)
	}
}

// directMessenger delivers each message to another table at once and counts the messages.
type directMessenger struct {
	to   *Table
	sent atomic.Int32
}

func (m *directMessenger) SendMessage(ctx context.Context, _ ident.Address, _ peer.MessageKind,
	q, _ proto.Message,
) error {
	b, err := proto.Marshal(q)
	if err != nil {
		return err
	}
	_, err = m.to.Receive(ctx, b)
	m.sent.Add(1)
	return err
}

// TestEndWaitsForDelivery checks that End, for a request whose target died, returns only after another member knows
// of the death.
func TestEndWaitsForDelivery(t *testing.T) {
	c := clock.NewFake()
	here, there := New(c, 2), New(c, 2)
	m := &directMessenger{to: there}
	here.reportWait = time.Minute
	v := view.NewHolder()
	v.Set(&view.View{Self: "a", Epoch: &wire.Epoch{Members: []*wire.Member{{Id: "a"}, {Id: "b"}}}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go here.Broadcast(ctx, v, m)
	for !here.broadcasting.Load() {
		runtime.Gosched()
	}
	crash(here, c, "x")
	if n := there.Len(); n != 1 || m.sent.Load() != 1 {
		t.Errorf("%d suspects at the other member after %d messages, want 1 after 1", n, m.sent.Load())
	}
}
