package allowance

import (
	"math"
	"slices"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// giveBack returns tokens that have reached returnAge and are not expected to be used before they expire.
func (p *Pool) giveBack(now clock.Instant) {
	for i := 0; i < len(p.lots); i++ {
		l := &p.lots[i]
		age := now.Sub(l.askedAt)
		if l.kept || age < returnAge {
			continue
		}
		l.kept = true
		keep := int(math.Ceil(p.demand.expected(now, TokenLifetime-age)))
		n := l.tokens - keep
		if n <= 0 {
			continue
		}
		p.stats.Returned += uint64(n)
		p.send(l.keeper, &wire.AllowanceMessage{Body: &wire.AllowanceMessage_Return{Return: &wire.AllowanceReturn{
			Process: l.id.process, Number: l.id.number, Tokens: uint32(n),
		}}})
		if l.tokens -= n; l.tokens == 0 {
			p.lots = slices.Delete(p.lots, i, i+1)
			i--
		}
	}
}

// askAhead asks for tokens for expected requests if the pool runs low.
func (p *Pool) askAhead(now clock.Instant) {
	if now < p.aheadAfter || p.demand.expected(now, aheadWindow) < aheadThreshold {
		return
	}
	held := 0
	for _, l := range p.lots {
		held += l.tokens
	}
	if float64(held) >= p.demand.expected(now, refillTime) {
		return
	}
	if k, _ := p.choose(now); k != nil {
		p.ask(now, k, 0, false)
	}
}

// choose returns the keeper to be asked next, or nil, and whether there is no other one after it. Those that have
// lately had no tokens come last, the one that has had the longest time to gain some first: otherwise a VM with high
// demand would ask the nearest ones again for the single tokens that they gain, and never the others.
func (p *Pool) choose(now clock.Instant) (*knownKeeper, bool) {
	var best *knownKeeper
	n := 0
	for i := range p.keepers {
		k := &p.keepers[i]
		if now < k.emptyUntil || now < k.silentUntil {
			continue
		}
		n++
		if best == nil || k.lastEmpty(now) < best.lastEmpty(now) {
			best = k
		}
	}
	return best, n == 1
}

// ask asks a keeper for tokens for the waiting requests and, if demand is high, for expected ones.
func (p *Pool) ask(now clock.Instant, k *knownKeeper, need int, final bool) {
	ahead := 0
	if p.demand.expected(now, aheadWindow) >= aheadThreshold && now >= p.aheadAfter {
		ahead = int(p.demand.expected(now, aheadTime))
	}
	p.number++
	p.current = p.number
	a := pendingAsk{id: askID{process: p.process, number: p.number}, keeper: k.member.Name, sentAt: now, need: need}
	p.asks = append(p.asks, a)
	late := uint32(0)
	for i := range p.waiters {
		p.waiters[i].asked = true
		if p.waiters[i].late {
			late++
		}
	}
	p.stats.Asks++
	p.send(k.member, &wire.AllowanceMessage{Body: &wire.AllowanceMessage_Ask{Ask: &wire.AllowanceAsk{
		Process: a.id.process, Number: a.id.number, Need: uint32(need), Ahead: uint32(ahead), Final: final,
		Refused: p.refused, Late: late,
	}}})
	p.refused = 0
}
