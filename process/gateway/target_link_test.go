package gateway_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/relay"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
)

// partition is how a VM is partitioned from all targets.
type partition string

const (
	none partition = "none"
	// hangs leaves open connections without an answer, and new ones too.
	hangs partition = "hangs"
	// resets closes open connections and refuses new ones.
	resets partition = "resets"
	// refusesNew leaves open connections as they are and refuses new ones.
	refusesNew partition = "refusesNew"
)

// dialTimeout is how long a dial takes to fail while connections hang.
const dialTimeout = 250 * time.Millisecond

// targetLink is the way of one VM to the targets, which can be partitioned once useRelays has been called.
type targetLink struct {
	t *testing.T

	mu    sync.Mutex
	state partition
	// relays are the relays to the targets by address; nil while connections are opened directly.
	relays map[string]*relay.Relay
}

func newTargetLink(t *testing.T) *targetLink {
	return &targetLink{t: t, state: none}
}

// useRelays makes all connections from now on partitionable. It must be called before the first request.
func (l *targetLink) useRelays() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relays = map[string]*relay.Relay{}
}

// set begins or ends a partition.
func (l *targetLink) set(p partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = p
	for _, r := range l.relays {
		r.SetCut(p == hangs)
		if p == resets {
			r.SetCut(true)
			r.SetCut(false)
		}
	}
}

// dial opens a connection to a target, as pool.DialTCP does.
func (l *targetLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	if l.relays == nil {
		l.mu.Unlock()
		return pool.DialTCP(ctx, network, address)
	}
	state := l.state
	r, err := l.relayTo(address)
	l.mu.Unlock()
	switch {
	case err != nil:
		return nil, err
	case state == hangs:
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case state != none:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	default:
		return pool.DialTCP(ctx, network, string(r))
	}
}

// relayTo returns the address of the relay to a target; the lock must be held.
func (l *targetLink) relayTo(address string) (ident.Address, error) {
	if r, ok := l.relays[address]; ok {
		return r.Address(), nil
	}
	r, err := relay.New("127.0.0.1:0", ident.Address(address), 1)
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", address, err)
	}
	l.t.Cleanup(r.Close)
	l.relays[address] = r
	return r.Address(), nil
}
