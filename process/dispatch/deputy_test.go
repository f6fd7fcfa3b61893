package dispatch

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/wire"
)

// TestDeputy checks whether a member may dispatch the shard of a silent owner, by who the owner's deputy is and whether
// the lease is still valid.
func TestDeputy(t *testing.T) {
	me := &wire.Member{Id: "me", DataCentre: "there", PeerAddress: "me"}
	you := &wire.Member{Id: "you", DataCentre: "here", PeerAddress: "you"}
	rows := []struct {
		name   string
		deputy *wire.Member
		lease  time.Duration
		want   outcome.Reason
	}{
		{"no deputy", nil, 0, outcome.NotOwner},
		{"this member", me, time.Second, ""},
		{"this member, lease expired", me, -time.Millisecond, outcome.NoLease},
		{"another member", &wire.Member{Id: "other", PeerAddress: "other"}, 0, outcome.NotOwner},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			p, _ := newOwnerPair(0)
			d := p.former
			d.setView(func(v *view.View) {
				v.Epoch = &wire.Epoch{Number: 8, Members: []*wire.Member{me, you}}
				v.Deputies = map[ident.Member]view.Deputy{}
				if r.deputy != nil {
					v.Deputies["you"] = view.Deputy{Member: r.deputy, LeaseUntil: d.clock.Now().Add(r.lease)}
				}
			}, 1)
			if _, got := d.dispatcher.schedulerFor(d.views.Get(), "notes/here/0"); got != r.want {
				t.Errorf("refused with %q, want %q", got, r.want)
			}
		})
	}
}
