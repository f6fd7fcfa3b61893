package load

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// connectionsPerHost is the maximum number of idle connections that callers keep to one address.
const connectionsPerHost = 500

// Client sends requests over HTTP, without retries.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerHost, DisableCompression: true},
	}}
}

// Do sends the request of an arrival to a base URL. A deadline above zero is sent in the deadline header. The error is
// nil if the headers of an answer were received, even if its body was truncated.
func (c *Client) Do(ctx context.Context, base string, a *Arrival, deadline time.Duration) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.Class.Deadline)+extraWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, a.Class.Methods[0], base+a.Path, nonRewindableBody{})
	if err != nil {
		return Answer{Outcome: Cut}, err
	}
	r.Host = a.Service.Host
	r.Header.Set(call.HeaderRequestID, string(a.ID))
	if a.Key != "" {
		r.Header.Set(call.HeaderKey, string(a.Key))
	}
	if deadline > 0 {
		r.Header.Set(call.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	p, err := c.http.Do(r)
	if err != nil {
		return Answer{Outcome: Cut, Reason: connectionFailure(err)}, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return Answer{Outcome: Cut, Reason: outcome.Truncated}, nil
	}
	h := p.Header
	return Answer{
		Outcome: outcome.Outcome(h.Get(call.HeaderOutcome)), Reason: outcome.Reason(h.Get(call.HeaderReason)),
		Load: h.Get(call.HeaderLoad), Body: string(b), Status: p.StatusCode,
	}, nil
}

// nonRewindableBody is an empty body that net/http cannot send twice, so that it never retries a request on its own.
type nonRewindableBody struct{}

func (nonRewindableBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// connectionFailure returns the reason of a failed exchange: Silent for a timeout, Reset for all other errors.
func connectionFailure(err error) outcome.Reason {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return outcome.Silent
	}
	return outcome.Reset
}
