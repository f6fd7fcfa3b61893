package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// applyBound is config-apply-ms of the settings.
const applyBound = 2 * time.Second

// lookTime is how long case 13 looks at what is in force, once applyBound is over.
const lookTime = 5 * time.Second

// weights is case 13: a version of the configuration moves a route, adds one, and gives one request in 200 of a third
// one to another service, with weights that are fractions. Without the disruption they are whole numbers of the same
// proportion.
func weights(w *world, trouble bool) (result, error) {
	for _, s := range []string{"member-ledger", "statement-desk"} {
		if err := w.addTargets(s, 6, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	balance := path{
		Name: "r-1", PathPrefix: "/cuti630/", Kind: "safe", TimeoutMs: 1000, AimMs: 300, Priority: 2,
		Service: "member-ledger", MaxAttempts: 2,
	}
	report := balance
	report.Name, report.PathPrefix = "r-2", "/fira23/"
	before := twoServices(balance, report)
	w.configure(before)
	if err := w.startMachines(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if n := w.look("/cuti630/2f", ""); n.byService["member-ledger"] == 0 {
		return false, errors.New("the first configuration is not in force")
	}
	moved, added, split := balance, balance, report
	moved.Service = "statement-desk"
	added.Name, added.PathPrefix = "r-3", "/gowu831/"
	split.Service = ""
	split.TrafficSplit = []part{{Service: "member-ledger", Weight: 199}, {Service: "statement-desk", Weight: 1}}
	if trouble {
		split.TrafficSplit = []part{{Service: "member-ledger", Weight: 99.5}, {Service: "statement-desk", Weight: 0.5}}
	}
	w.configure(twoServices(moved, split, added))
	time.Sleep(applyBound + 500*time.Millisecond)
	late, denied, all := 0, 0, 0
	for end := time.Now().Add(lookTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m, a := w.look("/cuti630/2f", ""), w.look("/gowu831/2f", "")
		late += m.byService["member-ledger"]
		denied += a.byStatus[http.StatusNotFound]
		all += 2 * len(w.machines)
	}
	w.record.say("sent later than %v after the ack: %d requests", applyBound, all)
	w.record.say("run by the service from which their route was moved away: %d", late)
	w.record.say("refused with 404 though their route is there: %d", denied)
	return late+denied > 0, nil
}

func twoServices(paths ...path) configuration {
	return configuration{
		Services: []service{newService("member-ledger"), newService("statement-desk")}, Limits: smallLimits(),
		Hosts: []host{{Host: testHost, Paths: paths}},
	}
}

// seen is what the answers to requests of one path show.
type seen struct {
	byService map[string]int
	byStatus  map[int]int
}

// look sends one request of a path to each machine. more holds complete header lines.
func (w *world) look(path, more string) seen {
	n := seen{byService: map[string]int{}, byStatus: map[int]int{}}
	for _, m := range w.machines {
		c, err := connect(m.front())
		if err != nil {
			w.record.add("no connection to %s: %v", m.name, err)
			continue
		}
		id := newID()
		w.record.add("sent     %s to %s: GET %s", id, m.name, path)
		a, err := c.send(http.MethodGet, path, id, more, "")
		c.close()
		w.record.add("answer   %s: %d %v %s", id, a.status, err, firstLine(a.body))
		n.byStatus[a.status]++
		if s, ok := strings.CutPrefix(strings.TrimSpace(a.body), "service "); ok {
			n.byService[s]++
		}
	}
	return n
}

func firstLine(s string) string {
	l, _, _ := strings.Cut(s, "\n")
	return fmt.Sprintf("%q", l)
}
