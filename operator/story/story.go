package story

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrNoLines means that no log line has the id of the request.
var ErrNoLines = errors.New("no log line has this request id")

// contextWindow is how long before and after a request the state changes of its VMs are included.
const contextWindow = 2 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line; docs/OPERATIONS.md describes its fields.
type Line struct {
	At      time.Time `json:"time"`
	VM      string    `json:"VM"`
	Message string    `json:"message"`

	Request string `json:",omitempty"`
	Route   string `json:",omitempty"`
	Service string `json:",omitempty"`
	Target  string `json:",omitempty"`
	// Member is the VM through which the request was sent.
	Member     string `json:",omitempty"`
	DataCentre string `json:",omitempty"`
	// Name is that of the object in the store that the line is about.
	Name     string `json:",omitempty"`
	Kind     string `json:",omitempty"`
	Version  uint64 `json:",omitempty"`
	Attempts int    `json:",omitempty"`
	// Asked is the number of targets that were probed for their load, including those of unsuccessful rounds.
	Asked   int     `json:",omitempty"`
	Score   float64 `json:",omitempty"`
	Running int     `json:",omitempty"`
	Waiting int     `json:",omitempty"`
	// Pace is the duration of requests at the target as a multiple of their normal duration.
	Pace float64 `json:",omitempty"`
	// ReportAge is the age of the target's load report in milliseconds.
	ReportAge float64 `json:",omitempty"`
	// End is how the attempt ended, such as "completed" or "broken: expired".
	End     string `json:",omitempty"`
	Outcome string `json:",omitempty"`
	Reason  string `json:",omitempty"`
	Status  int    `json:",omitempty"`
	// Took and Objective are in milliseconds.
	Took      float64 `json:",omitempty"`
	Objective float64 `json:",omitempty"`
}

// Explanation is what the logs show about one request.
type Explanation struct {
	Request string
	Cause   string
	Lines   []Line
	// StateChanges are the lines in which the VMs that handled the request logged a change of their state around that
	// time. The JSON output names them Beliefs.
	StateChanges []Line `json:"Beliefs"`
}

// stateMessages are the prefixes of the messages that log a change of what a VM knows about targets, the store or the
// configuration. "store lost" and "store regained" log that the VM can't read the object store and that it can again.
var stateMessages = []string{
	"configuration read", "data centre taken out", "object is gone", "target registered", "target ejected",
	"target trusted again", "target announced that it leaves", "target asked for a pause", "many objects changed",
	"no target of the service responds", "targets of the service respond again",
	"store lost", "store regained", "reads the store", "planned stop", "gateway started",
	"log lines dropped",
}

// Explain collects the lines of the request from the logs and derives its cause. Text before the JSON of a line is
// ignored.
func Explain(request string, logs ...io.Reader) (*Explanation, error) {
	var all []Line
	for _, r := range logs {
		l, err := parseLog(r)
		if err != nil {
			return nil, err
		}
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	e := &Explanation{Request: request}
	for _, l := range all {
		if l.Request == request {
			e.Lines = append(e.Lines, l)
		}
	}
	if len(e.Lines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNoLines, request)
	}
	e.addStateChanges(all)
	e.Cause = e.cause()
	return e, nil
}

// parseLog returns the lines of a log that are JSON objects with a message.
func parseLog(r io.Reader) ([]Line, error) {
	var lines []Line
	b := bufio.NewScanner(r)
	b.Buffer(nil, maxLineBytes)
	for b.Scan() {
		_, text, ok := strings.Cut(b.Text(), "{")
		if !ok {
			continue
		}
		var l Line
		// Lines of other programs may be mixed in; they are skipped without an error.
		if err := json.Unmarshal([]byte("{"+text), &l); err == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	if err := b.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// addStateChanges adds the state changes that the VMs of the request logged around its time, without those about
// targets that the request did not use.
func (e *Explanation) addStateChanges(all []Line) {
	vms, targets := map[string]bool{}, map[string]bool{}
	for _, l := range e.Lines {
		vms[l.VM] = true
		targets[l.Target] = true
	}
	from, to := e.Lines[0].At.Add(-contextWindow), e.Lines[len(e.Lines)-1].At.Add(contextWindow)
	for _, l := range all {
		if !vms[l.VM] || l.At.Before(from) || l.At.After(to) || !isStateChange(l.Message) {
			continue
		}
		if id := cmp.Or(l.Target, l.Name); l.Kind == "targets" || l.Target != "" {
			if !targets[id] {
				continue
			}
		}
		e.StateChanges = append(e.StateChanges, l)
	}
}

func isStateChange(message string) bool {
	return slices.ContainsFunc(stateMessages, func(p string) bool { return strings.HasPrefix(message, p) })
}
