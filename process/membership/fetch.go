package membership

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// EpochPath is the URL path at which a control process serves its newest epoch to other members.
const EpochPath = "/epoch"

// fetchTimeout bounds the request for an epoch to another member.
const fetchTimeout = 500 * time.Millisecond

// maxEpochBytes is the largest encoded epoch that is read.
const maxEpochBytes = 1 << 20

// ServeHTTP responds with the newest epoch in protobuf encoding.
func (m *Membership) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	b, err := proto.Marshal(m.core.epoch)
	m.mu.Unlock()
	if err != nil {
		http.Error(w, "epoch not available", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(b)
}

// fetchEpochs requests newer epochs from the members that know them, so that epochs spread while the platform is down.
func (m *Membership) fetchEpochs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-m.newerEpochSources.Out():
			e, err := fetchEpoch(ctx, p)
			if err != nil {
				m.log.Info().Err(err).Str("Member", p.GetId()).Msg("failed to fetch epoch from member")
				sleep(ctx, tickInterval)
				continue
			}
			m.apply(func(now clock.Instant) []packet {
				if e.GetNumber() > m.core.epoch.GetNumber() {
					m.core.adopt(now, e)
				}
				return nil
			})
		}
	}
}

func fetchEpoch(ctx context.Context, from *wire.Member) (*wire.Epoch, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	u := "http://" + from.GetOperatorAddress() + EpochPath
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("fetch epoch: %w", err)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, fmt.Errorf("fetch epoch: %w", err)
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch epoch: unexpected status %s", p.Status)
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxEpochBytes))
	if err != nil {
		return nil, fmt.Errorf("read epoch: %w", err)
	}
	e := &wire.Epoch{}
	if err := proto.Unmarshal(b, e); err != nil {
		return nil, fmt.Errorf("decode epoch: %w", err)
	}
	return e, nil
}
