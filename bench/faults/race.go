package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/fleet"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/operator/client"
	"github.com/amaranthramp/amaranthramp/version/patch"
)

// InForceLimit is how long an accepted configuration may take to come into force on every VM when nothing fails.
const InForceLimit = 3 * time.Second

// The number of rounds of racing patches, and the interval at which the VMs are asked for their versions.
const (
	raceRounds     = 4
	statusInterval = 50 * time.Millisecond
)

// raceOperators repeatedly submits two conflicting patches against the same version at two VMs. Each time
// exactly one must be accepted, and its version must come into force on all VMs within InForceLimit.
func raceOperators(ctx context.Context, f *fleet.Fleet) error {
	time.Sleep(faultOffset)
	for round := range raceRounds {
		h, err := client.New(f.VMs[0].OperatorURL()).History(ctx)
		if err != nil {
			return err
		}
		winner, err := racePatches(ctx, f, h.Version, round)
		if err != nil {
			return err
		}
		if err := waitInForce(ctx, f, winner); err != nil {
			return err
		}
	}
	return nil
}

// racePatches submits two patches concurrently and returns the version of the one that was accepted.
func racePatches(ctx context.Context, f *fleet.Fleet, v ident.Version, round int) (ident.Version, error) {
	var answers [2]patch.Answer
	var errs [2]error
	var g sync.WaitGroup
	for i := range answers {
		g.Go(func() {
			// Both weights are valid, but only one patch can become the next version.
			text := fmt.Sprintf("[[Service]]\nName = %q\n\n[[Service.Class]]\nName = %q\nWeight = %d\n",
				f.Config.Service[0].Name, f.Config.Service[0].Class[0].Name, 2*round+i+1)
			answers[i], errs[i] = client.New(f.VMs[i].OperatorURL()).Submit(ctx, patch.Submission{
				File: "race.toml", Text: text, Against: &v, Operator: fmt.Sprintf("operator-%d", i),
				ID: ident.Patch(fmt.Sprintf("race-%d-%d-%d", v, round, i)),
			})
		})
	}
	g.Wait()
	winner, accepted := ident.Version(0), 0
	for i, a := range answers {
		if errs[i] != nil {
			return 0, errs[i]
		}
		if a.Outcome == patch.Accepted {
			winner = a.Version
			accepted++
		}
	}
	if accepted != 1 {
		return 0, fmt.Errorf("round %d: %d of two racing patches accepted: %+v", round, accepted, answers)
	}
	return winner, nil
}

// waitInForce waits until the version is in force on all VMs. It fails when that takes longer than InForceLimit, or
// when a VM goes back to an older version.
func waitInForce(ctx context.Context, f *fleet.Fleet, v ident.Version) error {
	end := time.Now().Add(InForceLimit)
	seen := map[ident.VM]ident.Version{}
	for ; ; time.Sleep(statusInterval) {
		s, err := client.New(f.VMs[0].OperatorURL()).Status(ctx)
		if err != nil {
			return err
		}
		behind := 0
		for _, m := range s.VM {
			if m.InForce < seen[m.Name] {
				return fmt.Errorf("%s went back from version %d to %d", m.Name, seen[m.Name], m.InForce)
			}
			seen[m.Name] = m.InForce
			if m.InForce < v {
				behind++
			}
		}
		if behind == 0 && len(s.VM) == len(f.VMs) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("version %d not in force on %d of %d VMs after %s", v, behind, len(s.VM), InForceLimit)
		}
	}
}
