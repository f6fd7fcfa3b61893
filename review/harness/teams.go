package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	teamCount = 30
	// teamRounds is how often each machine is replaced by a new one.
	teamRounds = 2
	// teamEvery is the time between two requests of a team, a twentieth of its allowance.
	teamEvery  = time.Second
	teamFor    = 15 * time.Second
	quotaBound = `,"quota-window-s=5","quota-overshoot=0.1","quota-slack=20","strict-revoke=false","revoke-ms=5000"`
)

// tenantSpec is a tenant of the configuration.
type tenantSpec struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api-keys"`
	Rate  float64  `json:"rate-per-s,omitempty"`
	Burst float64  `json:"burst,omitempty"`
}

// runTeams checks that each tenant is served far below its allowance after all machines have been replaced. A tenant
// that is served less than a quarter as often as all fails the gate (Starved).
func runTeams(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	e.moreBounds = quotaBound
	for i := range teamCount {
		e.tenants = append(e.tenants, tenantSpec{
			Name: fmt.Sprintf("shop-%d", i), Keys: []string{fmt.Sprintf("key-%d", i)}, Rate: 20, Burst: 40,
		})
	}
	if err := e.configure(1, defaultLimits(), routeSpec{
		Name: "post", PathPrefix: "/post/", Kind: "unsafe", TimeoutMs: 1200, AimMs: 400, Priority: 1,
		Service: "remit-intake", MaxAttempts: 2,
	}); err != nil {
		return verdict{}, err
	}
	for i := range 12 {
		_, err := e.newTarget(fmt.Sprintf("i-%04d", i), "remit-intake", zones[i%3], 6, 50*time.Millisecond, r)
		if err != nil {
			return verdict{}, err
		}
	}
	if err := e.startMachines(0, true); err != nil {
		return verdict{}, err
	}
	for i := range teamRounds {
		if trouble {
			if err := e.replaceMachines(i + 1); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(settleTime)
	return e.sendTeams(), nil
}

// sendTeams sends the requests of all teams, to the machines in turn, and counts those that are served.
func (e *env) sendTeams() verdict {
	l := e.gateways[len(e.gateways)-machinesPerRound:]
	var mu sync.Mutex
	served, asked := map[string]int{}, int(teamFor/teamEvery)
	var w sync.WaitGroup
	for n, t := range e.tenants {
		w.Go(func() {
			for i := range asked {
				c := &consumer{address: l[(n+i)%len(l)].front()}
				q := newRequest(http.MethodPost, "/post/booking", 1200*time.Millisecond)
				q.header = "Authorization: Token " + t.Keys[0] + "\r\n"
				o := c.do(q)
				c.close()
				mu.Lock()
				if o.status == http.StatusOK {
					served[t.Name]++
				} else {
					e.record("%s: %s", t.Name, o.text())
				}
				mu.Unlock()
				time.Sleep(teamEvery)
			}
		})
	}
	w.Wait()
	all, none, starved := 0, 0, 0
	for _, t := range e.tenants {
		all += served[t.Name]
	}
	for _, t := range e.tenants {
		if served[t.Name] == 0 {
			none++
		}
		if 4*served[t.Name]*teamCount < all {
			starved++
		}
	}
	return verdict{
		broken: starved > 0,
		text: fmt.Sprintf("Starved: %d of %d tenants were served less than a quarter as often as all, %d of them never; "+
			"%d of %d requests were served", starved, teamCount, none, all, teamCount*asked),
	}
}
