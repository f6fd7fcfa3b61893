package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/request/call"
)

// TestRelayLimits checks that a request waits for its turn at targets that name a limit if that comes soon, and is
// refused at once if not, and that the VM learns by a probe that the limit is over.
func TestRelayLimits(t *testing.T) {
	f := &stubTargets{}
	f.setLimit("10")
	y, _, end := newRelay(t, f, 5)
	defer end()
	n, o := table(false, 1)
	send := func() call.Answer { return y.Do(context.Background(), n, o, newCall()) }
	// Three targets that each take 10 requests per second from this VM.
	began := time.Now()
	for i := range 8 {
		if a := send(); a.Status != http.StatusOK {
			t.Errorf("request %d: status %d, want 200 after a wait for a turn", i, a.Status)
		}
	}
	if d := time.Since(began); d < 100*time.Millisecond {
		t.Errorf("eight requests took %s, want at least the gap of 100 ms", d)
	}
	f.setLimit("0.001")
	for send().Status == http.StatusOK {
		if time.Since(began) > 5*time.Second {
			t.Fatal("requests are still sent, want them refused")
		}
	}
	refusedAt := time.Now()
	if a := send(); a.Status != http.StatusServiceUnavailable || a.RetryAfter < time.Minute {
		t.Errorf("status %d, retry after %s, want 503 and the time to the next turn", a.Status, a.RetryAfter)
	}
	if d := time.Since(refusedAt); d > 50*time.Millisecond {
		t.Errorf("refused after %s, want at once", d)
	}
	f.setLimit("")
	for send().Status != http.StatusOK {
		if time.Since(refusedAt) > 3*time.Second {
			t.Fatal("requests are still refused 3 s after the limit was over, want them sent")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRelayLimitNamedAfterChoice checks that a request is not sent to a target that has named a limit since the choice
// unless it is counted towards it.
func TestRelayLimitNamedAfterChoice(t *testing.T) {
	f := &stubTargets{}
	f.setLimit("10")
	y, _, end := newRelay(t, f, 5)
	defer end()
	n, o := table(false, 1)
	h, reason := y.chooser.Choose(context.Background(), y.newQuery(&requestState{
		call: &call.Call{Service: "book", Deadline: y.clock.Now().Add(time.Second)}, route: o, service: n.Services["book"],
		started: y.clock.Now(),
	}))
	if reason != "" {
		t.Fatalf("no target: %s", reason)
	}
	defer h.Upstream.Release(h.Conn)
	s := &requestState{call: &call.Call{Service: "book", Deadline: 1 << 62}}
	for _, counted := range []bool{true, false} {
		h.Limited = counted
		if r := y.checkBeforeWrite(&h, s); (r == "") != counted {
			t.Errorf("check before write returned %q for a request that is counted: %t, want none only if it is", r, counted)
		}
	}
}
