package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// testService returns a service whose upstreams have two slots, and which handle one request at a time during
// a cold start.
func testService() config.Service {
	return config.Service{
		Name: "notes", Slots: 2, ColdLimit: 1, Connections: 4, ProbePath: "/health",
		Class: []config.Class{{Name: "Claim", Methods: []string{"GET"}, PathPrefix: "/claims"}},
	}
}

const testWarmUp = 3

// TestArrivals compares the violations that the server counts with those of a simple model, in a random sequence of
// actions.
func TestArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		s := New(Options{Service: testService(), WarmUp: testWarmUp}, c)
		r := httptest.NewRequest(http.MethodGet, "/claims", http.NoBody)
		r = r.WithContext(s.connContext(r.Context(), nil))
		inFlight, cold, done, known := 0, true, 0, true
		want := Violations{}
		var runs []*request
		var knownAt, outAt, leftAt clock.Instant
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) {
				inFlight++
				if cold && known && c.Now() >= knownAt && inFlight > 1 {
					want.AboveCold++
				}
				if inFlight > 3 {
					want.AboveSlots++
				}
				if outAt != 0 && c.Now().Sub(outAt) > ArrivalGrace {
					want.AfterOut++
				}
				if leftAt != 0 && c.Now().Sub(leftAt) > ArrivalGrace {
					want.AfterLeaving++
				}
				n := &request{}
				s.admit(s.incarnation, r, n)
				runs = append(runs, n)
			},
			"finish": func(t *rapid.T) {
				if inFlight == 0 {
					return
				}
				inFlight--
				done++
				if cold && !known {
					known, knownAt = true, c.Now().Add(reactionTime)
				}
				cold = cold && done < testWarmUp
				s.release(s.incarnation, runs[0], true)
				runs = runs[1:]
			},
			"turn cold": func(*rapid.T) {
				cold, known, done = true, false, 0
				_ = s.Apply(Fault{Kind: Cold})
			},
			"out":     func(*rapid.T) { outAt = c.Now(); s.SetOut(true) },
			"in":      func(*rapid.T) { outAt = 0; s.SetOut(false) },
			"leave":   func(*rapid.T) { leftAt = c.Now(); _ = s.Apply(Fault{Kind: Leave}) },
			"advance": func(t *rapid.T) { c.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				if got := s.Report().Violations; got != want {
					t.Fatalf("violations %+v, want %+v", got, want)
				}
			},
		})
	})
}

// TestAnswers checks the response and the number of runs under each fault of responses.
func TestAnswers(t *testing.T) {
	rows := []struct {
		name      string
		fault     Fault
		want      string
		truncated bool
		runs      int
	}{
		{"complete", Fault{Kind: Clear}, ResponseBody("a"), false, 1},
		{"crossed", Fault{Kind: Cross, Count: 1}, ResponseBody(crossedID), false, 1},
		{"truncated", Fault{Kind: Truncate, Count: 1}, ResponseBody("a")[:len(ResponseBody("a"))/2], true, 1},
		{"surplus", Fault{Kind: Surplus, Count: 1}, ResponseBody("a"), false, 1},
		{"shed", Fault{Kind: Shed, Count: 1}, "", false, 0},
	}
	for _, w := range rows {
		t.Run(w.name, func(t *testing.T) {
			s := New(Options{Service: testService(), Fixed: true}, clock.New())
			if err := s.Apply(w.fault); err != nil {
				t.Fatal(err)
			}
			body, err := get(t, s, "/claims")
			if (err != nil) != w.truncated || body != w.want {
				t.Errorf("body %q, error %v; want body %q, truncated %v", body, err, w.want, w.truncated)
			}
			if n := s.Report().Runs["a"]; n != w.runs {
				t.Errorf("%d runs, want %d", n, w.runs)
			}
		})
	}
}

// TestPoison checks that a request with PoisonSuffix runs once, crashes the upstream and gets no response.
func TestPoison(t *testing.T) {
	s := New(Options{Service: testService(), Fixed: true}, clock.New())
	if _, err := get(t, s, "/claims"+PoisonSuffix); err == nil {
		t.Error("the request got a response, want a closed connection")
	}
	if r := s.Report(); r.Crashes != 1 || r.Runs["a"] != 1 {
		t.Errorf("%d crashes, %d runs, want 1 and 1", r.Crashes, r.Runs["a"])
	}
}

// get sends a GET request with id "a" and returns the body of the response.
func get(t *testing.T, s *Server, path string) (string, error) {
	h := httptest.NewUnstartedServer(s.handlerOf(s.incarnation))
	h.Config.ConnContext = s.connContext
	h.Start()
	t.Cleanup(h.Close)
	r, err := http.NewRequest(http.MethodGet, h.URL+path, http.NoBody)
	if err != nil {
		return "", err
	}
	r.Header.Set(call.HeaderRequestID, "a")
	r.Header.Set(call.HeaderKey, "k")
	p, err := h.Client().Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return string(b), err
}
