package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The figures of case 14.
const (
	// tenantCount is the number of tenants, each with one kind of request.
	tenantCount = 20
	// lostMachines is how many of the machines are removed.
	lostMachines = 9
	// tenantRequests is how many requests each tenant sends, and tenantPause the time between two of them.
	tenantRequests = 40
	tenantPause    = 250 * time.Millisecond
	// starvedShare is the share of the requests of all that those of a tenant must be served at least.
	starvedShare = 0.25
)

// machinesLost is case 14: most machines are removed for good at the same time. The others have to go on serving all
// tenants. Without the disruption the machines stay, and consumers use the same ones.
func machinesLost(w *world, trouble bool) (result, error) {
	if err := w.addTargets("member-ledger", 12, 20*time.Millisecond); err != nil {
		return false, err
	}
	w.configure(withTenants())
	if err := w.startMachines(); err != nil {
		return false, err
	}
	left := w.machines[lostMachines:]
	if trouble {
		for _, m := range w.machines[:lostMachines] {
			m.kill()
			w.record.add("machine %s is removed", m.name)
		}
		w.record.say("%d of %d machines have been removed", lostMachines, len(w.machines))
	}
	time.Sleep(2 * contact)
	served := w.askAsTenants(left)
	all := 0
	for _, k := range served {
		all += k
	}
	mean := float64(all) / tenantCount
	starved := 0
	for t, k := range served {
		w.record.say("tenant %d: %d of %d served", t, k, tenantRequests)
		if float64(k) < starvedShare*mean {
			starved++
		}
	}
	w.record.say("tenants that were served less than a quarter as often as all: %d of %d", starved, tenantCount)
	return starved > 0, nil
}

// withTenants returns a configuration with a route for each tenant.
func withTenants() configuration {
	c := configuration{Services: []service{newService("member-ledger")}, Limits: smallLimits()}
	h := host{Host: testHost}
	for t := range tenantCount {
		h.Paths = append(h.Paths, path{
			Name: fmt.Sprintf("r-%d", t), PathPrefix: tenantPath(t), Kind: "safe", TimeoutMs: 1000, AimMs: 300, Priority: 2,
			Service: "member-ledger", MaxAttempts: 2,
		})
		c.Tenants = append(c.Tenants, tenant{
			Name: fmt.Sprintf("union-%d", t), Keys: []string{tenantKey(t)}, Rate: 100, Burst: 100,
		})
	}
	c.Hosts = []host{h}
	return c
}

func tenantPath(t int) string { return fmt.Sprintf("/balance%d/", t) }
func tenantKey(t int) string  { return fmt.Sprintf("key-%d-8f3a91c2d4", t) }

// askAsTenants sends the requests of all tenants to some machines, well within their allowances, and returns how many
// of each were served.
func (w *world) askAsTenants(machines []*machine) []int {
	served := make([]int, tenantCount)
	var g sync.WaitGroup
	for t := range tenantCount {
		g.Go(func() {
			n := map[int]int{}
			for i := range tenantRequests {
				a := w.askAs(t, machines[i%len(machines)])
				n[a.status]++
				time.Sleep(tenantPause)
			}
			served[t] = n[http.StatusOK]
			w.record.say("tenant %d: %s", t, countsOf(n))
		})
	}
	g.Wait()
	return served
}

// askAs sends one request of a tenant.
func (w *world) askAs(t int, m *machine) answer {
	c, err := connect(m.front())
	if err != nil {
		w.record.add("no connection to %s: %v", m.name, err)
		return answer{}
	}
	defer c.close()
	id := newID()
	more := "Authorization: Token " + tenantKey(t) + "\r\n"
	w.record.add("sent     %s of tenant %d to %s", id, t, m.name)
	a, err := c.send(http.MethodGet, tenantPath(t)+"2f", id, more, "")
	w.record.add("answer   %s: %d %v", id, a.status, err)
	return a
}
