package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/standin/objects"
	"github.com/amaranthramp/amaranthramp/standin/target"
)

// oddSpecs are entries that another writer leaves beside those of targets. The store of the tests can't hold the texts
// for which nestedMark and numberMark stand.
var oddSpecs = []string{
	nestedMark,
	`{"address":"127.0.0.1:70000","born":7,"info":{"service":"book","zone":"a","max-concurrency":2},` +
		`"status":{"state":"ready","warmup-left-ms":0}}`,
	`{"address":"host.example:80","born":7,"info":{"service":"book","zone":"a","max-concurrency":9223372036854775807},` +
		`"status":{"state":"ready","warmup-left-ms":9223372036854775807}}`,
	`{"address":"127.0.0.1:7","born":` + numberMark + `,"info":{"service":"book","zone":"a","max-concurrency":2},` +
		`"status":{"state":"ready","warmup-left-ms":0}}`,
	`{"address":"127.0.0.1:7","more":` + nestedMark + `}`,
	`null`, `[]`, `"text"`, `7`,
}

// The marks of texts that a response of the store gets in their place.
const (
	nestedMark = `"@nested@"`
	numberMark = `"@number@"`
	unnamed    = `"@unnamed@"`
)

// oddTexts writes the texts for the marks into the responses of a store.
func oddTexts(h http.Handler) http.Handler {
	texts := strings.NewReplacer(
		nestedMark, strings.Repeat("[", 200_000)+strings.Repeat("]", 200_000), numberMark, strings.Repeat("9", 4000),
		unnamed, "7",
	)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := httptest.NewRecorder()
		h.ServeHTTP(p, r)
		for k, v := range p.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(p.Code)
		_, _ = texts.WriteString(w, p.Body.String())
	})
}

// putOddEntries leaves odd entries of targets and members in the store.
func putOddEntries(s *objects.Store) {
	for i, v := range oddSpecs {
		s.Put(platform.TargetKind, fmt.Sprintf("i-0-odd-%d", i), v)
	}
	s.Put(platform.TargetKind, "i-0\r\nodd", oddSpecs[1])
	s.Put(platform.TargetKind, strings.Repeat("i", 100_000), oddSpecs[1])
	s.Put(platform.TargetKind, strings.Trim(unnamed, `"`), oddSpecs[1])
	for i, v := range []string{
		nestedMark, `{"Address":"127.0.0.1:70000","DataCentre":"a"}`,
		`{"Address":"127.0.0.1:9","DataCentre":"a","Capacity":-1}`,
		`{"Address":"127.0.0.1:9","DataCentre":"a","Capacity":9223372036854775807}`,
	} {
		s.Put("amaranthramp-members", fmt.Sprintf("odd-%d", i), v)
	}
}

// TestOddEntriesEndService checks that gateways go on serving and follow the store while odd entries of each sort are
// beside those of targets and members: each listing and watch failed as a whole, and a gateway that started then never
// got ready.
func TestOddEntriesEndService(t *testing.T) {
	b := &testGateway{log: zerolog.Nop(), store: objects.New(), front: oddTexts}
	b.store.Put("config", "main", fmt.Sprintf(configuration, 1))
	b.startWithTargets(t, 2, time.Millisecond)
	gateways := []*testGateway{b, b.addGateway(t, "vm-2"), b.addGateway(t, "vm-3")}
	checkServing(t, gateways, "/read/", "before")
	putOddEntries(b.store)
	checkServing(t, gateways, "/read/", "odd")

	b.store.Put("config", "main", strings.Replace(fmt.Sprintf(configuration, 2), "/read/", "/look/", 1))
	g, err := target.Start("i-9", 2, time.Millisecond, &platform.Headers, b.runLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	b.register(t, g, false)
	b.store.Put(platform.TargetKind, "i-0", oddSpecs[1])
	b.store.Put(platform.TargetKind, "i-1", nestedMark)
	time.Sleep(2 * time.Second)
	before := len(b.runLog.Times("i-0")) + len(b.runLog.Times("i-1"))
	checkServing(t, gateways, "/look/", "changed")
	if n := len(b.runLog.Times("i-0")) + len(b.runLog.Times("i-1")); n != before {
		t.Errorf("targets whose entries have become odd got %d requests, want none", n-before)
	}

	checkServing(t, []*testGateway{b.addGateway(t, "vm-4")}, "/look/", "started")
	if n := len(b.runLog.Times("i-9")); n == 0 {
		t.Error("target that registered beside odd entries got no request, want all")
	}
}

// checkServing checks that each gateway answers requests.
func checkServing(t *testing.T, gateways []*testGateway, path, when string) {
	t.Helper()
	for i, b := range gateways {
		for j := range 20 {
			id := fmt.Sprintf("%s-%d-%d", when, i, j)
			p, _, err := b.send(context.Background(), "GET", path+id, id, "")
			if err != nil || p.StatusCode != http.StatusOK {
				t.Errorf("request %s: response %v, error %v, want status 200", id, p, err)
				break
			}
		}
	}
}
