package allowance

import (
	"math"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// MaxWait is the longest time for which a request waits for its token.
	MaxWait = 100 * time.Millisecond
	// askTimeout is how long a keeper has for an answer before the next one is asked.
	askTimeout = 30 * time.Millisecond
	// minSilence and maxSilence bound the time for which a keeper that did not answer is not asked again; it doubles with
	// each ask that is not answered. A single lost datagram must not exclude a keeper for long.
	minSilence = 100 * time.Millisecond
	maxSilence = time.Second
	// aheadThreshold requests must be expected within aheadWindow for tokens to be fetched ahead.
	aheadThreshold = 2
	aheadWindow    = 250 * time.Millisecond
	// aheadTime is the time for whose expected requests the pool holds tokens, and refillTime the time for which the rest
	// must suffice when more are fetched: an ask takes up to 20 ms and one retry of 30 ms. The sum stays below
	// TokenLifetime.
	aheadTime  = 200 * time.Millisecond
	refillTime = 60 * time.Millisecond
	// aheadPause is the time between asks for expected requests after a keeper had no tokens for them.
	aheadPause = 50 * time.Millisecond
	// returnAge is the age at which tokens that are not expected to be used are returned. It leaves returnLifetime a
	// margin for the way to the keeper.
	returnAge = 150 * time.Millisecond
	// notKeeperTime is how long a member that is no keeper, or does not know the team, is not asked again.
	notKeeperTime = 250 * time.Millisecond
	// unavailableRetryAfter is the retry delay while no keeper answers.
	unavailableRetryAfter = 250 * time.Millisecond
	// minRetryAfter is the shortest retry delay sent to callers of a team that exceeds its allowance.
	minRetryAfter = 50 * time.Millisecond
	// retrySpread is the part by which retry delays are lengthened at random, so that callers do not return together.
	retrySpread = 0.2
	// minWaiters is how many requests may wait while tokens are scarce at a VM that has got none lately. With one, and
	// half of the requests that get a token within MaxWait, a team that sent its exact allowance to one VM got 0.92 of it.
	minWaiters = 2
	// refusalMemory is how long after a keeper had no tokens the team counts as over its allowance if keepers stop
	// answering. It covers maxAskAfter, in which the keeper is not asked, and MaxWait.
	refusalMemory = 400 * time.Millisecond
	// exceedingTime is how long after its last refused request a team counts as exceeding its allowance.
	exceedingTime = 5 * time.Second
)

// lot is the rest of the tokens of one grant.
type lot struct {
	id      askID
	keeper  *roster.Member
	askedAt clock.Instant
	tokens  int
	// kept means that the tokens that are not expected to be used have been returned.
	kept bool
}

// waiter is a request that waits for a token until its deadline.
type waiter struct {
	id       Waiter
	deadline clock.Instant
	// asked means that a keeper has been asked on its behalf.
	asked bool
	// late means that the request can't meet its latency objective any more.
	late bool
}

// pendingAsk is an ask whose answer may still arrive.
type pendingAsk struct {
	id     askID
	keeper ident.VM
	sentAt clock.Instant
	need   int
}

// knownKeeper is a keeper as this VM sees it.
type knownKeeper struct {
	member *roster.Member
	// emptyUntil is when the keeper will have tokens again, by its last answer.
	emptyUntil clock.Instant
	// silentUntil is when the keeper is asked again after it did not answer; silence is the length of that time.
	silentUntil clock.Instant
	silence     time.Duration
}

// Pool holds the tokens that a VM has for a team, and the requests that wait for one.
type Pool struct {
	team    ident.Team
	process uint64
	random  func() float64
	keepers []knownKeeper
	demand  demand
	// income estimates the rate at which this VM gets tokens.
	income  demand
	lots    []lot
	waiters []waiter
	// asks are the asks of the last TokenLifetime that were not answered, oldest first; current is the number of the one
	// whose answer is awaited, or zero.
	asks    []pendingAsk
	number  uint64
	current uint64
	// aheadAfter is when tokens may be fetched ahead again.
	aheadAfter clock.Instant
	// refused counts the requests refused since the last ask without asking a keeper.
	refused uint32
	// emptyAt is when a keeper last answered that it has no tokens.
	emptyAt clock.Instant
	// retryAt is when the caller of the next refused request should return, and retryStep the time between two of them.
	retryAt   clock.Instant
	retryStep time.Duration
	exceeding bool
	// shortAt is when a request was last refused while a keeper did not answer.
	shortAt     clock.Instant
	lastRefusal clock.Instant
	actions     []Action
	stats       Stats
}

// NewPool returns the pool of a team. The process number is different for each process that ever runs; random returns
// numbers from 0 up to 1.
func NewPool(t ident.Team, process uint64, random func() float64) *Pool {
	return &Pool{team: t, process: process, random: random}
}

