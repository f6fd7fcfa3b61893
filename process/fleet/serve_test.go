package fleet

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// TestAnswersAreBounded checks that a fetch gets an error if too many answers are in memory, and an answer once there
// is a free place: any number of fetches of any size were answered at a time.
func TestAnswersAreBounded(t *testing.T) {
	f, _ := newMember(false)
	for range maxAnswers {
		f.answers <- struct{}{}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go f.serveFetches(t.Context(), l)
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(n), &updateHandler{fleet: f})
	t.Cleanup(func() { _ = c.Close() })
	fetch := func() error {
		var a any
		return c.Call(t.Context(), methodNews, map[string]any{"AsOf": []string{"1", "1", "1", "1"}}, &a)
	}
	began := time.Now()
	if err := fetch(); err == nil || !strings.Contains(err.Error(), errManyFetches.Error()) ||
		time.Since(began) < fetchTimeout {
		t.Errorf("error %v after %s while there is no free place, want one after %s", err, time.Since(began), fetchTimeout)
	}
	<-f.answers
	for range 2 {
		if err := fetch(); err != nil {
			t.Errorf("fetch with a free place: %v", err)
		}
	}
}
