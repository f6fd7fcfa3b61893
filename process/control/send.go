package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/membership"
	"github.com/amaranthramp/amaranthramp/version/delta"
	"github.com/amaranthramp/amaranthramp/version/spread"
	"github.com/amaranthramp/amaranthramp/wire"
)

// send sends a view. Configuration and epoch, the large parts, go along only when the entry does not have them: the
// lease is renewed several times a second, and both change far less often.
func (c *Control) send(ctx context.Context, e *session) {
	m := c.membership.State()
	if m.Self != ident.Member(e.self.GetId()) {
		return
	}
	s := c.spread.State()
	v, err := e.view(m, s)
	if err != nil {
		c.log.Error().Err(err).Msg("view not made")
		return
	}
	v.LeavingUpstreams = c.leaving.get()
	if err := e.conn.View(ctx, v); err != nil {
		c.log.Warn().Err(err).Msg("view not sent")
		return
	}
	e.sent, e.epoch = s, m.Epoch
}

func (e *session) view(m membership.State, s spread.State) (*wire.View, error) {
	v := &wire.View{
		Self:                 e.self.GetId(),
		ConfigurationVersion: uint64(s.Version),
		LeaseUntil:           int64(m.LeaseUntil),
		EpochNumber:          m.Epoch.GetNumber(),
	}
	for _, d := range m.Deputies {
		v.Deputies = append(v.Deputies, &wire.ViewDeputy{
			Of: string(d.Of), By: string(d.By), LeaseUntil: int64(d.LeaseUntil),
		})
	}
	if !proto.Equal(e.epoch, m.Epoch) {
		v.Epoch = m.Epoch
	}
	switch {
	case s.Version <= e.sent.Version:
	case e.inForce.Load() != uint64(e.sent.Version) || e.sent.Version == 0:
		// An entry that outlived a control process may have a version that this one never sent.
		v.Configuration = s.Text
	default:
		b, err := delta.Between(e.sent.Version, e.sent.Config, s.Version, s.Config).Format()
		if err != nil {
			return nil, err
		}
		v.Delta = b
	}
	return v, nil
}
