package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/standin/judge"
)

// Verdict gets the judge's summary of what the upstreams counted.
func (f *Fleet) Verdict(ctx context.Context) (*judge.Verdict, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.judgeAddress()+"/judge", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("query judge: %w", err)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("query judge: %w", err)
	}
	defer func() { _ = p.Body.Close() }()
	v := &judge.Verdict{}
	if err := json.NewDecoder(p.Body).Decode(v); err != nil {
		return nil, fmt.Errorf("decode verdict: %w", err)
	}
	return v, nil
}

// InjectFault injects a fault into upstreams.
func (f *Fleet) InjectFault(ctx context.Context, o judge.FaultRequest) error {
	return postJSON(ctx, "http://"+f.judgeAddress()+"/judge/faults", o)
}

func (f *Fleet) judgeAddress() string {
	return fmt.Sprintf("127.%d.3.2:9600", f.options.Network)
}

func postJSON(ctx context.Context, url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("post %s: %w", url, err)
	}
	r.Header.Set("Content-Type", "application/json")
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("post %s: %w", url, err)
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		t, _ := io.ReadAll(io.LimitReader(p.Body, 1<<10))
		return fmt.Errorf("post %s: %s: %s", url, p.Status, t)
	}
	return nil
}

// Endpoints returns the URLs of the entry VMs for the platform's balancer.
func (f *Fleet) Endpoints() []load.Endpoint {
	var l []load.Endpoint
	for _, v := range f.VMs {
		l = append(l, load.Endpoint{CallerURL: v.CallerURL(), ReadyURL: v.ReadyURL()})
	}
	return l
}
