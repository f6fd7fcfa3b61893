package schedule

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/fleet"
	"github.com/amaranthramp/amaranthramp/bench/relay"
	"github.com/amaranthramp/amaranthramp/standin/judge"
	"github.com/amaranthramp/amaranthramp/standin/server"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Run applies the events at their times, counted from now, and returns their joined errors. Events may overlap.
func Run(ctx context.Context, f *fleet.Fleet, events []Event) error {
	start := time.Now()
	var g sync.WaitGroup
	l := make([]error, len(events))
	for i := range events {
		g.Go(func() {
			select {
			case <-time.After(time.Until(start.Add(time.Duration(events[i].At)))):
				if err := events[i].apply(ctx, f); err != nil {
					l[i] = fmt.Errorf("%s: %w", events[i].Kind, err)
				}
			case <-ctx.Done():
			}
		})
	}
	g.Wait()
	return errors.Join(l...)
}

// apply applies the event to the deployment.
func (e *Event) apply(ctx context.Context, f *fleet.Fleet) error {
	if e.concernsVM() {
		if e.VM > len(f.VMs) {
			return fmt.Errorf("no VM %d", e.VM)
		}
		return e.applyVM(f, f.VMs[e.VM-1])
	}
	switch e.Kind {
	case Out:
		return f.SetDataCentre(ctx, e.DataCentre, config.Out)
	case In:
		return f.SetDataCentre(ctx, e.DataCentre, config.In)
	default:
		return f.InjectFault(ctx, judge.FaultRequest{
			Upstream: e.Upstream, DataCentre: e.DataCentre,
			Fault: server.Fault{Kind: server.Kind(e.Kind), Count: e.Count, For: time.Duration(e.For)},
		})
	}
}

func (e *Event) applyVM(f *fleet.Fleet, v *fleet.VM) error {
	switch e.Kind {
	case Start:
		return f.StartVM(v)
	case Cut, Mend:
		v.Relay.SetCut(e.Kind == Cut)
		return nil
	case Spoil:
		v.Relay.SetFault(relay.Fault{Delay: time.Duration(e.For), Loss: float64(e.Count) / 100})
		return nil
	}
	var l []error
	for _, p := range e.processes(v) {
		l = append(l, e.applyProcess(p))
	}
	return errors.Join(l...)
}

func (e *Event) applyProcess(p *fleet.Process) error {
	switch e.Kind {
	case Kill:
		return p.Kill()
	case Pause:
		return p.Signal(syscall.SIGSTOP)
	case Resume:
		return p.Signal(syscall.SIGCONT)
	default:
		return p.Stop()
	}
}

// processes returns the processes that the event concerns, the entry process first: a graceful stop of a VM stops it
// before the control process.
func (e *Event) processes(v *fleet.VM) []*fleet.Process {
	switch e.Process {
	case Entry:
		return []*fleet.Process{v.Entry}
	case Control:
		return []*fleet.Process{v.Control}
	default:
		return []*fleet.Process{v.Entry, v.Control}
	}
}
