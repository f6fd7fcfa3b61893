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

// Path is where control processes answer pulls.
const Path = "/spread"

// MaxSnapshot bounds the size in bytes of a snapshot between peers.
const MaxSnapshot = 64 << 20

// maxPull bounds the size in bytes of a pull.
const maxPull = 1 << 20

// HTTPPeers asks control processes over HTTP.
type HTTPPeers struct {
	client *http.Client
	key    seal.Key
}

// NewHTTPPeers returns peers that are asked through the client, with the fleet's key.
func NewHTTPPeers(c *http.Client, k seal.Key) *HTTPPeers {
	return &HTTPPeers{client: c, key: k}
}

// Pull asks the control process at an operator address.
func (p *HTTPPeers) Pull(ctx context.Context, a ident.Address, q *wire.Pull) (*wire.Snapshot, error) {
	b, err := proto.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("format pull: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(a)+Path, bytes.NewReader(b))
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
		return nil, fmt.Errorf("pull: peer answered %s", w.Status)
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

// Handler answers pulls.
func (s *Spread) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPull))
		q := &wire.Pull{}
		if err != nil || proto.Unmarshal(b, q) != nil {
			http.Error(w, "not a pull", http.StatusBadRequest)
			return
		}
		n, err := s.Answer(q)
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
