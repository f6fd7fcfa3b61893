package allowance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// maxAskAfter bounds the time for which a keeper asks a VM not to ask again. The requests that the VM refuses
	// meanwhile could have got the tokens that the bucket gains: in the replay of bursts, teams with 315 requests per
	// second got 0.98 of their allowance with 250 ms and 0.94 with 500 ms.
	maxAskAfter = 250 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused caller is told to return.
	maxRetryAfter = 5 * time.Second
	// spareShare is the share of a bucket's rate that serves callers who return. Usual demand is rate/1.6, so that
	// 0.375 of the rate is left.
	spareShare = 0.375
	// aheadDivisor is the part of a bucket that is left by tokens for expected requests: they take at most half of it.
	aheadDivisor = 2
	// lateReserve is the part of a bucket's capacity that late requests leave. Under steady demand beyond the allowance
	// the bucket holds less, so that the tokens go to requests that can still be answered in time.
	lateReserve = 0.25
	// maxLists bounds the lists of members that a keeper remembers.
	maxLists = 8
	// maxGrants bounds the grants of a bucket that are remembered; beyond it the oldest can't be returned.
	maxGrants = 512
	// idleBucketTime is how long after its last use a full bucket is removed, and after its end a list of members.
	idleBucketTime = time.Minute
)

// askID identifies an ask over restarts of its sender.
type askID struct {
	process uint64
	number  uint64
}

// grant is an answered ask whose tokens may still be returned.
type grant struct {
	id     askID
	at     clock.Instant
	tokens int
}

// heldBucket is the part of a team's allowance that this member keeps.
type heldBucket struct {
	*Bucket
	grants []grant
	// askFrom is the earliest time at which the next VM that is turned away should ask again, and retryFrom the earliest
	// time at which the next refused caller should return. Both move on with each request that is turned away.
	askFrom   clock.Instant
	retryFrom clock.Instant
	usedAt    clock.Instant
}

// memberList is a list of members and the instant since which it has been in force.
type memberList struct {
	since clock.Instant
	// members are the members among which keepers are chosen.
	members []roster.Member
}

// MemberSet is what is known of the members.
type MemberSet struct {
	// Registered are all members, including those that are gone, and Keepers those among which keepers are chosen.
	Registered, Keepers []roster.Member
	// Returning means that this member was absent, so that others may still keep in its place.
	Returning bool
}

// Keeper holds the buckets of the teams that this member is a keeper of.
type Keeper struct {
	self  ident.VM
	limit func(ident.Team) (Limit, bool)
	// lists are the last lists of members, oldest first; firstList is true while the first of them is the first list
	// that this process has known.
	lists     []memberList
	firstList bool
	// registered are all members, and returning means that this one was absent.
	registered []roster.Member
	returning  bool
	// provenAt is an instant as of which no later list than the last of lists was in force.
	provenAt clock.Instant
	buckets  map[ident.Team]*heldBucket
	sweptAt  clock.Instant
}

// NewKeeper returns the keeper of a member; limit returns the limit of a team in the configuration in force, and false
// if the team is not in it.
func NewKeeper(self ident.VM, limit func(ident.Team) (Limit, bool)) *Keeper {
	return &Keeper{self: self, limit: limit, firstList: true, buckets: map[ident.Team]*heldBucket{}}
}

// SetMembers sets the members, whose lists must not change any more. Buckets of teams that this member no longer keeps
// are removed.
func (k *Keeper) SetMembers(now clock.Instant, s MemberSet) {
	if s.Returning && !k.returning {
		// Others keep in the place of this member, also if no list without it was seen here.
		k.lists, k.firstList = nil, false
		clear(k.buckets)
	}
	k.registered, k.returning = s.Registered, s.Returning
	if n := len(k.lists); n > 0 && slices.Equal(k.lists[n-1].members, s.Keepers) {
		return
	}
	k.lists = append(k.lists, memberList{since: now, members: s.Keepers})
	k.forgetLists(now)
	for t := range k.buckets {
		if !k.keeps(t, s.Keepers) {
			delete(k.buckets, t)
		}
	}
}

