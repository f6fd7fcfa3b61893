package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// flow is a number of tokens that a keeper has given out, or taken back if it is below zero. A bucket that is nearly
// full takes back a part of a token.
type flow struct {
	at     clock.Instant
	tokens float64
}

// allOf returns a set of members all of which may be keepers.
func allOf(l ...roster.Member) MemberSet {
	return MemberSet{Registered: l, Keepers: l}
}

// TestKeeperRandom checks that a keeper never gives out more than its bucket allows in any period, whatever asks and
// returns it gets, also late, duplicated and invented ones, and over restarts.
func TestKeeperRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:  ident.Rate(rapid.IntRange(1, 300).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(0, 300).Draw(t, "burst")),
		}
		members := []roster.Member{{Name: "a"}}
		now := clock.Instant(time.Hour)
		start := func() *Keeper {
			k := NewKeeper("a", func(n ident.Team) (Limit, bool) { return limit, n == "t" })
			k.SetMembers(now, allOf(members...))
			return k
		}
		k := start()
		var flows []flow
		// unreturned are the tokens of each ask that have not been returned yet.
		unreturned := map[askID]float64{}
		number := rapid.Uint64Range(1, 6)
		process := rapid.Uint64Range(1, 2)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 199, 201, 400}).Draw(t, "ms")) * time.Millisecond)
			k.Prove(now, now)
			id := askID{process: process.Draw(t, "process"), number: number.Draw(t, "number")}
			before := levelOf(k, now)
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0:
				k = start()
				clear(unreturned)
			case 1, 2, 3:
				k.Return(now, "t", &wire.AllowanceReturn{
					Process: id.process, Number: id.number, Tokens: rapid.Uint32Range(0, 400).Draw(t, "tokens"),
				})
				back := levelOf(k, now) - before
				if back > unreturned[id]+1e-6 {
					t.Fatalf("took back %.3f tokens, want at most %.0f", back, unreturned[id])
				}
				if back > 0 {
					unreturned[id] = 0
				}
				flows = append(flows, flow{at: now, tokens: -back})
			default:
				a := k.Answer(now, "t", &wire.AllowanceAsk{
					Process: id.process, Number: id.number, Need: rapid.Uint32Range(0, 50).Draw(t, "need"),
					Ahead: rapid.Uint32().Draw(t, "ahead"), Refused: rapid.Uint32().Draw(t, "refused"),
					Final: rapid.Bool().Draw(t, "final"),
				})
				if a != nil {
					unreturned[id] = float64(a.GetTokens())
				}
				flows = append(flows, flow{at: now, tokens: float64(a.GetTokens())})
			}
		}
		for i := range flows {
			sum := 0.0
			for j := i; j < len(flows); j++ {
				sum += flows[j].tokens
				d := flows[j].at.Sub(flows[i].at).Seconds()
				if most := limit.capacityOf(1) + limit.rateOf(1)*d; sum > most+1e-6 {
					t.Fatalf("%.0f tokens in %.3f s, want at most %.3f", sum, d, most)
				}
			}
		}
	})
}

func levelOf(k *Keeper, now clock.Instant) float64 {
	if b := k.buckets["t"]; b != nil {
		return b.Level(now)
	}
	return 0
}

