package progress

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/gateway"
	"github.com/amaranthramp/amaranthramp/process/rollout"
)

// Rollout is the roll-out of a service in the dumps of several VMs.
type Rollout struct {
	Service    ident.Service
	NewVersion ident.TargetVersion
	// State and Phase are the furthest status that a VM knows.
	State rollout.Progress
	Phase rollout.Phase
	// Cause says why the roll-out stands where it stands.
	Cause string
	// SentOld and SentNew are the requests of all VMs.
	SentOld, SentNew uint64
	// Decider is what the decider of lowest rank among the VMs knows, which is DeciderVM; nil if none of them is one.
	Decider   *gateway.RolloutDecider `json:",omitempty"`
	DeciderVM ident.VM                `json:",omitempty"`
	VMs       []VM
}

// VM is the part of one VM in a roll-out.
type VM struct {
	VM ident.VM
	gateway.RolloutDump
}

// ExposedShare returns the share of the requests that the new version has got; zero if there were none.
func (r *Rollout) ExposedShare() float64 {
	if r.SentOld+r.SentNew == 0 {
		return 0
	}
	return float64(r.SentNew) / float64(r.SentOld+r.SentNew)
}

// Summarize returns the roll-outs in the dumps, by service and version.
func Summarize(dumps []gateway.Dump) []Rollout {
	var l []Rollout
	for i := range dumps {
		for _, d := range dumps[i].Rollouts {
			k := slices.IndexFunc(l, func(r Rollout) bool { return r.Service == d.Service && r.NewVersion == d.NewVersion })
			if k < 0 {
				k = len(l)
				l = append(l, Rollout{Service: d.Service, NewVersion: d.NewVersion})
			}
			l[k].add(dumps[i].VM, d)
		}
	}
	for i := range l {
		l[i].Cause = l[i].cause()
	}
	slices.SortFunc(l, func(a, b Rollout) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.NewVersion, b.NewVersion))
	})
	return l
}

// add adds the part of one VM.
func (r *Rollout) add(vm ident.VM, d gateway.RolloutDump) {
	r.VMs = append(r.VMs, VM{VM: vm, RolloutDump: d})
	r.SentOld += d.SentOld
	r.SentNew += d.SentNew
	if rank(d.State, d.Phase) > rank(r.State, r.Phase) {
		r.State, r.Phase = d.State, d.Phase
	}
	if d.Decider != nil && (r.Decider == nil || d.Decider.Rank < r.Decider.Rank) {
		r.Decider, r.DeciderVM = d.Decider, vm
	}
}

// rank orders the statuses of an order in time.
func rank(s rollout.Progress, p rollout.Phase) int {
	switch {
	case s == rollout.Completed || s == rollout.RolledBack:
		return 3
	case s == rollout.Running && p == rollout.Moving:
		return 2
	case s == rollout.Running:
		return 1
	default:
		return 0
	}
}

// cause returns why the roll-out stands where it stands.
func (r *Rollout) cause() string {
	d := r.Decider
	switch {
	case r.State == rollout.Completed:
		return "all requests go to the new version; the old targets have stopped"
	case d == nil && r.State == rollout.RolledBack:
		return "rolled back; the reason is in the dumps of the deciders"
	case d == nil:
		return "none of the VMs decides on this order; read the dumps of the others"
	case r.State == rollout.RolledBack && d.Verdict == "Bad":
		return "rolled back: " + d.Reason
	case r.State == rollout.RolledBack:
		return "rolled back without a verdict"
	case d.Verdict == "Bad":
		return "the new version is bad: " + d.Reason + "; the roll-back is not in the store yet"
	case !d.Quorum:
		return fmt.Sprintf("too few deciders are in touch with %s, so that the new version is not used", r.DeciderVM)
	case r.Phase == rollout.Moving:
		return r.movingCause()
	case d.Verdict == "Good":
		return "the new version is good so far; it is observed until more than half of the duration has passed"
	case d.Reason != "":
		return "not enough evidence yet: " + d.Reason
	default:
		return "not enough evidence yet"
	}
}

// movingCause returns what the completion waits for.
func (r *Rollout) movingCause() string {
	var l []string
	for _, v := range r.VMs {
		if !v.Closed || v.InFlightOld > 0 {
			l = append(l, fmt.Sprintf("%s (%d in flight)", v.VM, v.InFlightOld))
		}
	}
	switch len(l) {
	case 0:
		return "the traffic has moved on all of these VMs; the completion is about to be written"
	case len(r.VMs):
		return "the traffic moves; the old targets are used until the new ones can take all requests"
	default:
		return "the traffic moves; VMs that may still use old targets: " + strings.Join(l, ", ")
	}
}
