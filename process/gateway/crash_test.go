package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/standin/objects"
)

// TestLostAnswersAreNoCrashes checks that a request is not quarantined although two targets break its connections each
// time that they run it.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	b := newTestGateway(t, 3, time.Millisecond)
	for _, g := range b.targets[:2] {
		g.LoseAnswers.Store(true)
	}
	for i := range 30 {
		p, _, err := b.send(context.Background(), "GET", "/read/lost", fmt.Sprint("n", i), "")
		if err != nil {
			t.Fatal(err)
		}
		if r := p.Header.Get("Amaranthramp-Reason"); r == "quarantined" {
			t.Fatalf("request %d refused as quarantined, want it sent", i)
		}
	}
}

// TestCrashingRequestReachesNoMoreTargets checks that a request that has crashed three targets reaches at most three
// more from 3 s later on, whichever VM its caller sends it to, also one that has started since, and that other requests
// are served.
func TestCrashingRequestReachesNoMoreTargets(t *testing.T) {
	checkCrashingRequest(t, 0, http.MethodGet, "/read/crash")
}

// TestCrashingRequestBesideRemovedMembers checks the same, for a request that is sent to one target at a time, beside
// the registrations of many VMs that are gone. It guards against these being chosen to count the targets that died.
func TestCrashingRequestBesideRemovedMembers(t *testing.T) {
	checkCrashingRequest(t, 60, http.MethodPost, "/claim/crash-1")
}

// checkCrashingRequest checks a request beside a number of registrations of VMs that are gone.
func checkCrashingRequest(t *testing.T, removed int, method, path string) {
	t.Helper()
	// noticeTime is how long readers take to notice that members do not answer.
	const noticeTime = 5 * time.Second
	const spreadTime = 3 * time.Second
	const maxFurther = 3
	b := newTestGateway(t, 12, time.Millisecond)
	for i := range removed {
		b.store.Put("amaranthramp-members", fmt.Sprintf("gone-%d", i),
			fmt.Sprintf(`{"Address":"127.44.1.%d:9","DataCentre":"%c"}`, i+1, 'a'+i%3))
	}
	fleet := []*testGateway{b, b.addGateway(t, "vm-2"), b.addGateway(t, "vm-3"), b.addGateway(t, "vm-4")}
	if removed > 0 {
		time.Sleep(noticeTime)
	}
	crashes := func() (n int64) {
		for _, g := range b.targets {
			n += g.Crashes()
		}
		return n
	}
	for _, g := range b.targets {
		g.CrashOn(path)
	}
	sent := 0
	send := func(g *testGateway) {
		sent++
		p, _, err := g.send(context.Background(), method, path, fmt.Sprint("x", sent), "")
		if err != nil || p.StatusCode < http.StatusInternalServerError {
			t.Fatalf("response %v, error %v to a request that crashes targets, want a 5xx status", p, err)
		}
	}
	for i := 0; crashes() < 3; i++ {
		send(fleet[i%len(fleet)])
	}
	fleet = append(fleet, b.addGateway(t, "vm-5"))
	time.Sleep(spreadTime)
	before := crashes()
	for range 3 {
		for _, g := range fleet {
			send(g)
		}
	}
	if n := crashes() - before; n > maxFurther {
		t.Errorf("request crashed %d targets more, %s after it had crashed three, want at most %d", n, spreadTime, maxFurther)
	}
	for i, g := range fleet {
		p, _, err := g.send(context.Background(), "GET", "/read/1", fmt.Sprint("ok", i), "")
		if err != nil || p.StatusCode != http.StatusOK {
			t.Errorf("response %v, error %v to another request, want status 200", p, err)
		}
	}
}

// TestCrashingRequestOfOneTeam checks the same for a request of one team beside the same request of another team,
// which targets serve, also at a VM that sends requests through another one. It guards against the answers to the
// other team ending the suspicion, and against the other team being refused.
func TestCrashingRequestOfOneTeam(t *testing.T) {
	const path = "/read/plan"
	const spreadTime = 3 * time.Second
	const maxFurther = 3
	b := &testGateway{store: objects.New(), log: zerolog.Nop()}
	b.configure(1, tenantsAB)
	b.startWithTargets(t, 12, time.Millisecond)
	detouring := b.addGateway(t, "vm-2")
	detouring.link.useRelays()
	detouring.link.set(refusesNew)
	fleet := []*testGateway{b, detouring, b.addGateway(t, "vm-3")}
	for _, g := range b.targets {
		g.CrashIf(func(r *http.Request) bool { return r.URL.Path == path && r.Header.Get(teamHeader) == "a" })
	}
	crashes := func() (n int64) {
		for _, g := range b.targets {
			n += g.Crashes()
		}
		return n
	}
	send := func(key string) (served int) {
		for _, g := range fleet {
			if p, err := g.exchangeRaw(path, []string{authorization(key)}, ""); err == nil && p.StatusCode == http.StatusOK {
				served++
			}
		}
		return served
	}
	b.waitUntil(t, "all VMs serve the other team", func() bool { return send(keyOfB) == len(fleet) })
	for crashes() < 3 {
		send(keyOfA)
		send(keyOfB)
	}
	for end := time.Now().Add(spreadTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		send(keyOfB)
	}
	before := crashes()
	for range 5 {
		send(keyOfA)
		send(keyOfB)
	}
	if n := crashes() - before; n > maxFurther {
		t.Errorf("request crashed %d targets more, %s after it had crashed three, want at most %d", n, spreadTime, maxFurther)
	}
	b.waitUntil(t, "all VMs serve the other team", func() bool { return send(keyOfB) == len(fleet) })
}