// TestPoolRandom checks that a pool decides each request once and within MaxWait, and uses at most the tokens of the
// first answer to each of its asks, whatever answers it gets.
func TestPoolRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const process = 7
		p := NewPool("t", process, rand.New(rand.NewPCG(1, 1)).Float64)
		p.SetKeepers([]*roster.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
		now := clock.Instant(time.Hour)
		asked := map[uint64]bool{}
		waiting := map[Waiter]clock.Instant{}
		granted, used := 0, 0
		var held []Granted
		carryOut := func(l []Action) {
			for _, a := range l {
				switch a := a.(type) {
				case Send:
					if q := a.Message.GetAsk(); q != nil {
						asked[q.GetNumber()] = true
					}
					granted -= int(a.Message.GetReturn().GetTokens())
				case Decide:
					since, ok := waiting[a.Waiter]
					if !ok || now.Sub(since) > MaxWait {
						t.Fatalf("request %d decided again or after %s", a.Waiter, now.Sub(since))
					}
					delete(waiting, a.Waiter)
					if g, ok := a.Decision.(Granted); ok {
						used++
						held = append(held, g)
						if g.Expires <= now {
							t.Fatalf("token expired %s ago", now.Sub(g.Expires))
						}
					}
				}
			}
		}
		w := Waiter(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			end := now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			for next := p.Next(); next != 0 && next <= end; next = p.Next() {
				if next < now {
					t.Fatalf("Next is %s in the past", now.Sub(next))
				}
				now = next
				carryOut(p.Tick(now))
				if again := p.Next(); again != 0 && again <= now {
					t.Fatalf("Next is still %d after Tick", again)
				}
			}
			now = end
			if len(held) > 0 && rapid.IntRange(0, 4).Draw(t, "give back") == 0 {
				used--
				g := held[0]
				held = held[1:]
				carryOut(p.Return(now, g))
			}
			if rapid.Bool().Draw(t, "request") {
				w++
				waiting[w] = now
				carryOut(p.Request(now, w, false))
				continue
			}
			a := &wire.AllowanceAnswer{
				Process: rapid.Uint64Range(process-1, process).Draw(t, "process"),
				Number:  rapid.Uint64Range(0, p.number+1).Draw(t, "number"),
				Result:  wire.AllowanceResult(rapid.IntRange(0, 3).Draw(t, "result")),
				Tokens:  rapid.Uint32Range(0, 5).Draw(t, "tokens"),
				Short:   rapid.Uint32Range(0, 2).Draw(t, "short"), AskAfterUs: rapid.Uint32().Draw(t, "after"),
				RetryFromUs: rapid.Uint32().Draw(t, "from"), RetryToUs: rapid.Uint32().Draw(t, "to"),
			}
			if a.GetProcess() == process && asked[a.GetNumber()] {
				asked[a.GetNumber()] = false
				granted += int(a.GetTokens())
			}
			carryOut(p.Receive(now, a))
		}
		if used > granted {
			t.Fatalf("%d tokens used, want at most the %d granted", used, granted)
		}
	})
}

// TestHandover checks that a member that becomes a keeper gives out nothing before other members have stopped using its
// predecessor, and one that starts in a fleet it belonged to begins to fill its bucket at once.
func TestHandover(t *testing.T) {
	limit := func(ident.Team) (Limit, bool) { return Limit{Rate: 40, Burst: 40}, true }
	now := clock.Instant(time.Hour)
	ask := func(k *Keeper, n uint64) *wire.AllowanceAnswer {
		k.Prove(now, now)
		return k.Answer(now, "t", &wire.AllowanceAsk{Process: 1, Number: n, Need: 1})
	}
	old := NewKeeper("a", limit)
	old.SetMembers(now, allOf(roster.Member{Name: "a"}, roster.Member{Name: "b"}))
	added := NewKeeper("a", limit)
	added.SetMembers(now, allOf(roster.Member{Name: "b"}))
	if r := ask(added, 1).GetResult(); r != wire.AllowanceResult_AllowanceResultNotKeeper {
		t.Errorf("member not in the list: %s", r)
	}
	added.SetMembers(now, allOf(roster.Member{Name: "a"}, roster.Member{Name: "b"}))
	now = now.Add(HandoverDelay)
	if n := ask(old, 2).GetTokens(); n != 1 {
		t.Errorf("keeper from the start gave %d tokens, want 1", n)
	}
	if a := ask(added, 2); a.GetTokens() != 0 || a.GetAskAfterUs() == 0 {
		t.Errorf("new keeper gave %d tokens, want none and a time", a.GetTokens())
	}
	now = now.Add(time.Second)
	if n := ask(added, 3).GetTokens(); n != 1 {
		t.Errorf("new keeper gave %d tokens after the handover, want 1", n)
	}
}

// TestLateRequestsLast guards against tokens that go to callers who come back too late for their objective while others
// of the team could still be served in time.
func TestLateRequestsLast(t *testing.T) {
	const team = "t"
	now := clock.Instant(time.Hour)
	k := NewKeeper("vm-1", func(ident.Team) (Limit, bool) { return Limit{Rate: 4, Burst: 8}, true })
	k.SetMembers(now, allOf(roster.Member{Name: "vm-1", DataCentre: "a"}))
	now = now.Add(time.Minute)
	number := uint64(0)
	ask := func(need, late uint32) uint32 {
		number++
		k.Prove(now, now)
		return k.Answer(now, team, &wire.AllowanceAsk{Process: 1, Number: number, Need: need, Late: late}).GetTokens()
	}
	// The bucket holds 10 tokens, of which late requests leave 2.5.
	if n := ask(6, 2); n != 6 {
		t.Errorf("%d tokens from a full bucket, want 6", n)
	}
	if n := ask(3, 3); n != 1 {
		t.Errorf("%d tokens for late requests with 4 left, want 1", n)
	}
	if n := ask(3, 0); n != 3 {
		t.Errorf("%d tokens for requests in time with 3 left, want 3", n)
	}
	now = now.Add(250 * time.Millisecond)
	if n := ask(2, 1); n != 1 {
		t.Errorf("%d tokens with 1 left for one request in time and a late one, want 1", n)
	}
}