// Prove records that no later list than the present one was in force at an instant. Without a proof of the last
// claimLifetime the keeper gives out no tokens: others may keep in its place. After such a time it may have missed
// lists, so that it begins anew with the teams of which it is a keeper only because others are absent.
func (k *Keeper) Prove(now, at clock.Instant) {
	if at <= k.provenAt {
		return
	}
	missed := k.provenAt != 0 && at.Sub(k.provenAt) >= claimLifetime
	k.provenAt = at
	if n := len(k.lists); missed && n > 0 {
		k.lists = []memberList{{since: now, members: k.lists[n-1].members}}
		k.firstList = !k.returning
		maps.DeleteFunc(k.buckets, func(t ident.Team, _ *heldBucket) bool { return !k.keeps(t, k.registered) })
	}
}

// proven reports whether no other list can be in force that others act upon.
func (k *Keeper) proven(now clock.Instant) bool {
	return k.provenAt != 0 && now.Sub(k.provenAt) < claimLifetime
}

// Answer deducts the tokens for an ask and returns the answer, or nil if the ask is a duplicate.
func (k *Keeper) Answer(now clock.Instant, t ident.Team, a *wire.AllowanceAsk) *wire.AllowanceAnswer {
	r := &wire.AllowanceAnswer{Process: a.GetProcess(), Number: a.GetNumber()}
	l, ok := k.limit(t)
	if !ok || l.Unlimited() {
		r.Result = wire.AllowanceResult_AllowanceResultUnknownTeam
		return r
	}
	b := k.bucketOf(now, t, l)
	if b == nil || !k.proven(now) {
		r.Result = wire.AllowanceResult_AllowanceResultNotKeeper
		return r
	}
	id := askID{process: a.GetProcess(), number: a.GetNumber()}
	if b.granted(now, id) >= 0 {
		return nil
	}
	need := int(min(a.GetNeed(), math.MaxInt32))
	late := min(need, int(min(a.GetLate(), math.MaxInt32)))
	n := b.Take(now, need-late)
	if n == need-late {
		n += b.Take(now, min(late, int(b.Level(now)-lateReserve*b.capacity)))
	}
	short := need - n
	// Where tokens are scarce, few are given out ahead: a token that waits in a pool is missing elsewhere.
	n += b.Take(now, min(int(min(a.GetAhead(), math.MaxInt32)), int(b.Level(now)/aheadDivisor)))
	b.remember(grant{id: id, at: now, tokens: n})
	r.Tokens, r.Short = uint32(n), uint32(short)
	b.turnAway(now, a, r)
	return r
}

// Return takes back tokens of a grant of this process. A duplicate, a late return or one for a former process changes
// nothing.
func (k *Keeper) Return(now clock.Instant, t ident.Team, r *wire.AllowanceReturn) {
	b := k.buckets[t]
	if b == nil {
		return
	}
	i := b.granted(now, askID{process: r.GetProcess(), number: r.GetNumber()})
	if i < 0 {
		return
	}
	n := min(b.grants[i].tokens, int(min(r.GetTokens(), math.MaxInt32)))
	b.grants[i].tokens = 0
	b.Put(now, n)
}

// BucketState is the state of a bucket for the dump, in tokens and tokens per second.
type BucketState struct {
	Team     ident.Team
	Tokens   float64
	Rate     ident.Rate
	Capacity float64
}

// Buckets returns the states of the buckets that are held here, ordered by team.
func (k *Keeper) Buckets(now clock.Instant) []BucketState {
	l := make([]BucketState, 0, len(k.buckets))
	for t, b := range k.buckets {
		l = append(l, BucketState{Team: t, Tokens: b.Level(now), Rate: ident.Rate(b.rate), Capacity: b.capacity})
	}
	slices.SortFunc(l, func(a, b BucketState) int { return cmp.Compare(a.Team, b.Team) })
	return l
}

// bucketOf returns the bucket of a team with the limit in force, or nil if this member is not a keeper of it.
func (k *Keeper) bucketOf(now clock.Instant, t ident.Team, l Limit) *heldBucket {
	k.sweep(now)
	n := k.divisor(now)
	b := k.buckets[t]
	if b == nil {
		start, ok := k.startOf(t)
		if !ok {
			return nil
		}
		b = &heldBucket{Bucket: NewBucket(l.rateOf(n), l.capacityOf(n), start)}
		k.buckets[t] = b
	}
	if r, c := l.rateOf(n), l.capacityOf(n); r != b.rate || c != b.capacity {
		b.SetLimit(now, r, c)
	}
	b.usedAt = now
	return b
}

