package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/fleet"
	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/bench/trial"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/server"
)

// How often and at what interval a caller sends a request that crashes each upstream that runs it.
const (
	poisonRequests = 8
	poisonPause    = time.Second
	// maxPoisonCrashes is how many upstreams may crash before the request has to be recognized as the cause.
	maxPoisonCrashes = 2
)

// sendPoison sends a poison request several times, each time to the next entry VM.
func sendPoison(ctx context.Context, f *fleet.Fleet) error {
	c := load.NewClient()
	s := &f.Config.Service[0]
	for i := range poisonRequests {
		select {
		case <-time.After(poisonPause):
		case <-ctx.Done():
			return ctx.Err()
		}
		k := &s.Class[0]
		a := &load.Arrival{
			ID: ident.Request(fmt.Sprintf("poison-%d", i)), Service: s, Class: k,
			Path: k.PathPrefix + server.PoisonSuffix,
		}
		// The answer doesn't matter; the judge counts the crashes.
		_, _ = c.Do(ctx, f.VMs[i%len(f.VMs)].CallerURL(), a, 0)
	}
	return nil
}

// checkCrashes limits the upstreams that the poison request crashed.
func checkCrashes(t *trial.Trial) []string {
	n := 0
	for i := range t.Verdict.Upstream {
		n += t.Verdict.Upstream[i].Crashes
	}
	if n > maxPoisonCrashes {
		return []string{fmt.Sprintf("%d upstreams crashed by one request, want at most %d", n, maxPoisonCrashes)}
	}
	return nil
}
