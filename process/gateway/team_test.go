package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/gateway"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/standin/objects"
)

// teamConfiguration has a public route, one that needs a key, and the given tenants.
const teamConfiguration = `{"version":%d,"services":[{"name":"book","health-path":"/health","max-conns":50}],
"limits":{"max-body-bytes":1000},"tenants":[%s],"hosts":[{"host":"h.example","paths":[
{"name":"read","path-prefix":"/read/","kind":"safe","timeout-ms":2000,"aim-ms":500,"service":"book","max-attempts":2,
"public":false},
{"name":"open","path-prefix":"/open/","kind":"safe","timeout-ms":2000,"aim-ms":500,"service":"book","max-attempts":2,
"public":true}]}]}`

const (
	keyOfA = "8m82thhkmgjqnirth5mg"
	keyOfB = "secondkey-5d0c2"
	// unknownKey is a key of no team.
	unknownKey = "strangerkey-77aa1"
)

// tenantsAB are the tenants a, with keyOfA, and b, with keyOfB.
const tenantsAB = `{"name":"a","api-keys":["` + keyOfA + `"],"priority":1,"rate-per-s":315,"burst":315},
{"name":"b","api-keys":["` + keyOfB + `"]}`

// teamHeader is the header that tells a target the team.
const teamHeader = "Amaranthramp-Tenant"

// requestRecorder keeps the headers of the requests that targets run.
type requestRecorder struct {
	mu   sync.Mutex
	last http.Header
	all  bytes.Buffer
}

func (s *requestRecorder) record(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = r.Header.Clone()
	for n, v := range r.Trailer {
		s.last[n] = append(s.last[n], v...)
	}
	_ = s.last.Write(&s.all)
}

// take returns the headers of the last request since the last call, or nil if there was none.
func (s *requestRecorder) take() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.last
	s.last = nil
	return h
}

// text returns all headers that targets got.
func (s *requestRecorder) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all.String()
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newTeamGateway returns a gateway with two targets under teamConfiguration, and what the targets get.
func newTeamGateway(t *testing.T, tenants string, log zerolog.Logger, adjust func(*gateway.Settings),
) (*testGateway, *requestRecorder) {
	t.Helper()
	b := &testGateway{store: objects.New(), log: log, adjust: adjust}
	b.configure(1, tenants)
	b.startWithTargets(t, 2, time.Millisecond)
	s := &requestRecorder{}
	for _, g := range b.targets {
		g.Observe(s.record)
	}
	return b, s
}

func (b *testGateway) configure(version int, tenants string) {
	b.store.Put(platform.ConfigurationKind, platform.ConfigurationName, fmt.Sprintf(teamConfiguration, version, tenants))
}

// exchangeRaw sends header lines on a new connection and returns the response.
func (b *testGateway) exchangeRaw(path string, lines []string, body string) (*http.Response, error) {
	n, err := net.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		return nil, err
	}
	defer func() { _ = n.Close() }()
	return exchangeOn(n, path, lines, body)
}

// exchangeOn sends header lines on a connection and returns the response.
func exchangeOn(n net.Conn, path string, lines []string, body string) (*http.Response, error) {
	_ = n.SetDeadline(time.Now().Add(5 * time.Second))
	text := "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n" + strings.Join(append(lines, "", ""), "\r\n") + body
	if _, err := io.WriteString(n, text); err != nil {
		return nil, err
	}
	p, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return nil, err
	}
	a, err := io.ReadAll(p.Body)
	p.Body = io.NopCloser(bytes.NewReader(a))
	return p, err
}

func authorization(key string) string {
	return "Authorization: Token " + key
}

