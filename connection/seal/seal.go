package seal

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the header that carries the authenticator as TIME:HEX, where TIME is in Unix milliseconds.
const Header = "Amaranthramp-Authenticator"

// MaxAge is the largest difference between the time of a request and the receiver's wall clock.
const MaxAge = time.Minute

// ErrRefused means that a request has no authenticator made with the key, or that its time is too far off.
var ErrRefused = errors.New("authenticator is missing or wrong")

// Key is the secret shared by all VMs and operators of a fleet. With an empty key, requests are neither signed nor
// verified.
type Key string

// Sign adds the authenticator to a request with the given body.
func (k Key) Sign(q *http.Request, body []byte, now time.Time) {
	if k == "" {
		return
	}
	t := strconv.FormatInt(now.UnixMilli(), 10)
	q.Header.Set(Header, t+":"+k.authenticator(q, body, t))
}

// Verify returns ErrRefused unless the request carries a valid authenticator made with the key.
func (k Key) Verify(q *http.Request, body []byte, now time.Time) error {
	if k == "" {
		return nil
	}
	t, sum, _ := strings.Cut(q.Header.Get(Header), ":")
	ms, err := strconv.ParseInt(t, 10, 64)
	if err != nil || now.Sub(time.UnixMilli(ms)).Abs() > MaxAge {
		return ErrRefused
	}
	if !hmac.Equal([]byte(sum), []byte(k.authenticator(q, body, t))) {
		return ErrRefused
	}
	return nil
}

// RequireAuthenticator returns a handler that passes only authenticated requests to h; the size of the body must be
// limited before.
func (k Key) RequireAuthenticator(h http.Handler, now func() time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, err := io.ReadAll(q.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := k.Verify(q, b, now()); err != nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusForbidden)
			_, _ = fmt.Fprintf(w, "{\"Outcome\": \"Refused\", \"Cause\": \"Authenticator\", \"Reason\": %q}\n", err.Error())
			return
		}
		q.Body = io.NopCloser(bytes.NewReader(b))
		h.ServeHTTP(w, q)
	})
}

func (k Key) authenticator(q *http.Request, body []byte, t string) string {
	h := hmac.New(sha256.New, []byte(k))
	_, _ = fmt.Fprintf(h, "%s\n%s\n%s\n", q.Method, q.URL.Path, t)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
