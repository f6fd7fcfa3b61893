package listener

import (
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// ReadDatagrams passes each datagram of at most max bytes to handle, which must not keep it, until the connection is
// closed. After another error it waits for a moment and goes on.
func ReadDatagrams(c net.PacketConn, max int, l zerolog.Logger, handle func(from net.Addr, b []byte)) {
	b := make([]byte, max)
	for {
		n, from, err := c.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Warn().Err(err).Msg("could not receive a datagram")
			time.Sleep(minAcceptDelay)
			continue
		}
		handle(from, b[:n])
	}
}
