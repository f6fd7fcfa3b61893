package exchange

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// goldenAnswer is a whole answer of an upstream. %s stands for the field with the ID.
type goldenAnswer struct {
	name, method, text string
	status             int
	body               string
	// endless means that only the end of the connection ends the body, so that a cut in it can't be told from the end.
	endless bool
}

const (
	okWithID = "HTTP/1.1 200 OK\r\n%s"
	chunked  = "Transfer-Encoding: chunked\r\n\r\n"
	hello    = "hello, world"
)

var goldenAnswers = []goldenAnswer{
	{"length", "GET", okWithID + "X-Seal: s\r\nContent-Length: 12\r\n\r\nhello, world", 200, hello, false},
	{"length first", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n%s\r\nhello, world", 200, hello, false},
	{"length twice", "GET", okWithID + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", 200, "ok", false},
	{"empty body", "GET", okWithID + "Content-Length: 0\r\n\r\n", 200, "", false},
	{"bare line feeds", "GET", "HTTP/1.1 200 OK\n%sContent-Length: 12\n\nhello, world", 200, hello, false},
	{"folded lines", "GET", okWithID + "X-Fold: a\r\n b\r\n\tc\r\nContent-Length:\r\n 12\r\n\r\nhello, world", 200,
		hello, false},
	{"folded empty line", "GET", okWithID + "X-Fold: a\r\n \r\nContent-Length: 2\r\n\r\nok", 200, "ok", false},
	{"close announced", "GET", okWithID + "Connection: close\r\nContent-Length: 12\r\n\r\nhello, world", 200,
		hello, false},
	{"informational first", "GET",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
			okWithID + "Content-Length: 2\r\n\r\nok",
		200, "ok", false},
	{"chunks", "GET", okWithID + chunked + "5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\n\r\n", 200,
		hello, false},
	{"long chunk", "GET", okWithID + chunked + "1f\r\n" + strings.Repeat("x", 31) +
		"\r\n0\r\n\r\n", 200, strings.Repeat("x", 31), false},
	{"trailers", "GET", okWithID + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n" +
		"X-More: 2\r\n\r\n", 200, "ok", false},
	{"length and chunks", "GET", okWithID + "Content-Length: 5\r\n" + chunked + "2\r\nok\r\n0\r\n\r\n",
		200, "ok", false},
	{"body like an answer", "GET",
		okWithID + "Content-Length: 39\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 200,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false},
	{"no content", "GET", "HTTP/1.1 204 No Content\r\n%s\r\n", 204, "", false},
	{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\n%sContent-Length: 12\r\n\r\n", 304, "", false},
	{"HEAD", "HEAD", okWithID + "Content-Length: 12\r\n\r\n", 200, "", false},
	{"HEAD without length", "HEAD", okWithID + "\r\n", 200, "", false},
	{"failure", "GET", "HTTP/1.1 500 Oh\r\n%sContent-Length: 2\r\n\r\nno", 500, "no", false},
	{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n%sContent-Length: 12\r\n\r\nhello, world", 200, hello, false},
	{"HTTP/1.0 kept", "GET", "HTTP/1.0 200 OK\r\n%sConnection: keep-alive\r\nContent-Length: 12\r\n\r\nhello, world", 200,
		hello, false},
	{"no length", "GET", okWithID + "\r\nhello, world", 200, hello, true},
	{"no length, close announced", "GET", okWithID + "Connection: close\r\n\r\nhello, world", 200, hello,
		true},
	{"HTTP/1.0 without length", "GET", "HTTP/1.0 200 OK\r\n%s\r\nhello, world", 200, hello, true},
}

// withID returns the answer with the field of the ID, and the number of bytes of its head.
func (g *goldenAnswer) withID(field string) (text string, head int) {
	end := "\r\n"
	if !strings.Contains(g.text, "\r") {
		end = "\n"
	}
	text = strings.Replace(g.text, "%s", field+end, 1)
	i := strings.Index(text, field)
	return text, i + strings.Index(text[i:], end+end) + 2*len(end)
}

// scripted returns the bytes that answer a request.
type scripted func(r *http.Request) string

// dialScripted returns a dial to connections in memory that are closed after the given answers.
func dialScripted(answers ...scripted) pool.Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		go serveScripted(b, answers)
		return a, nil
	}
}

func serveScripted(n net.Conn, answers []scripted) {
	b := bufio.NewReader(n)
	for i := range answers {
		r, err := http.ReadRequest(b)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(n, answers[i](r)); err != nil {
			break
		}
	}
	_ = n.Close()
}

// readsCut runs the exchange of an answer that is cut after a number of bytes.
type readsCut func(g *goldenAnswer, cut int, kept bool) (r Result, whole string, head int)

// lastAnswers returns the answers on a connection of which the given one is the last.
func lastAnswers(kept bool, earlier, last scripted) []scripted {
	if kept {
		return []scripted{earlier, last}
	}
	return []scripted{last}
}

func cutAtTarget(g *goldenAnswer, cut int, kept bool) (Result, string, int) {
	whole, head := g.withID("X-Request: r-1")
	earlier := func(*http.Request) string { return strings.ReplaceAll(completeResponse, "r-1", "r-0") }
	last := func(*http.Request) string { return whole[:cut] }
	c := clock.New()
	p := NewPool("t", 1, dialScripted(lastAnswers(kept, earlier, last)...), c)
	d := NewTargetClient("i-1", "t", p, c, names, NewBodyBudget(0), func(Notice, error) {})
	if kept {
		d.Do(context.Background(), nil, callWithID("r-0"), allow)
	}
	k := callWithID("r-1")
	k.Method, k.Body = g.method, nil
	return d.Do(context.Background(), nil, k, allow), whole, head
}

func cutAtMember(g *goldenAnswer, cut int, kept bool) (Result, string, int) {
	anyID := strings.Repeat("0", 24)
	whole, head := g.withID(call.HeaderExchangeID + ": " + anyID)
	earlier := func(r *http.Request) string {
		return fmt.Sprintf(okWithExchangeID+"Content-Length: 2\r\n\r\nok", r.Header.Get(call.HeaderExchangeID))
	}
	last := func(r *http.Request) string {
		return strings.ReplaceAll(whole, anyID, r.Header.Get(call.HeaderExchangeID))[:cut]
	}
	c := clock.New()
	x := NewForPeer(pool.New("m", 1, time.Minute, dialScripted(lastAnswers(kept, earlier, last)...), c),
		NewBodyBudget(0), c)
	if kept {
		x.Do(context.Background(), longCall(), http.Header{}, noReason)
	}
	k := longCall()
	k.Method = g.method
	return x.Do(context.Background(), k, http.Header{}, noReason), whole, head
}

// TestCutAnswers guards against an answer that was cut off and counted as whole: each golden answer is cut after every
// byte, on a new and on a kept connection, from a target and from a member.
func TestCutAnswers(t *testing.T) {
	for side, read := range map[string]readsCut{"target": cutAtTarget, "member": cutAtMember} {
		for i := range goldenAnswers {
			g := &goldenAnswers[i]
			t.Run(side+"/"+g.name, func(t *testing.T) {
				t.Parallel()
				for _, kept := range []bool{false, true} {
					_, whole, _ := read(g, 0, kept)
					for cut := range len(whole) + 1 {
						checkCut(t, g, side, kept, cut, read)
					}
				}
			})
		}
	}
}

// checkCut checks that an answer with a cut breaks, or is exactly the whole one.
func checkCut(t *testing.T, g *goldenAnswer, side string, kept bool, cut int, read readsCut) {
	t.Helper()
	r, whole, head := read(g, cut, kept)
	wantWhole := cut == len(whole)
	wantBody := g.body
	if g.endless {
		// A member's answer must have a length; a target's may end with its connection.
		wantWhole = side == "target" && cut >= head
		wantBody = whole[head:max(cut, head)]
	}
	_, completed := r.Event.(outcome.Completed)
	_, isBroken := r.Event.(outcome.Broken)
	switch {
	case completed != wantWhole || !completed && !isBroken:
		t.Errorf("kept %t, cut after %q: event %#v, want completed %t, else broken", kept, whole[:cut], r.Event, wantWhole)
	case completed && (r.Status != g.status || !bytes.Equal(r.Body, []byte(wantBody))):
		t.Errorf("kept %t, cut after %q: status %d, body %q, want %d, %q", kept, whole[:cut], r.Status, r.Body, g.status,
			wantBody)
	}
}

// TestResetAnswers guards against an answer that was reset on the way and counted as whole: each golden answer without
// a length is reset after every byte.
func TestResetAnswers(t *testing.T) {
	for i := range goldenAnswers {
		g := &goldenAnswers[i]
		if !g.endless {
			continue
		}
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			whole, _ := g.withID("X-Request: r-1")
			for cut := range len(whole) + 1 {
				u := listen(t, func(c net.Conn, _ *http.Request) bool {
					_, _ = io.WriteString(c, whole[:cut])
					return false
				})
				d, _ := clientOf(u)
				k := callWithID("r-1")
				k.Body = nil
				if r := d.Do(context.Background(), nil, k, allow); r.Event != (outcome.Broken{Reason: outcome.Reset}) &&
					r.Event != (outcome.Broken{Reason: outcome.Truncated}) {
					t.Errorf("reset after %q: event %#v, want broken", whole[:cut], r.Event)
				}
			}
		})
	}
}

// TestCodingInOldVersion guards against a 200 with chunk sizes in its body, or with a part of it: HTTP/1.0 has no
// transfer encodings, so that nothing tells where such an answer ends.
func TestCodingInOldVersion(t *testing.T) {
	for _, fields := range []string{"", "Content-Length: 2\r\n", "Connection: keep-alive\r\n"} {
		text := "HTTP/1.0 200 OK\r\n" + fields + "X-Request: r-1\r\ntransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		c := clock.New()
		p := NewPool("t", 1, dialScripted(func(*http.Request) string { return text }), c)
		d := NewTargetClient("i-1", "t", p, c, names, NewBodyBudget(0), func(Notice, error) {})
		x := d.Do(context.Background(), nil, callWithID("r-1"), allow)
		if x.Event != (outcome.Broken{Reason: outcome.Reset}) {
			t.Errorf("fields %q: event %#v, body %q, want broken", fields, x.Event, x.Body)
		}
	}
}

// TestLongHeadInOldVersion guards against an endless wait, or an answer that counts unchecked, behind a head of
// HTTP/1.0 that exceeds the buffer.
func TestLongHeadInOldVersion(t *testing.T) {
	for size, want := range map[int]outcome.Event{3000: outcome.Completed{}, 5000: outcome.Broken{Reason: outcome.Reset}} {
		text := "HTTP/1.0 200 OK\r\nX-Request: r-1\r\nX-Pad: " + strings.Repeat("x", size) +
			"\r\nContent-Length: 2\r\n\r\nok"
		c := clock.New()
		p := NewPool("t", 1, dialScripted(func(*http.Request) string { return text }), c)
		d := NewTargetClient("i-1", "t", p, c, names, NewBodyBudget(0), func(Notice, error) {})
		if x := d.Do(context.Background(), nil, callWithID("r-1"), allow); x.Event != want {
			t.Errorf("head of %d bytes: event %#v, want %#v", size, x.Event, want)
		}
	}
}

// TestMalformedFraming guards against an answer whose framing can't be trusted and that counted as whole when its
// connection was closed.
func TestMalformedFraming(t *testing.T) {
	rows := []struct{ name, head string }{
		{"two lengths", "Content-Length: 2\r\nContent-Length: 9\r\n"},
		{"list of lengths", "Content-Length: 2, 2\r\n"},
		{"plus sign", "Content-Length: +2\r\n"},
		{"minus sign", "Content-Length: -2\r\n"},
		{"no digits", "Content-Length:\r\n"},
		{"hexadecimal", "Content-Length: 0x2\r\n"},
		{"digits in two lines", "Content-Length: 1\r\n 2\r\n"},
		{"too long a number", "Content-Length: 99999999999999999999\r\n"},
		{"length in a name with a space", "Content-Length : 9\r\n"},
		{"chunks in a name with a space", "Transfer-Encoding : chunked\r\n"},
		{"unknown coding", "Transfer-Encoding: gzip, chunked\r\n"},
		{"two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
		{"no coding", "Transfer-Encoding:\r\n"},
		{"no colon", "Content-Length\r\n"},
		{"line of spaces first", " \r\nContent-Length: 2\r\n"},
		{"control byte in a name", "Content-Length\x00: 2\r\n"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n" + r.head + "X-Request: r-1\r\n\r\nok"
			c := clock.New()
			p := NewPool("t", 1, dialScripted(func(*http.Request) string { return text }), c)
			d := NewTargetClient("i-1", "t", p, c, names, NewBodyBudget(0), func(Notice, error) {})
			x := d.Do(context.Background(), nil, callWithID("r-1"), allow)
			if _, ok := x.Event.(outcome.Broken); !ok {
				t.Errorf("event %#v, body %q, want broken", x.Event, x.Body)
			}
		})
	}
}
