package control

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// peerTimeout bounds a request to another process.
	peerTimeout = time.Second
	// readTimeout bounds how long reading an operator's request may take.
	readTimeout = 10 * time.Second
	// maxIdlePeerConns is the maximum number of idle connections to other processes.
	maxIdlePeerConns = 32
)

func newPeerClient() *http.Client {
	d := &net.Dialer{Timeout: peerTimeout}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConns: maxIdlePeerConns, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: t}
}

// newIDSource returns a generator of ids that are unique among all processes, since no other process has the same
// incarnation.
func newIDSource(incarnation string) func() string {
	var n atomic.Uint64
	return func() string {
		return incarnation + "-" + strconv.FormatUint(n.Add(1), 10)
	}
}

// members returns the members of the current epoch.
func (c *Control) members() []*wire.Member {
	return c.membership.State().Epoch.GetMembers()
}
