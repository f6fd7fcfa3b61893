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

// sendView sends a view to the entry process. It includes the configuration and the epoch, the large parts, only if the
// entry process lacks them: the lease is renewed several times a second, and both change far less often.
func (c *Control) sendView(ctx context.Context, e *session) {
	m := c.membership.State()
	if m.Self != ident.Member(e.self.GetId()) {
		return
	}
	s := c.spread.State()
	v, err := e.buildView(m, s)
	if err != nil {
		c.log.Error().Err(err).Msg("failed to build the view for the entry process")
		return
	}
	v.LeavingUpstreams = c.leaving.get()
	if err := e.conn.SendView(ctx, v); err != nil {
		c.log.Warn().Err(err).Msg("failed to send the view to the entry process")
		return
	}
	e.sentConfiguration, e.sentEpoch = s, m.Epoch
}

// buildView builds the next view for the entry process. It sends the configuration as a delta if the entry process has
// reported that the version which it was last sent is in force.
func (e *session) buildView(m membership.State, s spread.State) (*wire.View, error) {
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
	if !proto.Equal(e.sentEpoch, m.Epoch) {
		v.Epoch = m.Epoch
	}
	switch {
	case s.Version <= e.sentConfiguration.Version:
	case e.inForceVersion.Load() != uint64(e.sentConfiguration.Version) || e.sentConfiguration.Version == 0:
		// An entry process that was connected to an earlier control process may have a version that this one never sent.
		v.Configuration = s.Text
	default:
		b, err := delta.Between(e.sentConfiguration.Version, e.sentConfiguration.Config, s.Version, s.Config).Format()
		if err != nil {
			return nil, err
		}
		v.Delta = b
	}
	return v, nil
}
