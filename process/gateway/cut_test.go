package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/standin/objects"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// cuttingTarget answers requests whose ID begins with cut- with a part of an answer and closes the connection.
type cuttingTarget struct {
	mu sync.Mutex
	// cut is the number of bytes of the part, and chunks whether the answers come in chunks.
	cut    int
	chunks bool
	// closes is whether all other answers end their connections, so that requests come on new ones.
	closes bool
	got    map[string]bool
}

func (c *cuttingTarget) set(cut int, chunks, closes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut, c.chunks, c.closes, c.got = cut, chunks, closes, map[string]bool{}
}

func (c *cuttingTarget) received(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got[id]
}

// wholeAnswer returns the answer to a request with the given ID, whose body is the ID, or to a probe.
func wholeAnswer(id string, chunks, closes bool) string {
	h := "HTTP/1.1 200 OK\r\n"
	if id != "" {
		h += platform.Headers.RequestID + ": " + id + "\r\nAmaranthramp-Server-Seal: s\r\n"
	}
	if closes {
		h += "Connection: close\r\n"
	}
	if chunks && id != "" {
		return h + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
	}
	return h + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id)
}

func (c *cuttingTarget) serve(n net.Conn) {
	defer func() { _ = n.Close() }()
	b := bufio.NewReader(n)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(platform.Headers.RequestID)
		c.mu.Lock()
		c.got[id] = true
		text, ends := wholeAnswer(id, c.chunks, c.closes), c.closes
		if strings.HasPrefix(id, "cut-") {
			text = wholeAnswer(id, c.chunks, false)
			text, ends = text[:c.cut], c.cut < len(text)
		}
		c.mu.Unlock()
		if _, err := io.WriteString(n, text); err != nil || ends {
			return
		}
	}
}

// startCuttingTarget registers a cutting target with a new gateway.
func startCuttingTarget(t *testing.T) (*cuttingTarget, *testGateway) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := &cuttingTarget{got: map[string]bool{}}
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(n)
		}
	}()
	b := &testGateway{log: zerolog.Nop(), store: objects.New()}
	b.store.Put("config", "main", fmt.Sprintf(configuration, 1))
	e, err := platform.EncodeTarget(roster.Target{
		ID: "cutting", Service: "book", Address: ident.Address(l.Addr().String()), DataCentre: "a", Slots: 4, StartedAtMs: 1,
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	b.store.Put(platform.TargetKind, "cutting", e)
	return c, b.startWithTargets(t, 0, 0)
}

// TestCutAnswerBetweenPipelined guards against a 200 with a part of a body, framed as whole, and against answers in the
// wrong place behind it: a target cuts one answer after every byte, and the caller has sent two requests around it.
func TestCutAnswerBetweenPipelined(t *testing.T) {
	c, b := startCuttingTarget(t)
	for _, chunks := range []bool{false, true} {
		for _, closes := range []bool{false, true} {
			reached := 0
			whole := wholeAnswer("cut-000", chunks, false)
			for cut := range len(whole) + 1 {
				c.set(cut, chunks, closes)
				ids := []string{fmt.Sprintf("one-%03d", cut), fmt.Sprintf("cut-%03d", cut), fmt.Sprintf("two-%03d", cut)}
				answers, err := b.pipeline(ids)
				if err != nil {
					t.Fatalf("chunks %t, new connection %t, cut after %q: %v, want three answers", chunks, closes, whole[:cut], err)
				}
				for i, a := range answers {
					want := pipelinedAnswer{status: 200, body: ids[i], seal: "s"}
					if i == 1 && cut < len(whole) {
						want = pipelinedAnswer{status: 502}
					}
					if !c.received(ids[i]) {
						want = pipelinedAnswer{status: 503}
					} else if i == 1 {
						reached++
					}
					if a != want {
						t.Errorf("chunks %t, new connection %t, cut after %q: answer %d is %+v, want %+v", chunks, closes, whole[:cut],
							i, a, want)
					}
				}
			}
			t.Logf("chunks %t, new connection %t: %d of %d cut answers asked for", chunks, closes, reached, len(whole)+1)
			if reached < len(whole)/2 {
				t.Errorf("%d of %d cut answers were asked for, want at least half", reached, len(whole))
			}
		}
	}
}

// pipelinedAnswer is what a caller gets for one of its requests.
type pipelinedAnswer struct {
	status     int
	body, seal string
}

// pipeline sends requests that must not run twice behind one another on one connection and returns their answers.
func (b *testGateway) pipeline(ids []string) ([]pipelinedAnswer, error) {
	n, err := net.Dial("tcp", string(b.settings.CallerAddress))
	if err != nil {
		return nil, err
	}
	defer func() { _ = n.Close() }()
	_ = n.SetDeadline(time.Now().Add(5 * time.Second))
	text := ""
	for _, id := range ids {
		text += fmt.Sprintf("GET /claim/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n\r\n", platform.Headers.RequestID, id)
	}
	if _, err := io.WriteString(n, text); err != nil {
		return nil, err
	}
	r := bufio.NewReader(n)
	var answers []pipelinedAnswer
	for range ids {
		p, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil, err
		}
		a, err := io.ReadAll(p.Body)
		if err != nil {
			return nil, err
		}
		answers = append(answers, pipelinedAnswer{p.StatusCode, string(a), p.Header.Get("Amaranthramp-Server-Seal")})
	}
	return answers, nil
}
