package allowance

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// claimCheckInterval is how often a claim is checked while no reader has to be asked, and claimTimeout how long a
	// reader has for an answer before the next one is asked.
	claimCheckInterval = 250 * time.Millisecond
	claimTimeout       = 150 * time.Millisecond
	// maxClaimAsks bounds the asks whose answers still count.
	maxClaimAsks = 16
	// shortMemory is how long after a refusal at a VM allowances count as short.
	shortMemory = 2 * time.Second
)

// claim is what proves that this member may give out the tokens of the teams that it keeps: that the list of keepers,
// as it knows it, still holds. Others keep in its place only HandoverDelay after they have learned of another list.
type claim struct {
	// list is the checksum of the list.
	list uint64
	// asks holds when each ask was sent, by its number.
	asks   map[uint64]clock.Instant
	number uint64
	// next is when a reader is asked again.
	next clock.Instant
	// shortAt is when this VM last refused a request of a team while a keeper did not answer, and othersShortAt when
	// another VM last said so.
	shortAt, othersShortAt clock.Instant
}

// Run proves the claims of this member until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, l.renewClaim())
	}
}

// Active reports whether this VM limits the requests of teams, as it does once it knows the members.
func (l *Limiter) Active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members.Keepers) > 0
}

// Short reports whether requests have lately been refused while a keeper did not answer, here or at a VM that has asked
// this one for a proof.
func (l *Limiter) Short() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return isShort(now, l.claim.shortAt) || isShort(now, l.claim.othersShortAt)
}

// isShort reports whether a refusal was lately.
func isShort(now, at clock.Instant) bool {
	return at != 0 && now.Sub(at) < shortMemory
}

// renewClaim takes a proof from this VM if it reads the store, or else asks a reader for one when it is time. It
// returns the time until it has to be called again.
func (l *Limiter) renewClaim() time.Duration {
	l.mu.Lock()
	defer l.unlock()
	now := l.clock.Now()
	if len(l.members.Keepers) == 0 {
		return claimCheckInterval
	}
	for _, p := range l.pools {
		l.claim.shortAt = max(l.claim.shortAt, p.ShortAt())
	}
	at := l.peers.ProvenAt(l.claim.list)
	l.keeper.Prove(now, at)
	if at != 0 && now.Sub(at) < claimLifetime-claimInterval {
		return claimCheckInterval
	}
	if now < l.claim.next {
		return l.claim.next.Sub(now)
	}
	readers := l.peers.Readers()
	if len(readers) == 0 {
		return claimTimeout
	}
	l.claim.number++
	n := l.claim.number
	l.claim.asks[n] = now
	delete(l.claim.asks, n-maxClaimAsks)
	l.claim.next = now.Add(claimTimeout)
	l.outbox = append(l.outbox, outgoing{
		to: readers[n%uint64(len(readers))],
		message: &wire.AllowanceMessage{Body: &wire.AllowanceMessage_ListAsk{ListAsk: &wire.KeeperListAsk{
			Process: l.process, Number: n, List: l.claim.list, Short: isShort(now, l.claim.shortAt),
		}}},
	})
	return claimTimeout
}

// answerClaim answers an ask for a proof if this member has the same list of keepers and can prove that it holds.
func (l *Limiter) answerClaim(now clock.Instant, a *wire.KeeperListAsk, from ident.Address) {
	if a.GetShort() {
		l.claim.othersShortAt = now
	}
	if a.GetList() != l.claim.list {
		return
	}
	at := l.peers.ProvenAt(a.GetList())
	if at == 0 {
		return
	}
	l.outbox = append(l.outbox, outgoing{
		to: from,
		message: &wire.AllowanceMessage{Body: &wire.AllowanceMessage_ListAnswer{ListAnswer: &wire.KeeperListAnswer{
			Process: a.GetProcess(), Number: a.GetNumber(), AgeUs: microseconds(now.Sub(at)),
		}}},
	})
}

// receiveProof applies the answer to an ask. The reader was asked before it answered, so that the list held no longer
// before the ask than the answer says: time on the way, or in which a process was paused, makes the proof only older.
func (l *Limiter) receiveProof(now clock.Instant, r *wire.KeeperListAnswer) {
	sentAt, ok := l.claim.asks[r.GetNumber()]
	if !ok || r.GetProcess() != l.process {
		return
	}
	delete(l.claim.asks, r.GetNumber())
	l.keeper.Prove(now, sentAt.Add(-time.Duration(r.GetAgeUs())*time.Microsecond))
	l.claim.next = max(l.claim.next, sentAt.Add(claimInterval))
}
