package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/relay"
	"github.com/amaranthramp/amaranthramp/standin/objects"
	"github.com/amaranthramp/amaranthramp/standin/target"
)

// fault is one thing that can go wrong; it returns when its time is over.
type fault struct {
	name string
	// harms tells that the store or the paths to it are not in order meanwhile.
	harms bool
	run   func(s *soak, r *rand.Rand) error
}

// faults is the table of all of them.
var faults = []fault{
	{"kill", false, func(s *soak, r *rand.Rand) error { return s.anyVM(r).kill(span(r, 200, 1500)) }},
	{"stop", false, func(s *soak, r *rand.Rand) error { return s.anyVM(r).term() }},
	{"freeze", false, func(s *soak, r *rand.Rand) error { s.anyVM(r).freeze(span(r, 300, 2500)); return nil }},
	{"reload", false, func(s *soak, r *rand.Rand) error { s.anyVM(r).signal(syscall.SIGHUP); return nil }},
	{"cut from the store", true, cutStore},
	{"slow store", true, func(s *soak, r *rand.Rand) error {
		return spoilStore(s, r, relay.Fault{Delay: 150 * time.Millisecond})
	}},
	{"lost answers of the store", true, func(s *soak, r *rand.Rand) error {
		return spoilStore(s, r, relay.Fault{Loss: 0.3})
	}},
	{"store refuses", true, func(s *soak, r *rand.Rand) error {
		return s.storeFault(r, objects.Faults{Status: http.StatusServiceUnavailable})
	}},
	{"store is silent", true, func(s *soak, r *rand.Rand) error { return s.storeFault(r, objects.Faults{Silent: true}) }},
	{"history lost", true, func(s *soak, _ *rand.Rand) error { s.store.Compact(); return nil }},
	{"target crashes", false, func(s *soak, r *rand.Rand) error { return s.replaceTarget(r, false) }},
	{"target drains", false, func(s *soak, r *rand.Rand) error { return s.replaceTarget(r, true) }},
	{"answers lost", false, func(s *soak, r *rand.Rand) error {
		return s.misbehave(r, func(t *target.Target, on bool) { t.LoseAnswers.Store(on) })
	}},
	{"requests fail", false, func(s *soak, r *rand.Rand) error {
		return s.misbehave(r, func(t *target.Target, on bool) { t.Fail.Store(on) })
	}},
	{"configuration", false, func(s *soak, _ *rand.Rand) error { return s.moveRoute() }},
}

func span(r *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+r.IntN(to-from)) * time.Millisecond
}

func cutStore(s *soak, r *rand.Rand) error {
	v := s.anyVM(r)
	v.store.Cut(true)
	time.Sleep(span(r, 500, 4000))
	v.store.Cut(false)
	return nil
}

func spoilStore(s *soak, r *rand.Rand, f relay.Fault) error {
	v := s.anyVM(r)
	v.store.SetFault(f)
	time.Sleep(span(r, 500, 3000))
	v.store.SetFault(relay.Fault{})
	return nil
}

// storeFault sets a fault of the store for a time; two at once would end each other.
func (s *soak) storeFault(r *rand.Rand, f objects.Faults) error {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.store.SetFaults(f)
	time.Sleep(span(r, 300, 3500))
	s.store.SetFaults(objects.Faults{})
	return nil
}

// misbehave lets one target misbehave for a time.
func (s *soak) misbehave(r *rand.Rand, set func(t *target.Target, on bool)) error {
	t := s.anyTarget(r)
	set(t, true)
	time.Sleep(span(r, 500, 2000))
	set(t, false)
	return nil
}

// loop injects faults one after the other, with pauses, until the time is over; several run side by side.
func (s *soak) loop(ctx context.Context, r *rand.Rand, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(span(r, 100, 1200))
		f := &faults[r.IntN(len(faults))]
		s.say("%s begins", f.name)
		if f.harms {
			s.beginHarm()
		}
		err := f.run(s, r)
		if f.harms {
			s.endHarm()
		}
		if err != nil {
			s.violation(fmt.Sprintf("%s: %v", f.name, err))
		}
		s.say("%s ends", f.name)
	}
}
