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

// timeout bounds a call; it is above the time that a control process takes to decide on a patch.
const timeout = 20 * time.Second

// maxAnswer bounds the size in bytes of an answer.
const maxAnswer = 64 << 20

// ErrUnreachable means that the control process gave no answer.
var ErrUnreachable = errors.New("no answer from the control process")

// ErrNotSent means that the control process can't be reached, so that nothing was asked of it.
var ErrNotSent = errors.New("control process can't be reached")

// Client asks one control process.
type Client struct {
	base string
	key  seal.Key
	http *http.Client
}

// New returns a client of the control process at an operator address or base URL, for a fleet without a key.
func New(address string) *Client {
	return NewWithKey(address, "")
}

// NewWithKey returns a client that authenticates what it submits with the fleet's key.
func NewWithKey(address string, k seal.Key) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), key: k, http: &http.Client{Timeout: timeout}}
}

// Submit sends a patch; an answer is returned for refusals too. After ErrUnreachable the patch may be in force;
// sending it again with the same id tells.
func (c *Client) Submit(ctx context.Context, q patch.Submission) (patch.Answer, error) {
	var a patch.Answer
	b, err := json.Marshal(q)
	if err != nil {
		return a, fmt.Errorf("submit: %w", err)
	}
	_, err = c.call(ctx, http.MethodPost, "/patch", b, &a)
	if err == nil && a.Outcome == "" {
		err = fmt.Errorf("submit: %w", ErrUnreachable)
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

// Dump returns the state of the process as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var b json.RawMessage
	return b, c.get(ctx, "/dump", &b)
}

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
	return fmt.Errorf("%s answered %d: %s", c.base, status, f.Reason)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) (int, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("ask %s: %w", c.base, err)
	}
	c.key.Sign(q, body, time.Now())
	p, err := c.http.Do(q)
	if err != nil {
		o := &net.OpError{}
		if errors.As(err, &o) && o.Op == "dial" {
			return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return 0, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return 0, fmt.Errorf("%s answered %s: %w", c.base, p.Status, err)
	}
	return p.StatusCode, nil
}
