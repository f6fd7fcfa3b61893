package load

import (
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/standin/judge"
	"github.com/amaranthramp/amaranthramp/standin/server"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// TestArrivals checks that the same seed gives the same requests, in order, with unique IDs and at the planned load.
func TestArrivals(t *testing.T) {
	b, err := os.ReadFile("../../examples/cepage/configuration.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	p := Plan{Config: c, Load: 0.5, Mean: 20 * time.Millisecond, For: 20 * time.Second, VMs: 13, Seed: 7}
	l := p.Arrivals()
	if !reflect.DeepEqual(l, p.Arrivals()) {
		t.Error("the same plan gave different arrivals")
	}
	ids := map[ident.Request]bool{}
	for i := range l {
		if i > 0 && l[i].At < l[i-1].At {
			t.Fatalf("arrival %d is out of order", i)
		}
		ids[l[i].ID] = true
	}
	const slots = 58
	want := 0.5 * slots * float64(p.For) / float64(p.Mean)
	if n := float64(len(ids)); n < 0.95*want || n > 1.05*want || len(ids) != len(l) {
		t.Errorf("%d arrivals with %d ids, want about %.0f", len(l), len(ids), want)
	}
}

// TestTruth checks for which answers Truth reports a violation.
func TestTruth(t *testing.T) {
	rows := []struct {
		name   string
		answer Answer
		runs   int
		want   string
	}{
		{"done", Answer{Outcome: outcome.Done, Body: server.ResponseBody("a")}, 1, ""},
		{"answer to a resent request", Answer{Outcome: outcome.Done, Body: server.ResponseBody("a~2")}, 1, ""},
		{"answer to another request", Answer{Outcome: outcome.Done, Body: server.ResponseBody("b")}, 1,
			"foreign or cut answer"},
		{"truncated", Answer{Outcome: outcome.Done, Body: "a\n"}, 1, "foreign or cut answer"},
		{"refused", Answer{Outcome: outcome.NotRun}, 0, ""},
		{"refused but ran", Answer{Outcome: outcome.NotRun}, 1, "not-run but ran"},
		{"unknown", Answer{Outcome: outcome.Unknown}, 1, ""},
		{"no outcome", Answer{}, 0, "answer without outcome"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			r.answer.ID = "a"
			s := Sent{Arrival: &Arrival{ID: "a"}, Answer: r.answer}
			v := &judge.Verdict{Runs: map[ident.Request]int{"a": r.runs}}
			got := ""
			for _, f := range Truth(&Result{Sent: []Sent{s}}, v) {
				if f.Count > 0 {
					got += f.Name
				}
			}
			if got != r.want {
				t.Errorf("findings = %q, want %q", got, r.want)
			}
		})
	}
}
