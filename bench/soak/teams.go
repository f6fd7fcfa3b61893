package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/version/team"
)

// The allowance of each team, in requests per second and requests, and the bound on what runs in a window of
// quotaWindow: the allowance in it and a tenth more, plus quotaSlack.
const (
	teamCount      = 3
	teamRate       = 20
	teamBurst      = 10
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	// teamDemand is how many times its rate each team asks for.
	teamDemand = 3
	// allowanceLimit is how long after the last fault teams get their whole allowance again at the latest: a VM that was
	// marked as absent returns and takes over from others.
	allowanceLimit = 12 * time.Second
	// allowanceSpan is for how long it is counted then.
	allowanceSpan = 3 * time.Second
)

// teamsWithKeys returns the teams of the configuration. The key of each is longer than usual ones.
func teamsWithKeys() []platform.TeamWithKeys {
	var l []platform.TeamWithKeys
	for i := range teamCount {
		l = append(l, platform.TeamWithKeys{
			Team:    team.Team{Name: ident.Team(fmt.Sprint("team-", i)), Rate: teamRate, Burst: teamBurst},
			APIKeys: []string{teamKey(i)},
		})
	}
	return l
}

func teamKey(i int) string {
	return fmt.Sprint("key-", i, "-", strings.Repeat("k", 300))
}

// runTeam sends requests of a team to random VMs at teamDemand times its rate, until the context ends, and then checks
// that no window had more runs than the bound.
func (s *soak) runTeam(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(s.options.Seed, uint64(5000+i)))
	c := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	tick := time.NewTicker(time.Second / (teamDemand * teamRate))
	defer tick.Stop()
	var w sync.WaitGroup
	sent := 0
	for ; ctx.Err() == nil; sent++ {
		v, id := s.anyVM(r), teamRequest(i, sent)
		w.Go(func() { s.sendAsTeam(ctx, c, v, i, id) })
		<-tick.C
	}
	w.Wait()
	s.checkQuota(i, sent)
}

func teamRequest(i, n int) string {
	return fmt.Sprintf("team%d-%d", i, n)
}

// sendAsTeam sends one request with the key of a team, and checks that the VM knows the key.
func (s *soak) sendAsTeam(ctx context.Context, c *http.Client, v *vm, i int, id string) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(v.settings.CallerAddress)+"/team/x", nil)
	if err != nil {
		return
	}
	q.Host = host
	q.Header.Set("Authorization", "Token "+teamKey(i))
	q.Header.Set(platform.Headers.RequestID, id)
	q.Header.Set(platform.Headers.TimeRemaining, "1000")
	p, err := c.Do(q)
	if err != nil {
		return
	}
	_ = p.Body.Close()
	if p.StatusCode == http.StatusUnauthorized || p.StatusCode == http.StatusNotFound {
		s.addViolation(fmt.Sprintf("request %s with a key of its team to %s got %d", id, v.settings.Name, p.StatusCode))
	}
}

// teamRuns returns when each of the requests of a team first ran at a target.
func (s *soak) teamRuns(i, sent int) []time.Time {
	var at []time.Time
	for n := range sent {
		if l := s.runLog.Runs(teamRequest(i, n)); len(l) > 0 {
			at = append(at, l[0].At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// checkQuota checks that in no window more requests of a team ran than the bound allows.
func (s *soak) checkQuota(i, sent int) {
	most := (teamRate*quotaWindow.Seconds()+teamBurst)*(1+quotaOvershoot) + quotaSlack
	at, first := s.teamRuns(i, sent), 0
	for last := range at {
		for at[last].Sub(at[first]) > quotaWindow {
			first++
		}
		if n := last - first + 1; float64(n) > most {
			s.addViolation(fmt.Sprintf("%d requests of team %d ran in the %s before %.3f s, want at most %.0f", n, i,
				quotaWindow, at[last].Sub(s.startedAt).Seconds(), most))
			return
		}
	}
}

// checkAllowances checks that each team gets nearly its whole allowance once the faults are over.
func (s *soak) checkAllowances() {
	before := map[int]uint64{}
	for i := range teamCount {
		before[i] = s.runLog.Count(fmt.Sprintf("team%d-", i))
	}
	time.Sleep(allowanceSpan)
	for i := range teamCount {
		n := s.runLog.Count(fmt.Sprintf("team%d-", i)) - before[i]
		if want := uint64(0.8 * teamRate * allowanceSpan.Seconds()); n < want {
			s.addViolation(fmt.Sprintf("%d requests of team %d ran in %s after the faults, want at least %d", n, i,
				allowanceSpan, want))
		}
	}
}

// loseMost kills all VMs but one or two and starts them again after a while, at random times.
func loseMost(s *soak, r *rand.Rand) error {
	var w sync.WaitGroup
	errs := make([]error, len(s.vms))
	kept := map[int]bool{r.IntN(len(s.vms)): true, r.IntN(len(s.vms)): true}
	for i, v := range s.vms {
		if kept[i] {
			continue
		}
		d := randomDuration(r, 200, 9000)
		w.Go(func() { errs[i] = v.killAndRestart(d) })
	}
	w.Wait()
	return errors.Join(errs...)
}
