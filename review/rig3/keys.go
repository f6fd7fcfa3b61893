package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// The figures of case 15.
const (
	// longKey is the length of the API key of a tenant that is added, and shortKey the one without the disruption.
	longKey  = 300
	shortKey = 200
	// takenKey is an API key that the operator takes away, and keptKey another one of the same tenant.
	takenKey = "key-0-8f3a91c2d4"
	keptKey  = "key-1-77b0e2a95c"
)

// keysTaken is case 15: a version of the configuration takes an API key away and adds a tenant whose key is long.
// Without the disruption that key is shorter.
func keysTaken(w *world, trouble bool) (result, error) {
	if err := w.addTargets("member-ledger", 6, 20*time.Millisecond); err != nil {
		return false, err
	}
	c := configuration{
		Services: []service{newService("member-ledger")}, Limits: smallLimits(),
		Hosts: []host{{Host: testHost, Paths: []path{{
			Name: "r-1", PathPrefix: "/cuti630/", Kind: "safe", TimeoutMs: 1000, AimMs: 300, Priority: 2,
			Service: "member-ledger", MaxAttempts: 2,
		}}}},
		Tenants: []tenant{{Name: "union-0", Keys: []string{takenKey, keptKey}}},
	}
	w.configure(c)
	if err := w.startMachines(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if n := w.lookWith("taken", takenKey); n.byStatus[http.StatusOK] == 0 {
		return false, errors.New("the first configuration is not in force")
	}
	added := strings.Repeat("f4", shortKey/2)
	if trouble {
		added = strings.Repeat("f4", longKey/2)
	}
	c.Tenants = []tenant{{Name: "union-0", Keys: []string{keptKey}}, {Name: "union-1", Keys: []string{added}}}
	w.configure(c)
	w.record.say("tenant union-1 is added with a key of %d characters, and a key of union-0 is taken away", len(added))
	time.Sleep(applyBound + 500*time.Millisecond)
	ran, denied, kept, rounds := 0, 0, 0, 0
	for end := time.Now().Add(lookTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		rounds++
		ran += w.lookWith("taken", takenKey).byStatus[http.StatusOK]
		denied += w.lookWith("added", added).byStatus[http.StatusUnauthorized]
		kept += w.lookWith("kept", keptKey).byStatus[http.StatusOK]
	}
	w.record.say("sent later than %v after the ack: %d requests with each of three keys",
		applyBound, rounds*len(w.machines))
	w.record.say("run with the key that was taken away: %d", ran)
	w.record.say("refused with 401 though the key was added: %d", denied)
	w.record.say("run with the key that was kept: %d", kept)
	return ran+denied > 0, nil
}

// lookWith sends one request with an API key, of which name tells which one it is, to each machine.
func (w *world) lookWith(name, key string) seen {
	w.record.add("requests with the key that is %s", name)
	return w.look("/cuti630/2f", "Authorization: Token "+key+"\r\n")
}
