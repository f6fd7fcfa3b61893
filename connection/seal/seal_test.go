package seal_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/seal"
)

var now = time.UnixMilli(1_800_000_000_000)

func TestRequireAuthenticator(t *testing.T) {
	const key seal.Key = "shared key"
	table := []struct {
		name   string
		key    seal.Key
		change func(*http.Request)
		want   int
	}{
		{"valid authenticator", key, func(*http.Request) {}, http.StatusOK},
		{"different key", "different key", func(*http.Request) {}, http.StatusForbidden},
		{"no key", "", func(*http.Request) {}, http.StatusForbidden},
		{"different path", key, func(q *http.Request) { q.URL.Path = "/spread" }, http.StatusForbidden},
		{"different method", key, func(q *http.Request) { q.Method = http.MethodPut }, http.StatusForbidden},
		{"different time", key, func(q *http.Request) {
			h := q.Header.Get(seal.Header)
			q.Header.Set(seal.Header, "1800000000001"+h[strings.IndexByte(h, ':'):])
		}, http.StatusForbidden},
		{"no authenticator", key, func(q *http.Request) { q.Header.Del(seal.Header) }, http.StatusForbidden},
	}
	for _, c := range table {
		for _, body := range []string{"body", "changed"} {
			q := httptest.NewRequest(http.MethodPost, "/patch", strings.NewReader(body))
			c.key.Sign(q, []byte("body"), now)
			c.change(q)
			w := httptest.NewRecorder()
			ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
			key.RequireAuthenticator(ok, func() time.Time { return now }).ServeHTTP(w, q)
			want := c.want
			if body != "body" {
				want = http.StatusForbidden
			}
			if w.Code != want {
				t.Errorf("%s, body %q: status %d, want %d", c.name, body, w.Code, want)
			}
		}
	}
	q := httptest.NewRequest(http.MethodPost, "/patch", http.NoBody)
	key.Sign(q, nil, now)
	for age, ok := range map[time.Duration]bool{
		seal.MaxAge: true, -seal.MaxAge: true, seal.MaxAge + time.Second: false, -seal.MaxAge - time.Second: false,
	} {
		if err := key.Verify(q, nil, now.Add(age)); (err == nil) != ok {
			t.Errorf("request of age %s: error %v, want valid %t", age, err, ok)
		}
	}
}
