package schedule

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Event is one entry of a schedule; which of the fields are used depends on the kind.
type Event struct {
	// At is the time of the event, counted from the start of the load.
	At config.Duration
	// Kind is one of the constants below, from Kill to Spoil, or a fault of upstreams such as Crash.
	Kind string
	// VM is the number, from 1, of the entry VM for Kill, Pause, Resume, Stop, Start, Cut, Mend and Spoil.
	VM int
	// Process is Entry, Control or empty for both.
	Process Process
	// DataCentre is the data centre for Out and In; for a fault it selects the upstreams in it.
	DataCentre ident.DataCentre
	// Upstream selects the upstreams for a fault by name.
	Upstream []ident.Upstream
	// Count is the percentage of answers that Spoil loses, or the number of responses or requests that a fault of
	// upstreams affects.
	Count int
	// For is the delay of answers for Spoil, or the time that a fault of upstreams needs, which is a duration or a delay
	// depending on its kind.
	For config.Duration
}

// Process names one of the processes of an entry VM.
type Process string

// The processes of an entry VM.
const (
	Both    Process = ""
	Entry   Process = "Entry"
	Control Process = "Control"
)

// The kinds of events that concern VMs and data centres; every other kind is a fault of upstreams.
const (
	Kill   = "Kill"
	Pause  = "Pause"
	Resume = "Resume"
	Stop   = "Stop"
	Start  = "Start"
	Out    = "Out"
	In     = "In"
	// Cut cuts the VM off from the platform, Mend connects it again.
	Cut  = "Cut"
	Mend = "Mend"
	// Spoil delays the platform's answers to the VM by For, and loses Count percent of them.
	Spoil = "Spoil"
)

// Load reads a schedule from a TOML file and checks it; unknown keys are errors.
func Load(file string) ([]Event, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read schedule: %w", err)
	}
	var s struct{ Event []Event }
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, fmt.Errorf("read schedule %s: %w", file, err)
	}
	var l []error
	for i := range s.Event {
		if err := s.Event[i].check(); err != nil {
			l = append(l, fmt.Errorf("%s: event %d: %w", file, i+1, err))
		}
	}
	return s.Event, errors.Join(l...)
}

func (e *Event) check() error {
	if e.Kind == "" {
		return errors.New("missing Kind")
	}
	if e.concernsVM() && e.VM < 1 {
		return fmt.Errorf("VM %d, want at least 1", e.VM)
	}
	if (e.Kind == Out || e.Kind == In) && e.DataCentre == "" {
		return errors.New("missing DataCentre")
	}
	if time.Duration(e.At) < 0 {
		return fmt.Errorf("time At is %s, want at least 0", time.Duration(e.At))
	}
	return nil
}

func (e *Event) concernsVM() bool {
	switch e.Kind {
	case Kill, Pause, Resume, Stop, Start, Cut, Mend, Spoil:
		return true
	default:
		return false
	}
}
