package fleet

import (
	"math"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// readerSituation is what a member knows when it decides whether to read the store itself.
type readerSituation struct {
	now, started clock.Instant
	// confirmed is when the store last confirmed the member's copy; zero if it never did.
	confirmed clock.Instant
	// rank is the member's rank among all members. existingFleet means that there were several before it started.
	rank, members int
	existingFleet bool
	// silentBefore is the number of members of lower rank that do not run as far as is known, and silent that of all.
	silentBefore, silent int
	// freshReaders is the number of active readers whose copy the store has confirmed lately.
	freshReaders int
	// hasActiveReader is whether any reader is active, and newestConfirmation when the store last confirmed one's copy.
	hasActiveReader    bool
	newestConfirmation clock.Instant
	// behindSince is when the member first heard of a change that it still lacks; zero if it lacks none.
	behindSince clock.Instant
	// shortageSince is since when there have been too few fresh readers, but some; zero if there are none or enough.
	shortageSince clock.Instant
	// capacity is the size class of the VM, and hash a number from 0 to 1 that stands for its name.
	capacity int
	hash     float64
}

// reasonToRead returns why the member has to read the store, or "" if it need not. The rules keep the number of readers
// small in each of these situations:
//   - The whole fleet starts, for the first time or again: no member hears from a reader yet.
//   - All readers fail at once: their members' copies become stale together.
//   - Many objects change at once: a large fleet needs a moment to fetch the changes.
//   - The store comes back after an outage: the copies of all members are stale and lack its changes.
func (s *readerSituation) reasonToRead() string {
	if s.rank < min(desiredReaders, s.members) && (s.existingFleet || s.confirmed != 0) {
		return "ranked among the preferred readers"
	}
	if s.confirmed == 0 {
		if s.freshReaders == 0 && s.now.Sub(s.started) >= initialReadDelay+s.startDelay() {
			return "no active reader since startup"
		}
		if s.now.Sub(s.started) < s.startGrace() {
			return ""
		}
	}
	if s.isStale() {
		return "last confirmation by the store is stale"
	}
	if s.storeAnswersReaders() && s.shortageSince != 0 && s.now.Sub(s.shortageSince) >= readerTimeout+2*s.rankDelay() {
		return "too few active readers"
	}
	return ""
}

// storeAnswersReaders reports whether the store has confirmed the copy of an active reader lately. If not, more readers
// would get no answer either; isStale lets some of them try.
func (s *readerSituation) storeAnswersReaders() bool {
	return s.hasActiveReader && s.now.Sub(s.newestConfirmation) < staleAfter
}

// startGrace returns how long a member waits after its start before a missing confirmation counts as stale.
func (s *readerSituation) startGrace() time.Duration {
	if s.existingFleet {
		return restartGrace
	}
	return firstStartGrace
}

// startDelay returns how long a member waits for a reader after its start.
func (s *readerSituation) startDelay() time.Duration {
	if s.rank < s.members && s.existingFleet {
		// A reader of a large fleet takes seconds to start, to read the store and to reach all members.
		return s.rankDelay() + min(time.Duration(s.rank/outageReaders)*startStep, maxStartDelay)
	}
	// No member has registered yet, so there are no ranks and the order is by hash alone.
	return registrationDelay + lowCapacityDelay>>s.capacity + time.Duration(float64(firstStartDelaySpan)*s.hash)
}

// isStale reports whether the store's last confirmation of the copy is so old that the member has to read itself.
func (s *readerSituation) isStale() bool {
	age := s.now.Sub(max(s.confirmed, s.started)) - staleAfter - s.rankDelay()
	switch {
	case !s.hasActiveReader:
		return age >= 0 && (s.confirmed != 0 || s.now.Sub(s.started) >= initialReadDelay+s.startDelay())
	case s.storeAnswersReaders():
		// A reader has changes that this member lacks and is fetching.
		return age >= 0 && s.behindSince != 0 && s.now.Sub(s.behindSince) >= fetchGrace+s.rankDelay()
	default:
		// The readers get no answer from the store.
		return age >= time.Duration(s.runningRank()/outageReaders)*outageStep
	}
}

// rankDelay returns the delay of a member within rankDelaySpan.
func (s *readerSituation) rankDelay() time.Duration {
	n := math.Log1p(float64(max(s.members-s.silent, 1)))
	return time.Duration(float64(rankDelaySpan) * min(math.Log1p(float64(s.runningRank()))/n, 1))
}

// runningRank returns the member's rank among those that run. No member waits for one that is gone.
func (s *readerSituation) runningRank() int {
	return s.rank - s.silentBefore
}
