package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// oddStatusLines returns status lines without a status.
func oddStatusLines() []string {
	l := []string{
		"HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 OK", "HTTP/1.1  200 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 2 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 200OK", "HTTP/1.1 200, OK",
		"HTTP/1.1 2e2 OK", "HTTP/1.1 0x2 OK", "HTTP/1.1 ２００ OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 ok 200",
		"HTTP/1 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK",
		"ICY 200 OK", "",
	}
	for n := range 1000 {
		if n < 100 || n >= 600 {
			l = append(l, fmt.Sprintf("HTTP/1.1 %03d Odd", n), fmt.Sprintf("HTTP/1.0 %03d", n))
		}
	}
	return l
}

// framings are the ways in which a response with a body of two bytes may be delimited. %s stands for the field of the
// ID.
var framings = []string{
	"%s\r\nContent-Length: 2\r\n\r\nok",
	"%s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"%s\r\nConnection: close\r\n\r\nok",
	"%s\r\nContent-Length: 0\r\n\r\n",
	"%s\r\n\r\n",
	"Content-Length: 2\r\n\r\nok",
	"\r\n",
}

// TestStatusThatIsNone checks that a response without a status is no answer of a target or a member, in any framing,
// and that no usual response behind it becomes one: a response with a status below 100 was passed over as an
// informational one, and any other number of three digits was passed on to callers.
func TestStatusThatIsNone(t *testing.T) {
	for _, line := range oddStatusLines() {
		for _, framing := range framings {
			for _, method := range []string{"GET", "HEAD"} {
				for side, read := range map[string]func(method, head string) Result{
					"target": readFromTarget, "member": readFromMember,
				} {
					x := read(method, line+"\r\n"+framing)
					if _, ok := x.Event.(outcome.Broken); !ok || x.Status != 0 {
						t.Fatalf("%s, %s, %q, %q: event %#v, status %d, body %q, want broken", side, method, line, framing, x.Event,
							x.Status, x.Body)
					}
				}
			}
		}
		if r, err := probeOdd(line + "\r\nContent-Length: 0\r\nX-Incarnation: i-1\r\n\r\n"); err == nil {
			t.Errorf("probe, %q: report %+v, want an error", line, r)
		}
	}
}

// TestInformationalWithBody checks that no part of what an informational response calls its body becomes an answer.
func TestInformationalWithBody(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 103 Hints\r\nContent-Length: 500\r\n\r\n", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 199 Odd\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	} {
		for _, x := range []Result{readFromTarget("GET", head), readFromMember("GET", head)} {
			if _, ok := x.Event.(outcome.Broken); !ok {
				t.Errorf("%q: event %#v, body %q, want broken", head, x.Event, x.Body)
			}
		}
	}
	for _, head := range []string{"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 199 Odd\r\n\r\n"} {
		if x := readFromTarget("GET", head); x.Event != (outcome.Completed{}) || string(x.Body) != "follows" {
			t.Errorf("%q: event %#v, body %q, want the response behind it", head, x.Event, x.Body)
		}
	}
}

// followed returns a response with the given field of the ID, and a usual one to the same request behind it.
func followed(text, field string) string {
	return strings.ReplaceAll(text, "%s", field) + "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 7\r\n\r\nfollows"
}

// readFromTarget sends a request to a target that answers with a text and a usual response behind it.
func readFromTarget(method, text string) Result {
	c := clock.New()
	answer := func(*http.Request) string { return followed(text, "X-Request: r-1") }
	p := NewPool("t", 1, dialScripted(answer), c)
	defer p.Close()
	d := NewTargetClient("i-1", "t", p, c, names, NewBodyBudget(0), func(Notice, error) {})
	k := callWithID("r-1")
	k.Method, k.Body = method, nil
	return d.Do(context.Background(), nil, k, allow)
}

// readFromMember does the same with another member.
func readFromMember(method, text string) Result {
	c := clock.New()
	answer := func(r *http.Request) string {
		return followed(text, call.HeaderExchangeID+": "+r.Header.Get(call.HeaderExchangeID))
	}
	p := pool.New("m", 1, time.Minute, dialScripted(answer), c)
	defer p.Close()
	k := longCall()
	k.Method = method
	return NewForPeer(p, NewBodyBudget(0), c).Do(context.Background(), k, http.Header{}, noReason)
}

// probeOdd probes a target that answers with a text and a usual response behind it.
func probeOdd(text string) (Report, error) {
	c := clock.New()
	answer := func(*http.Request) string { return text + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }
	p := NewPool("t", 1, dialScripted(answer), c)
	defer p.Close()
	d := NewTargetClient("i-1", "t", p, c, names, NewBodyBudget(0), func(Notice, error) {})
	r, n, err := d.Probe(context.Background(), "/health")
	d.Release(n)
	return r, err
}
