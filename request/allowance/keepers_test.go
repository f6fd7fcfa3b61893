package allowance

import (
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// simList is a list of keepers that the store has had since an instant.
type simList struct {
	since   clock.Instant
	members []roster.Member
}

// The times of the parts of the fleet that the simulation stands in for.
const (
	// simSilence is after how long a VM that does not answer is marked as absent, and simLearning the longest time until
	// a VM that is not cut off knows of a list.
	simSilence  = 4 * time.Second
	simLearning = time.Second
)

// prove has a VM ask for a proof, and again later. The reader's own proof is 0.8 to 1.6 s old, and its answer comes
// after 1 to 10 ms or, if the VM is frozen, when it runs again.
func (s *simulation) prove(v *simVM) {
	sentAt := s.now
	at := sentAt.Add(-time.Duration(800+s.proofs.IntN(800)) * time.Millisecond)
	if v.side == 0 && s.proofs.Float64() >= s.loss && v.version >= s.versionAt(at) {
		s.on(v, time.Duration(1+s.proofs.IntN(9))*time.Millisecond, func() {
			v.keeper.Prove(s.now+v.offset, at+v.offset)
		})
	}
	s.on(v, claimInterval, func() { s.prove(v) })
}

// versionAt returns the version of the list that was in force at an instant.
func (s *simulation) versionAt(at clock.Instant) int {
	for i := len(s.lists) - 1; i > 0; i-- {
		if s.lists[i].since <= at {
			return i
		}
	}
	return 0
}

// replaceKeepers marks silent VMs as absent and VMs that run again as returning, as the readers of the store do, every
// 250 ms from now on.
func (s *simulation) replaceKeepers() {
	s.replacesKeepers = true
	silentSince := map[*simVM]clock.Instant{}
	var check func()
	check = func() {
		l := slices.Clone(s.lists[len(s.lists)-1].members)
		for _, v := range s.vms {
			silent := !v.alive || s.now < v.frozenUntil || v.side != 0
			at, was := silentSince[v]
			i := slices.Index(l, v.member)
			switch {
			case !silent:
				delete(silentSince, v)
				// Only a VM that has learned that it is absent returns, and its process marks itself.
				if i < 0 && v.version == len(s.lists)-1 {
					l = append(l, v.member)
					v.returning = true
				}
			case !was:
				silentSince[v] = s.now
			case i >= 0 && s.now.Sub(at) >= simSilence:
				l = slices.Delete(l, i, i+1)
			}
		}
		if len(l) != len(s.lists[len(s.lists)-1].members) || !sameMembers(l, s.lists[len(s.lists)-1].members) {
			s.lists = append(s.lists, simList{since: s.now, members: l})
			for _, v := range s.vms {
				s.learn(v, len(s.lists)-1)
			}
		}
		s.after(250*time.Millisecond, check)
	}
	check()
}

func sameMembers(a, b []roster.Member) bool {
	return roster.Checksum(a) == roster.Checksum(b)
}

// learn has a VM learn of a list after a while, or once it is no longer cut off.
func (s *simulation) learn(v *simVM, version int) {
	d := time.Duration(s.proofs.Int64N(int64(simLearning)))
	var try func()
	try = func() {
		if !v.alive || v.side != 0 || s.now < v.frozenUntil {
			s.after(100*time.Millisecond, try)
			return
		}
		if v.version >= version {
			return
		}
		v.version = version
		l := s.lists[version].members
		v.returning = v.returning && slices.Contains(l, v.member)
		s.setMembers(v, l)
	}
	s.after(d, try)
}