// TestKeys checks the status of requests with and without keys, and the team that the target is told.
func TestKeys(t *testing.T) {
	b, s := newTeamGateway(t, tenantsAB, zerolog.Nop(), nil)
	rows := []struct {
		name, path string
		lines      []string
		status     int
		team       string
	}{
		{"key of a", "/read/1", []string{authorization(keyOfA)}, 200, "a"},
		{"key of b", "/read/1", []string{"authorization: Token " + keyOfB}, 200, "b"},
		{"unknown key", "/read/1", []string{authorization(unknownKey)}, 401, ""},
		{"no key", "/read/1", nil, 401, ""},
		{"two headers", "/read/1", []string{authorization(keyOfA), "AUTHORIZATION: Token " + keyOfA}, 401, ""},
		{"another scheme", "/read/1", []string{"Authorization: Bearer " + keyOfA}, 401, ""},
		{"oversized", "/read/1", []string{authorization(strings.Repeat("k", 300))}, 401, ""},
		{"forged team", "/read/1", []string{authorization(keyOfA), "amaranthramp-TENANT: b", teamHeader + ": b"}, 200, "a"},
		{"forged team without a key", "/read/1", []string{teamHeader + ": a"}, 401, ""},
		{"team removed by Connection", "/read/1", []string{authorization(keyOfA),
			"Connection: " + teamHeader + ", Authorization", teamHeader + ": b"}, 200, "a"},
		{"internal headers", "/read/1", []string{call.HeaderCredential + ": " + keyOfA, call.HeaderTeamService + ": x"}, 401,
			""},
		{"public, key of b", "/open/1", []string{authorization(keyOfB)}, 200, "b"},
		{"public, no key, forged team", "/open/1", []string{teamHeader + ": a", teamHeader + ": b"}, 200, ""},
		{"public, unknown key", "/open/1", []string{authorization(unknownKey), call.HeaderCredential + ": " + keyOfA}, 200,
			""},
		{"no route, no key", "/other/", nil, 404, ""},
		{"no route, unknown key", "/other/", []string{authorization(unknownKey)}, 404, ""},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			p, err := b.exchangeRaw(r.path, r.lines, "")
			if err != nil {
				t.Fatal(err)
			}
			got := s.take()
			if p.StatusCode != r.status || (got != nil) != (r.status == 200) || got.Get(teamHeader) != r.team {
				t.Errorf("status %d, target got %v, want status %d, team %q", p.StatusCode, got, r.status, r.team)
			}
			for _, n := range []string{"Authorization", call.HeaderCredential, call.HeaderTeamService} {
				if got.Get(n) != "" {
					t.Errorf("target got %s: %q, want none", n, got.Get(n))
				}
			}
			if r.status == 401 && p.Header.Get("WWW-Authenticate") != "Token" {
				t.Errorf("WWW-Authenticate %q, want Token", p.Header.Get("WWW-Authenticate"))
			}
		})
	}
}

// TestKeyHeadersRandom sends random combinations of Authorization, team, Connection and trailer headers, and compares
// the status and what the target gets with the rules.
func TestKeyHeadersRandom(t *testing.T) {
	b, s := newTeamGateway(t, tenantsAB, zerolog.Nop(), nil)
	lines := []string{
		authorization(keyOfA), "aUTHORIZATION:Token " + keyOfA, authorization(keyOfB), authorization(unknownKey),
		"Authorization: token " + keyOfA, "Authorization: Token  " + keyOfA, "Authorization: Token " + keyOfA + "," + keyOfB,
		"Authorization:", "X-Authorization: Token " + keyOfA, teamHeader + ": forged", "AMARANTHRAMP-tenant:\t forged",
		"Connection: Authorization", "Connection: keep-alive, " + teamHeader, "X-Own: 1",
		call.HeaderCredential + ": " + keyOfA, call.HeaderTeamService + ": book",
	}
	// valid holds the lines that alone identify a team.
	valid := map[string]string{lines[0]: "a", lines[1]: "a", lines[2]: "b"}
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.SampledFrom(lines), 0, 5).Draw(t, "lines")
		public := rapid.Bool().Draw(t, "public")
		team, credentials := "", 0
		for _, l := range sent {
			if strings.HasPrefix(strings.ToLower(l), "authorization:") {
				credentials++
				team = valid[l]
			}
		}
		if credentials != 1 {
			team = ""
		}
		body := ""
		if rapid.Bool().Draw(t, "trailer") {
			sent = append(slices.Clone(sent), "Transfer-Encoding: chunked", "Trailer: "+teamHeader+", X-Late")
			body = "1\r\nx\r\n0\r\n" + teamHeader + ": forged\r\nX-Late: 1\r\n\r\n"
		}
		path := "/read/1"
		if public {
			path = "/open/1"
		}
		status := http.StatusOK
		if team == "" && !public {
			status = http.StatusUnauthorized
		}
		p, err := b.exchangeRaw(path, sent, body)
		if err != nil {
			t.Fatal(err)
		}
		got := s.take()
		if p.StatusCode != status || (got != nil) != (status == http.StatusOK) {
			t.Fatalf("status %d, target got %v, want status %d", p.StatusCode, got, status)
		}
		if l := got.Values(teamHeader); got.Get(teamHeader) != team || len(l) > 1 {
			t.Fatalf("target was told the team %q, want %q", l, team)
		}
		for n := range got {
			if strings.EqualFold(n, "Authorization") || strings.EqualFold(n, call.HeaderCredential) {
				t.Fatalf("target got the header %s", n)
			}
		}
	})
}

