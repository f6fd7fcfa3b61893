package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/process/ring"
	"github.com/amaranthramp/amaranthramp/version/spread"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// vmListInterval is the pause between two reads of the platform's list of VMs.
	vmListInterval = 700 * time.Millisecond
	// leavingPath is the endpoint from which other control processes fetch the list of leaving upstreams.
	leavingPath = "/leaving"
	// maxResponseBytes is the maximum size of a JSON response of another process.
	maxResponseBytes = 4 << 20
)

// leavingUpstreams holds the sorted addresses of the upstreams that the platform lists as leaving; it is safe for
// concurrent use.
type leavingUpstreams struct {
	// changeNotice gets an item whenever the list changes.
	changeNotice *ring.Ring[struct{}]

	mu   sync.Mutex
	list []string
}

func newLeavingUpstreams() *leavingUpstreams {
	return &leavingUpstreams{changeNotice: ring.New[struct{}](1)}
}

func (l *leavingUpstreams) get() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

func (l *leavingUpstreams) set(n []string) {
	slices.Sort(n)
	l.mu.Lock()
	same := slices.Equal(l.list, n)
	l.list = n
	l.mu.Unlock()
	if !same {
		l.changeNotice.Replace(struct{}{})
	}
}

// pollVMs keeps the list of leaving upstreams up to date, and also the members that spread knows. In each data centre
// only the members that watch the platform read its list of VMs; the others fetch the list from those members, and read
// it from the platform if none of them answers.
func (c *Control) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		m := c.members()
		c.spread.SetMembers(m)
		l, err := c.readLeaving(ctx, m)
		if err == nil {
			c.leaving.set(l)
		} else {
			c.log.Debug().Err(err).Msg("failed to update the list of leaving upstreams")
		}
		select {
		case <-ctx.Done():
		case <-time.After(vmListInterval):
		}
	}
}

// readLeaving returns the addresses of leaving upstreams from a member that watches the platform, or from the platform.
func (c *Control) readLeaving(ctx context.Context, m []*wire.Member) ([]string, error) {
	for _, w := range spread.Watchers(c.settings.Name, m) {
		if l, err := c.fetchLeaving(ctx, w); err == nil {
			return l, nil
		}
	}
	v, err := c.store.VMs(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the list of VMs: %w", err)
	}
	var l []string
	for _, x := range v {
		if x.Leaving {
			l = append(l, string(x.Address))
		}
	}
	return l, nil
}

func (c *Control) fetchLeaving(ctx context.Context, m *wire.Member) ([]string, error) {
	var l []string
	return l, c.getJSON(ctx, "http://"+m.GetOperatorAddress()+leavingPath, &l)
}

// getJSON fetches a small JSON document from another process.
func (c *Control) getJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	r, err := c.client.Do(q)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s: status %s", url, r.Status)
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxResponseBytes)).Decode(v); err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	return nil
}
