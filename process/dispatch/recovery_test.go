package dispatch

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/process/view"
)

// recoveryBound is the time within which a target that has recovered must get requests again.
const recoveryBound = 3 * time.Second

// TestStragglerReturns checks that a target that was slow for a while is used again although the others have free
// slots.
func TestStragglerReturns(t *testing.T) {
	b := newHarness(3)
	s := b.dispatcher.getOrCreate("notes/here/0", b.clock.Now()).scheduler
	b.sendFor(time.Minute)
	slow := s.targets[0]
	b.result = func(a ident.Address) exchange.Result {
		if a == slow.address {
			b.clock.Advance(9 * answerTime)
		}
		return completed(a)
	}
	b.sendFor(5 * time.Second)
	if s := slow.target.State(); s != target.Straggling {
		t.Fatalf("state %s after answers ten times slower, want %s", s, target.Straggling)
	}
	b.result = completed
	before := b.sent[slow.address]
	b.sendFor(recoveryBound)
	if b.sent[slow.address] == before {
		t.Errorf("the target got no request within %s of its recovery, want at least one", recoveryBound)
	}
	b.sendFor(time.Minute)
	if s := slow.target.State(); s != target.Warm {
		t.Errorf("state %s a minute after its recovery, want %s", s, target.Warm)
	}
}

// sendFor sends calls one after the other for the given time.
func (b *harness) sendFor(d time.Duration) {
	for end := b.clock.Now().Add(d); b.clock.Now() < end; {
		b.setView(func(*view.View) {}, 3)
		b.call(true)
	}
}
