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

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("story: no line names this request")

// around is how long before and after a request what its VM believed is told.
const around = 2 * time.Second

// maxLine bounds a line that is read.
const maxLine = 1 << 20

// Line is one line of a log; the fields are those of docs/OPERATIONS.md.
type Line struct {
	At      time.Time `json:"time"`
	VM      string    `json:"VM"`
	Message string    `json:"message"`

	Request    string  `json:",omitempty"`
	Route      string  `json:",omitempty"`
	Service    string  `json:",omitempty"`
	Target     string  `json:",omitempty"`
	DataCentre string  `json:",omitempty"`
	Name       string  `json:",omitempty"`
	Kind       string  `json:",omitempty"`
	Version    uint64  `json:",omitempty"`
	Attempts   int     `json:",omitempty"`
	Asked      int     `json:",omitempty"`
	Score      float64 `json:",omitempty"`
	Running    int     `json:",omitempty"`
	Waiting    int     `json:",omitempty"`
	Pace       float64 `json:",omitempty"`
	ReportAge  float64 `json:",omitempty"`
	End        string  `json:",omitempty"`
	Outcome    string  `json:",omitempty"`
	Reason     string  `json:",omitempty"`
	Status     int     `json:",omitempty"`
	// Took and Objective are in milliseconds.
	Took      float64 `json:",omitempty"`
	Objective float64 `json:",omitempty"`
}

// Story is what happened to one request.
type Story struct {
	Request string
	Cause   string
	Lines   []Line
	// Beliefs are the lines by which the VMs of the request changed what they believed around that time.
	Beliefs []Line
}

// beliefs are the messages that change what a VM believes.
var beliefs = []string{
	"configuration read", "data centre taken out", "object is gone", "target registered", "target ejected",
	"target trusted again", "store lost", "store regained", "reads the store", "planned stop", "gateway started",
	"log lines dropped",
}

// Read collects the lines of the request from logs; text before the JSON of a line is passed over.
func Read(request string, logs ...io.Reader) (*Story, error) {
	var all []Line
	for _, r := range logs {
		l, err := parse(r)
		if err != nil {
			return nil, err
		}
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	s := &Story{Request: request}
	for _, l := range all {
		if l.Request == request {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknown, request)
	}
	s.addBeliefs(all)
	s.Cause = s.cause()
	return s, nil
}

func parse(r io.Reader) ([]Line, error) {
	var lines []Line
	b := bufio.NewScanner(r)
	b.Buffer(nil, maxLine)
	for b.Scan() {
		_, text, ok := strings.Cut(b.Text(), "{")
		if !ok {
			continue
		}
		var l Line
		// Other programs' lines may stand between; they are no findings here.
		if err := json.Unmarshal([]byte("{"+text), &l); err == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	if err := b.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// addBeliefs adds what the VMs of the request learned around its time of what the request met.
func (s *Story) addBeliefs(all []Line) {
	vms, targets := map[string]bool{}, map[string]bool{}
	for _, l := range s.Lines {
		vms[l.VM] = true
		targets[l.Target] = true
	}
	from, to := s.Lines[0].At.Add(-around), s.Lines[len(s.Lines)-1].At.Add(around)
	for _, l := range all {
		if !vms[l.VM] || l.At.Before(from) || l.At.After(to) || !isBelief(l.Message) {
			continue
		}
		if id := cmp.Or(l.Target, l.Name); l.Kind == "targets" || l.Target != "" {
			if !targets[id] {
				continue
			}
		}
		s.Beliefs = append(s.Beliefs, l)
	}
}

func isBelief(message string) bool {
	return slices.ContainsFunc(beliefs, func(b string) bool { return strings.HasPrefix(message, b) })
}
