package control

import (
	"context"
	"net/http"
	"sort"
	"sync"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxStatusCalls is the maximum number of concurrent status requests to other control processes.
const maxStatusCalls = 16

// Status is the state of all VMs as a control process sees it.
type Status struct {
	Epoch ident.Epoch
	VM    []VMStatus
}

// VMStatus is the state of one VM.
type VMStatus struct {
	Name       ident.VM
	DataCentre ident.DataCentre
	Member     ident.Member
	// Known is the newest configuration version that the control process has received.
	Known ident.Version
	// InForce is the configuration version by which the entry process dispatches.
	InForce  ident.Version
	Epoch    ident.Epoch
	LeaseFor string
	// Failure says why the state could not be obtained; it is empty on success.
	Failure string `json:",omitempty"`
}

// entryDump is the part of the entry process's dump that a control process uses.
type entryDump struct {
	Version  ident.Version
	Epoch    ident.Epoch
	LeaseFor string
}

// selfStatus returns the state of this VM; part of it is fetched from the VM's entry process.
func (c *Control) selfStatus(ctx context.Context) VMStatus {
	s := VMStatus{
		Name: c.settings.Name, DataCentre: c.settings.DataCentre, Known: c.spread.State().Version,
	}
	e := c.session()
	if e == nil {
		s.Failure = errNoEntry.Error()
		return s
	}
	s.Member = ident.Member(e.self.GetId())
	var d entryDump
	if err := c.getJSON(ctx, "http://"+string(c.settings.Entry.OperatorAddress)+"/dump", &d); err != nil {
		s.Failure = err.Error()
		return s
	}
	s.InForce, s.Epoch, s.LeaseFor = d.Version, d.Epoch, d.LeaseFor
	return s
}

func (c *Control) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, c.status(r.Context()))
}

// status fetches the state of all other members' VMs concurrently and adds that of this VM.
func (c *Control) status(ctx context.Context) Status {
	s := Status{VM: []VMStatus{c.selfStatus(ctx)}}
	s.Epoch = s.VM[0].Epoch
	var g sync.WaitGroup
	var mu sync.Mutex
	sem := make(chan struct{}, maxStatusCalls)
	for _, m := range c.members() {
		if m.GetVm() == string(c.settings.Name) {
			continue
		}
		g.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			v := c.fetchStatus(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			s.VM = append(s.VM, v)
		})
	}
	g.Wait()
	sort.Slice(s.VM, func(i, j int) bool { return s.VM[i].Name < s.VM[j].Name })
	return s
}

func (c *Control) fetchStatus(ctx context.Context, m *wire.Member) VMStatus {
	v := VMStatus{Name: ident.VM(m.GetVm()), DataCentre: ident.DataCentre(m.GetDataCentre()),
		Member: ident.Member(m.GetId())}
	if err := c.getJSON(ctx, "http://"+m.GetOperatorAddress()+"/status/self", &v); err != nil {
		v.Failure = err.Error()
	}
	return v
}
