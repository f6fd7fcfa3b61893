package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/seal"
	"github.com/amaranthramp/amaranthramp/process/control"
	"github.com/amaranthramp/amaranthramp/version/patch"
)

// requestTimeout limits a request. It is longer than a control process takes to decide on a patch.
const requestTimeout = 20 * time.Second

// maxResponseBytes is the maximum size of a response.
const maxResponseBytes = 64 << 20

// ErrNoResponse means that the control process sent no complete response, so that the request may have taken effect.
var ErrNoResponse = errors.New("no response from the control process")

// ErrNotSent means that no connection to the control process could be made, so that the request was not sent.
var ErrNotSent = errors.New("control process can't be reached")

// Client sends requests to one control process.
type Client struct {
	base string
	key  seal.Key
	http *http.Client
}

// New returns a client for the control process at an operator address or base URL, in a fleet without a key.
func New(address string) *Client {
	return NewWithKey(address, "")
}

// NewWithKey returns a client that authenticates its requests with the key of the fleet.
func NewWithKey(address string, k seal.Key) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), key: k, http: &http.Client{Timeout: requestTimeout}}
}

// Submit submits a patch and returns the answer, also if the patch is refused. After ErrNoResponse the patch may have
// been accepted; submitting it again with the same id returns the outcome.
func (c *Client) Submit(ctx context.Context, q patch.Submission) (patch.Answer, error) {
	var a patch.Answer
	b, err := json.Marshal(q)
	if err != nil {
		return a, fmt.Errorf("submit: %w", err)
	}
	_, err = c.call(ctx, http.MethodPost, "/patch", b, &a)
	if err == nil && a.Outcome == "" {
		err = fmt.Errorf("submit: %w", ErrNoResponse)
	}
	return a, err
}

// Status returns the state of all VMs.
func (c *Client) Status(ctx context.Context) (control.Status, error) {
	var s control.Status
	return s, c.get(ctx, "/status", &s)
}

// History returns the accepted patches.
func (c *Client) History(ctx context.Context) (control.History, error) {
	var h control.History
	return h, c.get(ctx, "/history", &h)
}

// Dump returns the internal state of the process as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var b json.RawMessage
	return b, c.get(ctx, "/dump", &b)
}

// get decodes the response to a GET request into v. It fails with the reason in the response if the status is not 200.
func (c *Client) get(ctx context.Context, path string, v any) error {
	var b json.RawMessage
	status, err := c.call(ctx, http.MethodGet, path, nil, &b)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		return json.Unmarshal(b, v)
	}
	var f control.Failure
	_ = json.Unmarshal(b, &f)
	return fmt.Errorf("%s responded with status %d: %s", c.base, status, f.Reason)
}

// call sends a request, decodes the JSON response into v and returns the status.
func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) (int, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("request to %s: %w", c.base, err)
	}
	c.key.Sign(q, body, time.Now())
	p, err := c.http.Do(q)
	if err != nil {
		o := &net.OpError{}
		if errors.As(err, &o) && o.Op == "dial" {
			return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return 0, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return 0, fmt.Errorf("%s responded with status %s and an invalid body: %w", c.base, p.Status, err)
	}
	return p.StatusCode, nil
}
