package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestOptionsOfServer checks that OPTIONS * is refused like each request that follows no route: the HTTP server
// answered it with 200, which no target had sent.
func TestOptionsOfServer(t *testing.T) {
	b := newTestGateway(t, 1, time.Millisecond)
	for _, target := range []string{"*", "/"} {
		n, err := net.Dial("tcp", string(b.settings.CallerAddress))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = n.Close() }()
		if _, err := io.WriteString(n, "OPTIONS "+target+" HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		p, err := http.ReadResponse(bufio.NewReader(n), nil)
		if err != nil || p.StatusCode != http.StatusNotFound {
			t.Errorf("OPTIONS %s: response %v, error %v, want status 404", target, p, err)
		}
	}
}
