package candidate

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// probeShare is the part of the probes that the settings allow at a target which all VMs together send: at 60 a second
	// and 6 ms of a slot each, the largest cost that is known, they take a quarter of one slot.
	probeShare = 0.75
	// defaultProbeRate holds where the settings state no bound: a third of what the users' platform allows.
	defaultProbeRate = 20
	// maxSaved is how many probes a lane can save up for a burst, as seconds of its rate.
	maxSaved = 2 * time.Second
	// lookAgain is the pause before targets without room are asked again.
	lookAgain = 25 * time.Millisecond
)

// lane is what the choices for one service share: the probes that they may still spend, and the order in which they
// look while the targets have no room, so that those who wait don't load the targets further.
type lane struct {
	// turn holds one item, which the request that may look has taken.
	turn chan struct{}

	mu     sync.Mutex
	saved  float64
	at     clock.Instant
	full   bool
	nextAt clock.Instant
}

// newLane returns a lane with some probes saved.
func newLane(now clock.Instant, saved float64) *lane {
	l := &lane{turn: make(chan struct{}, 1), at: now, saved: saved}
	l.turn <- struct{}{}
	return l
}

// lanes are the lanes of all services.
type lanes struct {
	mu  sync.Mutex
	all map[ident.Service]*lane
}

func (l *lanes) of(s ident.Service, now clock.Instant, saved float64) *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.all[s]
	if !ok {
		n = newLane(now, saved)
		l.all[s] = n
	}
	return n
}

// spend takes up to n probes of the budget and returns how many there were; rate is this VM's probes a second.
func (l *lane) spend(now clock.Instant, rate float64, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saved = min(l.saved+rate*now.Sub(l.at).Seconds(), max(rate*maxSaved.Seconds(), 1))
	l.at = now
	n = min(n, int(l.saved))
	l.saved -= float64(n)
	return n
}

// noRoom notes a look that found no target with room.
func (l *lane) noRoom(now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full, l.nextAt = true, now.Add(lookAgain)
}

// hasRoom notes a look that found one.
func (l *lane) hasRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full = false
}

func (l *lane) next() (bool, clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.full, l.nextAt
}

// enter waits for the turn to look if the targets had no room lately. It reports whether the turn came in time, and
// whether it has to be given back.
func (l *lane) enter(ctx context.Context, c clock.Clock, until clock.Instant) (ok, held bool) {
	if full, _ := l.next(); !full {
		return true, false
	}
	t := time.NewTimer(until.Sub(c.Now()))
	defer t.Stop()
	select {
	case <-l.turn:
	case <-ctx.Done():
		return false, false
	case <-t.C:
		return false, false
	}
	if full, at := l.next(); full && at > c.Now() {
		p := time.NewTimer(at.Sub(c.Now()))
		defer p.Stop()
		select {
		case <-p.C:
		case <-ctx.Done():
			return false, true
		case <-t.C:
			return false, true
		}
	}
	return true, true
}

func (l *lane) leave() {
	l.turn <- struct{}{}
}
