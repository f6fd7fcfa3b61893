package target

import (
	"net/http"
	"strings"
	"time"
)

// Endless is a kind of bytes without end that a target sends in place of an answer, until its caller closes the
// connection.
type Endless string

// The kinds of bytes without end.
const (
	// EndlessGarbage is bytes that are no response at all.
	EndlessGarbage Endless = "garbage"
	// EndlessStatusLine is a status line that does not end.
	EndlessStatusLine Endless = "status line"
	// EndlessHeader is a response whose header does not end.
	EndlessHeader Endless = "header"
	// EndlessInformational is informational (1xx) responses without a final one.
	EndlessInformational Endless = "informational responses"
	// EndlessChunks is a response whose chunked body does not end.
	EndlessChunks Endless = "chunks"
	// EndlessBody is a response whose body has no length and does not end.
	EndlessBody Endless = "body"
	// EndlessSlowBody is the same at a rate at which it stays below the size limit for a second.
	EndlessSlowBody Endless = "slow body"
)

// endlessBlock is the length of the padding that is repeated.
const endlessBlock = 16 << 10

// slowBlockPause is the pause after each block of a slow body.
const slowBlockPause = 5 * time.Millisecond

// parts returns what is sent once, and what is repeated after it.
func (e Endless) parts(idField string) (first, repeated string) {
	pad := strings.Repeat("x", endlessBlock)
	switch e {
	case EndlessStatusLine:
		return "HTTP/1.1 200 ", pad
	case EndlessHeader:
		return "HTTP/1.1 200 OK\r\n" + idField, "X-Pad: " + pad[:100] + "\r\n"
	case EndlessInformational:
		return "", "HTTP/1.1 103 Early Hints\r\nX-Pad: " + pad[:100] + "\r\n\r\n"
	case EndlessChunks:
		return "HTTP/1.1 200 OK\r\n" + idField + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + pad + "\r\n"
	case EndlessBody, EndlessSlowBody:
		return "HTTP/1.1 200 OK\r\n" + idField + "\r\n", pad
	default:
		return "", pad
	}
}

// SendEndless makes the target answer all requests with bytes without end; an empty kind ends that for new requests.
func (t *Target) SendEndless(e Endless) {
	t.endless.Store(e)
}

// EndlessAnswers returns how many answers without end the target is sending at present, and how many it has begun.
func (t *Target) EndlessAnswers() (present, begun int64) {
	return t.endlessPresent.Load(), t.endlessBegun.Load()
}

// writeEndless writes bytes without end until the connection breaks.
func (t *Target) writeEndless(w http.ResponseWriter, id string, e Endless) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	t.endlessBegun.Add(1)
	t.endlessPresent.Add(1)
	defer t.endlessPresent.Add(-1)
	first, repeated := e.parts(t.headers.RequestID + ": " + id + "\r\n")
	if _, err := c.Write([]byte(first)); err != nil {
		return
	}
	b := []byte(repeated)
	for {
		if _, err := c.Write(b); err != nil {
			return
		}
		if e == EndlessSlowBody {
			time.Sleep(slowBlockPause)
		}
	}
}
