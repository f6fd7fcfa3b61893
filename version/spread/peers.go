package spread

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/seal"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// PullPath is the URL path at which control processes accept pull requests.
const PullPath = "/spread"

// MaxSnapshot limits the size in bytes of a snapshot from a peer.
const MaxSnapshot = 64 << 20

// maxPullRequest limits the size in bytes of a pull request.
const maxPullRequest = 1 << 20

// HTTPPeers sends pull requests to control processes over HTTP.
type HTTPPeers struct {
	client *http.Client
	key    seal.Key
}

// NewHTTPPeers returns peers that are called through the client; requests are authenticated with the fleet's key.
func NewHTTPPeers(c *http.Client, k seal.Key) *HTTPPeers {
	return &HTTPPeers{client: c, key: k}
}

// Pull sends a pull request to the control process with this operator address.
func (p *HTTPPeers) Pull(ctx context.Context, a ident.Address, q *wire.Pull) (*wire.Snapshot, error) {
	b, err := proto.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("format pull: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(a)+PullPath, bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("pull: %w", err)
	}
	p.key.Sign(r, b, time.Now())
	w, err := p.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("pull: %w", err)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("pull: peer responded with status %s", w.Status)
	}
	b, err = io.ReadAll(io.LimitReader(w.Body, MaxSnapshot))
	if err != nil {
		return nil, fmt.Errorf("pull: %w", err)
	}
	s := &wire.Snapshot{}
	if err := proto.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	return s, nil
}

// Handler serves pull requests.
func (s *Replica) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPullRequest))
		q := &wire.Pull{}
		if err != nil || proto.Unmarshal(b, q) != nil {
			http.Error(w, "malformed pull request", http.StatusBadRequest)
			return
		}
		n, err := s.Respond(q)
		if err == nil {
			b, err = proto.Marshal(n)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(b)
	})
}
