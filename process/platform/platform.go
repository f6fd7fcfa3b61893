package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Errors of the object API. After any other error, except ErrNotSent, the outcome of the call is unknown.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict means that the object's revision differs from the one that the update named.
	ErrConflict = errors.New("platform: version conflict")
)

// Revision is the version number of an object; in an update, zero means that the object must not exist yet.
type Revision uint64

// Object is a named value with its revision.
type Object struct {
	Name     string
	Revision Revision
	Value    []byte
}

// VM is one entry of the platform's list of VMs, which may lag behind.
type VM struct {
	Address ident.Address
	Leaving bool
}

// Store is the interface of the object API.
type Store interface {
	// Get reads an object. If there is none of that name, the error wraps ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put replaces the object if it still has the revision in o, and returns its new revision. If it has another one, the
	// error wraps ErrConflict.
	Put(ctx context.Context, o Object) (Revision, error)
	// Watch returns the object as soon as its revision is newer than the given one, or unchanged after the wait.
	Watch(ctx context.Context, name string, after Revision, wait time.Duration) (Object, error)
	// VMs returns the list of VMs, which may lag behind.
	VMs(ctx context.Context) ([]VM, error)
}

// Deleter is a store that can also delete objects.
type Deleter interface {
	// Delete removes an object regardless of its revision; deleting a missing object is no error.
	Delete(ctx context.Context, name string) error
}

// callTimeout bounds each call. For a watch, the wait that the call asks for is added.
const callTimeout = 2 * time.Second

// MaxValueBytes is the size in bytes of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Client is a client of the object API over HTTP.
type Client struct {
	base    string
	http    *http.Client
	limiter *Limiter
}

// New returns a client of the API at the base URL.
func New(base string, h *http.Client, k clock.Clock) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: h, limiter: NewLimiter(k)}
}

// Calls returns the counts of the calls made so far.
func (c *Client) Calls() Calls {
	return c.limiter.Calls()
}

// Get reads an object. If there is none of that name, the error wraps ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, name, c.base+"/objects/"+name)
}

// Watch returns the object as soon as its revision is newer than the given one, or unchanged after the wait.
func (c *Client) Watch(ctx context.Context, name string, after Revision, wait time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	u := fmt.Sprintf("%s/objects/%s?After=%d&WaitMs=%d", c.base, name, after, wait.Milliseconds())
	return c.read(ctx, name, u)
}

// Put replaces the object if it still has the revision in o, and returns its new revision. If it has another one, the
// error wraps ErrConflict.
func (c *Client) Put(ctx context.Context, o Object) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+"/objects/"+o.Name, bytes.NewReader(o.Value))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", o.Name, err)
	}
	q.Header.Set("If-Match", etag(o.Revision))
	p, _, err := c.do(q)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", o.Name, err)
	}
	return parseEtag(p.Header.Get("ETag"))
}

// Delete removes an object regardless of its revision; deleting a missing object is no error.
func (c *Client) Delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/objects/"+name, http.NoBody)
	if err != nil {
		return fmt.Errorf("delete %s: %w", name, err)
	}
	if _, _, err := c.do(q); err != nil && !errors.Is(err, ErrNotFound) {
		return fmt.Errorf("delete %s: %w", name, err)
	}
	return nil
}

// VMs returns the list of VMs, which may lag behind.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/vms", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	_, b, err := c.do(q)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	var l []VM
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return l, nil
}

func (c *Client) read(ctx context.Context, name, url string) (Object, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	p, b, err := c.do(q)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	r, err := parseEtag(p.Header.Get("ETag"))
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	return Object{Name: name, Revision: r, Value: b}, nil
}

// do sends a call when the limiter allows it and records its outcome. A conflict and a missing object don't count as
// failures, since they are answers of a working platform.
func (c *Client) do(q *http.Request) (*http.Response, []byte, error) {
	if err := c.limiter.wait(q.Context()); err != nil {
		return nil, nil, err
	}
	c.limiter.updateCalls(func(n *Calls) {
		switch {
		case q.Method != http.MethodGet:
			n.Writes++
		case q.URL.Query().Has("WaitMs"):
			n.Watches++
		default:
			n.Reads++
		}
	})
	p, b, err := c.exchange(q)
	failed := err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict)
	// A call that was cancelled locally says nothing about the platform.
	if !errors.Is(err, context.Canceled) {
		c.limiter.recordOutcome(c.limiter.clock.Now(), failed)
	}
	return p, b, err
}

func (c *Client) exchange(q *http.Request) (*http.Response, []byte, error) {
	p, err := c.http.Do(q)
	if err != nil {
		o := &net.OpError{}
		if errors.As(err, &o) && o.Op == "dial" {
			return nil, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, nil, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, MaxValueBytes+1))
	if err != nil {
		return nil, nil, err
	}
	switch p.StatusCode {
	case http.StatusOK:
		return p, b, nil
	case http.StatusNotFound:
		return nil, nil, ErrNotFound
	case http.StatusPreconditionFailed:
		return nil, nil, ErrConflict
	default:
		return nil, nil, fmt.Errorf("unexpected response from the platform: %s", p.Status)
	}
}

func etag(r Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(r), 10))
}

func parseEtag(s string) (Revision, error) {
	n, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse ETag: %w", err)
	}
	return Revision(n), nil
}