// SetKeepers sets the keepers of the team, the one to be asked first in front.
func (p *Pool) SetKeepers(l []*roster.Member) {
	keepers := make([]knownKeeper, 0, len(l))
	for _, m := range l {
		k := knownKeeper{}
		if i := slices.IndexFunc(p.keepers, func(o knownKeeper) bool { return o.member.Name == m.Name }); i >= 0 {
			k = p.keepers[i]
		}
		k.member = m
		keepers = append(keepers, k)
	}
	p.keepers = keepers
}

// Request asks for a token for a request; late means that it can't meet its latency objective any more. The decision is
// among the actions or follows later.
func (p *Pool) Request(now clock.Instant, w Waiter, late bool) []Action {
	p.demand.add(now, 1)
	o := waiter{id: w, deadline: now.Add(MaxWait), late: late}
	if len(p.waiters) >= p.maxWaiters(now) && p.scarce(now) {
		p.refuse(now, &o)
		p.proceed(now)
		return p.takeActions()
	}
	p.waiters = append(p.waiters, o)
	n := p.stats.Used + p.stats.Exceeded + p.stats.Unavailable
	p.proceed(now)
	if p.stats.Used+p.stats.Exceeded+p.stats.Unavailable == n {
		p.stats.Waits++
	}
	return p.takeActions()
}

// Cancel removes a request that no longer waits.
func (p *Pool) Cancel(now clock.Instant, w Waiter) []Action {
	p.waiters = slices.DeleteFunc(p.waiters, func(o waiter) bool { return o.id == w })
	p.proceed(now)
	return p.takeActions()
}

// Return puts back the token of a request that certainly did not run. It keeps the time at which it expires.
func (p *Pool) Return(now clock.Instant, g Granted) []Action {
	if now < g.Expires {
		p.lots = append(p.lots, lot{askedAt: g.Expires.Add(-TokenLifetime), tokens: 1, kept: true})
		slices.SortStableFunc(p.lots, func(a, b lot) int { return int(a.askedAt.Sub(b.askedAt)) })
		p.stats.Used--
	}
	p.proceed(now)
	return p.takeActions()
}

// Receive applies an answer. A duplicate, and an answer to a former process or after TokenLifetime, grants nothing.
func (p *Pool) Receive(now clock.Instant, r *wire.AllowanceAnswer) []Action {
	id := askID{process: r.GetProcess(), number: r.GetNumber()}
	i := slices.IndexFunc(p.asks, func(a pendingAsk) bool { return a.id == id })
	if i < 0 {
		return nil
	}
	a := p.asks[i]
	p.asks = slices.Delete(p.asks, i, i+1)
	if p.current == id.number {
		p.current = 0
	}
	if k := p.keeper(a.keeper); k != nil {
		k.silentUntil, k.silence = 0, 0
		p.apply(now, k, &a, r)
	}
	p.proceed(now)
	return p.takeActions()
}

// Tick applies the passing of time. It has to be called at the instant that Next returns.
func (p *Pool) Tick(now clock.Instant) []Action {
	p.proceed(now)
	return p.takeActions()
}

// Next returns the instant at which Tick has to be called, or zero if there is none.
func (p *Pool) Next() clock.Instant {
	next := clock.Instant(0)
	add := func(i clock.Instant) {
		if next == 0 || i < next {
			next = i
		}
	}
	if p.current != 0 {
		add(p.asks[len(p.asks)-1].sentAt.Add(askTimeout))
	}
	if len(p.waiters) > 0 {
		add(p.waiters[0].deadline)
		if soonest, ok := p.soonestEmpty(); ok && p.current == 0 {
			add(soonest)
		}
	}
	for i := range p.lots {
		if !p.lots[i].kept {
			add(p.lots[i].askedAt.Add(returnAge))
			break
		}
	}
	if p.exceeding {
		add(p.lastRefusal.Add(exceedingTime))
	}
	return next
}

// Idle reports whether the pool holds nothing that would be lost with it.
func (p *Pool) Idle(now clock.Instant) bool {
	return len(p.waiters) == 0 && len(p.asks) == 0 && len(p.lots) == 0 && !p.exceeding &&
		now.Sub(p.demand.at) > exceedingTime
}

// ShortAt returns when a request was last refused while a keeper did not answer; zero if none was.
func (p *Pool) ShortAt() clock.Instant {
	return p.shortAt
}

// Stats returns what the pool has done so far.
func (p *Pool) Stats() Stats {
	return p.stats
}

// apply records what a keeper has answered.
func (p *Pool) apply(now clock.Instant, k *knownKeeper, a *pendingAsk, r *wire.AllowanceAnswer) {
	if r.GetResult() != wire.AllowanceResult_AllowanceResultAnswered {
		p.stats.Misdirected++
		k.silentUntil = now.Add(notKeeperTime)
		return
	}
	n := int(min(r.GetTokens(), math.MaxInt32))
	if n > 0 && now.Sub(a.sentAt) < TokenLifetime {
		p.stats.Granted++
		p.stats.Tokens += uint64(n)
		p.income.add(now, n)
		p.lots = append(p.lots, lot{id: a.id, keeper: k.member, askedAt: a.sentAt, tokens: n})
		slices.SortStableFunc(p.lots, func(a, b lot) int { return int(a.askedAt.Sub(b.askedAt)) })
	}
	if a.need == 0 && n == 0 {
		p.aheadAfter = now.Add(aheadPause)
	}
	if r.GetShort() == 0 {
		return
	}
	p.stats.Empty++
	p.emptyAt = now
	k.emptyUntil = now.Add(min(time.Duration(r.GetAskAfterUs())*time.Microsecond, maxAskAfter))
	from := min(time.Duration(r.GetRetryFromUs())*time.Microsecond, maxRetryAfter)
	to := min(time.Duration(r.GetRetryToUs())*time.Microsecond, maxRetryAfter)
	p.retryAt = now.Add(from)
	p.retryStep = max(0, to-from) / time.Duration(r.GetShort())
}

