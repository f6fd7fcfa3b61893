package control

import (
	"testing"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/membership"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/spread"
	"github.com/amaranthramp/amaranthramp/wire"
)

// TestView checks when a view carries the whole configuration, a delta or neither, for each relation between the
// version last sent, the version in force at the entry process and the newest version.
func TestView(t *testing.T) {
	rows := []struct {
		name        string
		sent        ident.Version
		inForce     ident.Version
		newest      ident.Version
		text, delta bool
	}{
		{"new connection", 0, 0, 4, true, false},
		{"no new version", 4, 4, 4, false, false},
		{"next version", 4, 4, 5, false, true},
		{"entry process has not reported the sent version yet", 4, 0, 5, true, false},
		{"entry process has a newer version than was sent", 4, 5, 6, true, false},
		{"control process is behind the entry process", 4, 6, 4, false, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			e := &session{self: &wire.Member{Id: "m"}, sentConfiguration: state(r.sent)}
			e.inForceVersion.Store(uint64(r.inForce))
			v, err := e.buildView(membership.State{Epoch: &wire.Epoch{Number: 1}}, state(r.newest))
			if err != nil {
				t.Fatal(err)
			}
			if got := len(v.GetConfiguration()) > 0; got != r.text {
				t.Errorf("complete configuration sent = %t, want %t", got, r.text)
			}
			if got := len(v.GetDelta()) > 0; got != r.delta {
				t.Errorf("delta sent = %t, want %t", got, r.delta)
			}
		})
	}
}

// TestViewEpoch checks that a view carries the epoch only if any part of it has changed since it was last sent.
func TestViewEpoch(t *testing.T) {
	e := &session{self: &wire.Member{Id: "m"}, sentEpoch: &wire.Epoch{Number: 1}}
	same := &wire.Epoch{Number: 1}
	closed := &wire.Epoch{Number: 1, Earlier: []*wire.EarlierEpoch{{Number: 0}}}
	for want, p := range map[bool]*wire.Epoch{false: same, true: closed} {
		v, err := e.buildView(membership.State{Epoch: p}, state(0))
		if err != nil {
			t.Fatal(err)
		}
		if got := v.GetEpoch() != nil; got != want {
			t.Errorf("epoch sent = %t, want %t", got, want)
		}
	}
}

func state(v ident.Version) spread.State {
	return spread.State{Version: v, Text: []byte("# text"), Config: &config.Config{}}
}