// startOf returns the instant from which the bucket of a team fills: the instant since which this member has been its
// keeper and, unless it already was when this process started, the time of the handover. A member that would be no
// keeper if all registered members ran may only just have become one. It returns false if this member is not a keeper
// of the team.
func (k *Keeper) startOf(t ident.Team) (clock.Instant, bool) {
	i := len(k.lists)
	for i > 0 && k.keeps(t, k.lists[i-1].members) {
		i--
	}
	if i == len(k.lists) {
		return 0, false
	}
	switch {
	case !k.keeps(t, k.registered):
		return k.lists[len(k.lists)-1].since.Add(HandoverDelay), true
	case i > 0 || !k.firstList:
		return k.lists[i].since.Add(HandoverDelay), true
	default:
		return k.lists[i].since, true
	}
}

// keeps reports whether this member is a keeper of a team with these members.
func (k *Keeper) keeps(t ident.Team, l []roster.Member) bool {
	return slices.ContainsFunc(keepersOf(t, l), func(m *roster.Member) bool { return m.Name == k.self })
}

// divisor returns the number of keepers among which allowances are divided. After a list with fewer keepers, the larger
// number holds until all members have learned of the list.
func (k *Keeper) divisor(now clock.Instant) int {
	n := 0
	for i := len(k.lists) - 1; i >= 0; i-- {
		n = max(n, keeperCountOf(k.lists[i].members))
		if now.Sub(k.lists[i].since) > HandoverDelay {
			break
		}
	}
	return max(n, 1)
}

// forgetLists removes the oldest lists: those beyond maxLists, and those that ended so long ago that a bucket which has
// filled since then is full unless the rate is very low.
func (k *Keeper) forgetLists(now clock.Instant) {
	for len(k.lists) > maxLists || len(k.lists) > 1 && now.Sub(k.lists[1].since) > idleBucketTime {
		k.lists, k.firstList = slices.Delete(k.lists, 0, 1), false
	}
}

// sweep removes buckets that have not been used for a while and are full; a new one would be full too.
func (k *Keeper) sweep(now clock.Instant) {
	if now.Sub(k.sweptAt) < idleBucketTime {
		return
	}
	k.sweptAt = now
	k.forgetLists(now)
	for t, b := range k.buckets {
		if now.Sub(b.usedAt) >= idleBucketTime && b.Level(now) >= b.capacity {
			delete(k.buckets, t)
		}
	}
}

// granted returns the index of the grant for an ask, or -1 if there was none within returnLifetime.
func (b *heldBucket) granted(now clock.Instant, id askID) int {
	n := 0
	for n < len(b.grants) && now.Sub(b.grants[n].at) > returnLifetime {
		n++
	}
	b.grants = slices.Delete(b.grants, 0, n)
	return slices.IndexFunc(b.grants, func(g grant) bool { return g.id == id })
}

func (b *heldBucket) remember(g grant) {
	if len(b.grants) >= maxGrants {
		b.grants = slices.Delete(b.grants, 0, 1)
	}
	b.grants = append(b.grants, g)
}

// turnAway sets the times in the answer to an ask that got too few tokens, and counts the requests that are refused.
func (b *heldBucket) turnAway(now clock.Instant, a *wire.AllowanceAsk, r *wire.AllowanceAnswer) {
	b.retryFrom = b.advance(now, b.retryFrom, float64(a.GetRefused())/spareShare, maxRetryAfter)
	if r.GetShort() == 0 {
		return
	}
	next := now.Add(b.Until(now))
	from := min(max(b.askFrom, next), now.Add(maxAskAfter))
	r.AskAfterUs = microseconds(from.Sub(now))
	// Each VM that is turned away is expected to ask for one token when its time has come.
	b.askFrom = b.advance(now, from, 1, maxAskAfter)
	from = min(max(b.retryFrom, next), now.Add(maxRetryAfter))
	to := b.advance(now, from, float64(r.GetShort())/spareShare, maxRetryAfter)
	r.RetryFromUs, r.RetryToUs = microseconds(from.Sub(now)), microseconds(to.Sub(now))
	if a.GetFinal() {
		b.retryFrom = to
	}
}

// advance returns the time at which the bucket has gained n tokens since t, at most limit from now.
func (b *heldBucket) advance(now, t clock.Instant, n float64, limit time.Duration) clock.Instant {
	d := min(n/b.rate, limit.Seconds())
	return min(max(t, now).Add(time.Duration(d*float64(time.Second))), now.Add(limit))
}

func microseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Microseconds()), math.MaxUint32))
}