// proceed gives tokens to waiting requests, refuses those that get none, and asks for more tokens.
func (p *Pool) proceed(now clock.Instant) {
	p.expire(now)
	if p.exceeding && now.Sub(p.lastRefusal) >= exceedingTime {
		p.exceeding = false
		p.actions = append(p.actions, Note{Exceeding: false})
	}
	p.serve(now)
	if p.current != 0 {
		a := p.asks[len(p.asks)-1]
		if now.Sub(a.sentAt) < askTimeout {
			p.refuseOverdue(now)
			return
		}
		p.current = 0
		p.stats.Unanswered++
		if k := p.keeper(a.keeper); k != nil {
			k.silence = min(max(2*k.silence, minSilence), maxSilence)
			k.silentUntil = now.Add(k.silence)
		}
	}
	p.refuseOverdue(now)
	if len(p.waiters) > 0 {
		if k, final := p.choose(now); k != nil {
			p.ask(now, k, len(p.waiters), final)
		} else {
			p.refuseAll(now)
		}
	} else {
		p.askAhead(now)
	}
}

// serve gives the oldest tokens to the requests that have waited longest, to late ones last.
func (p *Pool) serve(now clock.Instant) {
	for len(p.waiters) > 0 && len(p.lots) > 0 {
		l := &p.lots[0]
		i := max(slices.IndexFunc(p.waiters, func(w waiter) bool { return !w.late }), 0)
		p.decide(p.waiters[i].id, Granted{Expires: l.askedAt.Add(TokenLifetime)})
		p.stats.Used++
		p.waiters = slices.Delete(p.waiters, i, i+1)
		if l.tokens--; l.tokens == 0 {
			p.lots = slices.Delete(p.lots, 0, 1)
		}
	}
	p.giveBack(now)
}

// expire removes expired tokens and asks.
func (p *Pool) expire(now clock.Instant) {
	for len(p.lots) > 0 && now.Sub(p.lots[0].askedAt) >= TokenLifetime {
		p.stats.Expired += uint64(p.lots[0].tokens)
		p.lots = slices.Delete(p.lots, 0, 1)
	}
	for len(p.asks) > 0 && now.Sub(p.asks[0].sentAt) >= TokenLifetime && p.asks[0].id.number != p.current {
		p.asks = slices.Delete(p.asks, 0, 1)
	}
}

// lastEmpty returns the instant until which the keeper has lately had no tokens; zero if that is MaxWait ago.
func (k *knownKeeper) lastEmpty(now clock.Instant) clock.Instant {
	if now.Sub(k.emptyUntil) >= MaxWait {
		return 0
	}
	return k.emptyUntil
}

// lately reports whether a keeper has lately answered that it has no tokens.
func (p *Pool) lately(now clock.Instant) bool {
	return p.emptyAt != 0 && now.Sub(p.emptyAt) <= refusalMemory
}

// scarce reports whether a keeper has lately had no tokens and no other one, which had, is left to be asked after the
// one that is asked now.
func (p *Pool) scarce(now clock.Instant) bool {
	empty := false
	for i := range p.keepers {
		k := &p.keepers[i]
		switch {
		case k.lastEmpty(now) != 0:
			empty = true
		case now < k.silentUntil, p.current != 0 && p.asks[len(p.asks)-1].keeper == k.member.Name:
		default:
			return false
		}
	}
	return empty
}

// maxWaiters returns how many requests may wait while tokens are scarce: about as many as get one within MaxWait. The
// others are refused at once.
func (p *Pool) maxWaiters(now clock.Instant) int {
	return minWaiters + int(p.income.expected(now, MaxWait))
}

func (p *Pool) keeper(v ident.VM) *knownKeeper {
	if i := slices.IndexFunc(p.keepers, func(k knownKeeper) bool { return k.member.Name == v }); i >= 0 {
		return &p.keepers[i]
	}
	return nil
}

func (p *Pool) decide(w Waiter, d Decision) {
	p.actions = append(p.actions, Decide{Waiter: w, Decision: d})
}

func (p *Pool) send(m *roster.Member, x *wire.AllowanceMessage) {
	x.Team = string(p.team)
	p.actions = append(p.actions, Send{To: m, Message: x})
}

func (p *Pool) takeActions() []Action {
	l := p.actions
	p.actions = nil
	return l
}
