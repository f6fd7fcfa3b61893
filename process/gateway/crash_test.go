package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
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
	const path = "/read/crash"
	const spreadTime = 3 * time.Second
	const maxFurther = 3
	b := newTestGateway(t, 12, time.Millisecond)
	fleet := []*testGateway{b, b.addGateway(t, "vm-2"), b.addGateway(t, "vm-3"), b.addGateway(t, "vm-4")}
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
		p, _, err := g.send(context.Background(), "GET", path, fmt.Sprint("x", sent), "")
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
