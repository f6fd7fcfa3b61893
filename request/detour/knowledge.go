package detour

import (
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// knowledgeTime is how long a member's answer, or its failure to pass on a request, counts.
const knowledgeTime = time.Second

// memberState is what is known of one other member.
type memberState struct {
	// answeredAt is when its last answer arrived, and reached the services that it reached then.
	answeredAt clock.Instant
	reached    []ident.Service
	// failedAt is when it last could not pass on a request to each service.
	failedAt map[ident.Service]clock.Instant
	// inFlight is the number of this VM's requests that it handles at present.
	inFlight int
}

// fresh reports whether the last answer still counts.
func (s *memberState) fresh(now clock.Instant) bool {
	return s.answeredAt != 0 && now.Sub(s.answeredAt) < knowledgeTime
}

// failed reports whether the member could not pass on a request to the service a short time ago.
func (s *memberState) failed(n ident.Service, now clock.Instant) bool {
	at, ok := s.failedAt[n]
	return ok && now.Sub(at) < knowledgeTime
}

// knowledge is what is known of all other members.
type knowledge map[ident.VM]*memberState

func (k knowledge) of(v ident.VM) *memberState {
	s, ok := k[v]
	if !ok {
		s = &memberState{failedAt: map[ident.Service]clock.Instant{}}
		k[v] = s
	}
	return s
}

// candidates returns those of the members through which a request to a service may go: members that reach the service;
// if there are none, members that reach any service; if there are none either, members of which nothing is known.
func (k knowledge) candidates(l []roster.Member, s ident.Service, tried []ident.VM, now clock.Instant) []roster.Member {
	var reachService, reachAny, unknown []roster.Member
	for _, m := range l {
		if m.ForwardAddress == "" || slices.Contains(tried, m.Name) {
			continue
		}
		n, ok := k[m.Name]
		switch {
		case !ok:
			unknown = append(unknown, m)
		case n.failed(s, now):
		case !n.fresh(now):
			unknown = append(unknown, m)
		case slices.Contains(n.reached, s):
			reachService = append(reachService, m)
		case len(n.reached) > 0:
			reachAny = append(reachAny, m)
		}
	}
	switch {
	case len(reachService) > 0:
		return reachService
	case len(reachAny) > 0:
		return reachAny
	default:
		return unknown
	}
}

// pick returns one of two candidates drawn at random: the one with fewer requests of this VM in flight for its
// capacity.
func (k knowledge) pick(l []roster.Member, draw func(n int) int) (roster.Member, bool) {
	if len(l) == 0 {
		return roster.Member{}, false
	}
	a, b := l[draw(len(l))], l[draw(len(l))]
	if k.load(&b) < k.load(&a) {
		return b, true
	}
	return a, true
}

// load returns the requests in flight for the capacity of the member. Each capacity class has twice that of the one
// below.
func (k knowledge) load(m *roster.Member) float64 {
	n, ok := k[m.Name]
	if !ok {
		return 0
	}
	return float64(n.inFlight) / float64(uint64(1)<<min(m.Capacity, 16))
}

// forget removes members that are no longer registered and have no request in flight.
func (k knowledge) forget(l []roster.Member) {
	registered := map[ident.VM]bool{}
	for _, m := range l {
		registered[m.Name] = true
	}
	for v, s := range k {
		if !registered[v] && s.inFlight == 0 {
			delete(k, v)
		}
	}
}