// TestHeadersWithoutTeams checks that a deployment without teams passes the callers' headers on as before.
func TestHeadersWithoutTeams(t *testing.T) {
	b, s := newTeamGateway(t, "", zerolog.Nop(), nil)
	p, err := b.exchangeRaw("/read/1", []string{"Authorization: Basic x", teamHeader + ": y"}, "")
	if err != nil || p.StatusCode != http.StatusOK {
		t.Fatalf("response %v, error %v, want status 200", p, err)
	}
	if got := s.take(); got.Get("Authorization") != "Basic x" || got.Get(teamHeader) != "y" {
		t.Errorf("target got %v, want the caller's Authorization and %s", got, teamHeader)
	}
}

// TestKeyRemoved checks, on an open connection, that a key is refused soon after a configuration has removed it, that
// an older configuration does not make it valid again, and that the key can move to another team.
func TestKeyRemoved(t *testing.T) {
	const applyTime = 2500 * time.Millisecond
	b, s := newTeamGateway(t, tenantsAB, zerolog.Nop(), nil)
	n, err := net.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	status := func() int {
		p, err := exchangeOn(n, "/read/1", []string{authorization(keyOfA)}, "")
		if err != nil {
			t.Fatal(err)
		}
		return p.StatusCode
	}
	if c := status(); c != http.StatusOK {
		t.Fatalf("status %d before the removal, want 200", c)
	}
	b.configure(5, `{"name":"b","api-keys":["`+keyOfB+`"]}`)
	removed := time.Now()
	for status() != http.StatusUnauthorized {
		if time.Since(removed) > applyTime {
			t.Fatalf("key accepted %s after its removal", time.Since(removed))
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("key refused %s after its removal", time.Since(removed))
	b.configure(4, tenantsAB)
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(20 * time.Millisecond) {
		if c := status(); c != http.StatusUnauthorized {
			t.Fatalf("status %d with an older configuration that has the key, want 401", c)
		}
	}
	b.configure(6, `{"name":"c","api-keys":["`+keyOfA+`"]}`)
	b.waitUntil(t, "key accepted again", func() bool { return status() == http.StatusOK })
	if got := s.take().Get(teamHeader); got != "c" {
		t.Errorf("team %q after the key moved to team c, want c", got)
	}
}

// TestInvalidTeams checks that a configuration with an error in its teams takes effect nevertheless, with the key that
// it adds and without the one that it takes away, and that the log names the error without the key.
func TestInvalidTeams(t *testing.T) {
	log := &lockedBuffer{}
	b, _ := newTeamGateway(t, tenantsAB, zerolog.New(log), nil)
	b.configure(2, `{"name":"c","api-keys":["`+unknownKey+`"]},{"name":"d","api-keys":["`+unknownKey+`"],"rate-per-s":-1}`)
	b.waitUntil(t, "error logged", func() bool { return strings.Contains(log.String(), "can't be used") })
	for key, want := range map[string]int{keyOfA: 401, unknownKey: 200} {
		if p, err := b.exchangeRaw("/read/1", []string{authorization(key)}, ""); err != nil || p.StatusCode != want {
			t.Errorf("response %v, error %v, want status %d", p, err, want)
		}
	}
	for _, w := range []string{"API key 1 is also a key of team", "rate is -1"} {
		if !strings.Contains(log.String(), w) {
			t.Errorf("log does not contain %q", w)
		}
	}
	if strings.Contains(log.String(), unknownKey) {
		t.Error("log contains a key")
	}
}

// TestStoreUnreachable checks what a VM answers whose copy of the store is not confirmed any more: 503 to an unknown
// key, which may be a new one, and to a known key only if keys are revoked strictly.
func TestStoreUnreachable(t *testing.T) {
	for _, r := range []struct {
		strict bool
		status int
	}{{false, http.StatusOK}, {true, http.StatusServiceUnavailable}} {
		t.Run(fmt.Sprintf("strict=%t", r.strict), func(t *testing.T) {
			t.Parallel()
			b, s := newTeamGateway(t, tenantsAB, zerolog.Nop(), func(s *gateway.Settings) {
				s.Revocation = gateway.Revocation{Strict: r.strict, Within: 2500 * time.Millisecond}
			})
			b.store.SetFaults(objects.Faults{Status: http.StatusServiceUnavailable})
			time.Sleep(3500 * time.Millisecond)
			for _, l := range [][]string{{authorization(unknownKey)}, nil} {
				p, err := b.exchangeRaw("/read/1", l, "")
				if err != nil || p.StatusCode != http.StatusServiceUnavailable || p.Header.Get("Retry-After") == "" {
					t.Errorf("unknown or no key: response %+v, error %v, want status 503 with Retry-After", p, err)
				}
			}
			p, err := b.exchangeRaw("/read/1", []string{authorization(keyOfA)}, "")
			if err != nil || p.StatusCode != r.status || (s.take() != nil) != (r.status == http.StatusOK) {
				t.Errorf("known key: response %+v, error %v, want status %d", p, err, r.status)
			}
			if p, err := b.exchangeRaw("/open/1", nil, ""); err != nil || p.StatusCode != http.StatusOK {
				t.Errorf("public route: response %+v, error %v, want status 200", p, err)
			}
			b.store.SetFaults(objects.Faults{})
			b.waitUntil(t, "unknown key refused again", func() bool {
				p, err := b.exchangeRaw("/read/1", []string{authorization(unknownKey)}, "")
				return err == nil && p.StatusCode == http.StatusUnauthorized
			})
		})
	}
}

// TestNoConfiguration checks that a VM without a configuration answers 503 to a request with a key.
func TestNoConfiguration(t *testing.T) {
	b := &testGateway{store: objects.New(), log: zerolog.Nop()}
	b.startWithTargets(t, 0, 0)
	p, err := b.exchangeRaw("/read/1", []string{authorization(keyOfA)}, "")
	if err != nil || p.StatusCode != http.StatusServiceUnavailable || p.Header.Get("Retry-After") == "" {
		t.Errorf("response %+v, error %v, want status 503 with Retry-After", p, err)
	}
}

// TestKeysThroughAnotherVM checks that a VM without a path to the targets serves requests with keys through another
// one, that targets are told the team and not the key, and that a VM refuses a forwarded call whose key it does not
// know.
func TestKeysThroughAnotherVM(t *testing.T) {
	b, s := newTeamGateway(t, tenantsAB, zerolog.Nop(), nil)
	cut := b.addGateway(t, "vm-2")
	cut.link.useRelays()
	cut.link.set(refusesNew)
	b.waitUntil(t, "members known", func() bool {
		return strings.Contains(cut.operatorText(t, "/metrics"), "amaranthramp_gateway_members 2")
	})
	passed := func() bool {
		p, err := cut.exchangeRaw("/read/1", []string{authorization(keyOfB), teamHeader + ": a"}, "")
		return err == nil && p.StatusCode == http.StatusOK
	}
	b.waitUntil(t, "request passed through the other VM", passed)
	if got := s.take(); got.Get(teamHeader) != "b" {
		t.Errorf("target got %v, want team b", got)
	}
	c := clock.New()
	n := peer.NewClient(exchange.NewBodyBudget(0), c)
	for key, accepted := range map[string]bool{keyOfA: true, unknownKey: false, "": false} {
		s.take()
		a := n.Forward(context.Background(), b.settings.ForwardAddress, &call.Call{
			ID: "f", Service: "book", Class: "read", Idempotent: true, Attempt: 2, MaxAttempts: 1, Method: "GET",
			Path: "/read/1", Host: "h.example", Credential: key, Team: "forged", Deadline: c.Now().Add(2 * time.Second),
			Header: http.Header{"Authorization": {"Token " + keyOfA}, teamHeader: {"forged"}},
		})
		got := s.take()
		if accepted && (a.Status != http.StatusOK || got.Get(teamHeader) != "a") {
			t.Errorf("known key: status %d, target got %v, want 200 and team a", a.Status, got)
		}
		if !accepted && (a.Event != outcome.Event(outcome.NeverWritten{Reason: outcome.Unreachable}) || got != nil) {
			t.Errorf("key not known: %+v, target got %v, want a refusal and nothing", a.Event, got)
		}
	}
	for _, k := range []string{keyOfA, keyOfB, "Token", "forged"} {
		if strings.Contains(s.text(), k) {
			t.Errorf("a target got %q in a header", k)
		}
	}
}

// operatorText returns what the operator address serves at a path.
func (b *testGateway) operatorText(t *testing.T, path string) string {
	t.Helper()
	p, err := http.Get("http://" + string(b.settings.OperatorAddress) + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	a, err := io.ReadAll(p.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(a)
}

// TestKeysAreNotShown checks that no log line, metric, dump or answer contains a key or a header that holds one, in a
// run with all kinds of answers, a detour and a removed key.
func TestKeysAreNotShown(t *testing.T) {
	log := &lockedBuffer{}
	b, s := newTeamGateway(t, tenantsAB, zerolog.New(log).Level(zerolog.TraceLevel), nil)
	cut := b.addGateway(t, "vm-2")
	cut.link.useRelays()
	cut.link.set(resets)
	var shown strings.Builder
	send := func(g *testGateway, path string, lines ...string) {
		p, err := g.exchangeRaw(path, lines, "")
		if err != nil {
			t.Fatal(err)
		}
		_ = p.Write(&shown)
	}
	for range 3 {
		for _, k := range []string{keyOfA, keyOfB, unknownKey, unknownKey + "," + keyOfA} {
			for _, g := range []*testGateway{b, cut} {
				send(g, "/read/1", authorization(k))
				send(g, "/open/1", authorization(k), "Connection: Authorization")
				send(g, "/other/", authorization(k))
				send(g, "/read/1", authorization(k), authorization(k))
			}
		}
		for _, g := range b.targets {
			g.LoseAnswers.Store(!g.LoseAnswers.Load())
		}
	}
	b.configure(2, `{"name":"a","api-keys":["`+keyOfB+`"]}`)
	b.waitUntil(t, "key removed", func() bool {
		p, err := b.exchangeRaw("/read/1", []string{authorization(keyOfA)}, "")
		return err == nil && p.StatusCode == http.StatusUnauthorized
	})
	for _, g := range []*testGateway{b, cut} {
		shown.WriteString(g.operatorText(t, "/metrics") + g.operatorText(t, "/dump"))
	}
	for _, w := range []string{`team_requests_total{outcome="done",team="b"}`, `keys_rejected_total{cause="unknown"}`,
		`keys_rejected_total{cause="duplicated"}`, `"Teams":1`} {
		if !strings.Contains(shown.String(), w) {
			t.Errorf("metrics and dump do not contain %s", w)
		}
	}
	if n := strings.Count(log.String(), "request answered"); n < 50 {
		t.Errorf("%d requests logged, want at least 50", n)
	}
	for what, text := range map[string]string{"log": log.String(), "answers, metrics or dump": shown.String(),
		"requests to targets": s.text()} {
		for _, k := range []string{keyOfA, keyOfB, unknownKey, "Token "} {
			if strings.Contains(text, k) {
				t.Errorf("%s: found %q", what, k)
			}
		}
	}
}

// TestManyTeams checks that the number of label values in the metrics does not grow with the number of teams.
func TestManyTeams(t *testing.T) {
	const teams = 130
	var l []string
	for i := range teams {
		l = append(l, fmt.Sprintf(`{"name":"t%d","api-keys":["key-%d"]}`, i, i))
	}
	b, _ := newTeamGateway(t, strings.Join(l, ","), zerolog.Nop(), nil)
	for i := range teams {
		if p, err := b.exchangeRaw("/read/1", []string{authorization(fmt.Sprint("key-", i))}, ""); err != nil ||
			p.StatusCode != http.StatusOK {
			t.Fatalf("team %d: response %+v, error %v, want status 200", i, p, err)
		}
	}
	m := b.operatorText(t, "/metrics")
	if n := strings.Count(m, "amaranthramp_gateway_team_requests_total{"); n != 101 {
		t.Errorf("%d label values for %d teams, want 101", n, teams)
	}
	if w := `team_requests_total{outcome="done",team="other"} 30`; !strings.Contains(m, w) {
		t.Errorf("metrics do not contain %s", w)
	}
}
