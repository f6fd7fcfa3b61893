package schedule

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestLoad loads a valid schedule and one with each kind of error.
func TestLoad(t *testing.T) {
	rows := []struct{ name, text, wrong string }{
		{"valid", "[[Event]]\nAt = \"2s\"\nKind = \"Kill\"\nVM = 2\nProcess = \"Entry\"", ""},
		{"unknown key", "[[Event]]\nKind = \"Kill\"\nVn = 2", "strict mode"},
		{"no kind", "[[Event]]\nAt = \"2s\"", "event 1: missing Kind"},
		{"no VM", "[[Event]]\nKind = \"Pause\"", "event 1: VM 0"},
		{"no data centre", "[[Event]]\nKind = \"Out\"", "event 1: missing DataCentre"},
		{"negative time", "[[Event]]\nAt = \"-1s\"\nKind = \"Crash\"", "event 1: time At is -1s, want at least 0"},
		{"two invalid events", "[[Event]]\n[[Event]]\nKind = \"Stop\"", "event 2: VM 0"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			f := filepath.Join(t.TempDir(), "schedule.toml")
			if err := os.WriteFile(f, []byte(r.text), 0o600); err != nil {
				t.Fatal(err)
			}
			l, err := Load(f)
			switch {
			case r.wrong == "" && (err != nil || len(l) != 1 || time.Duration(l[0].At) != 2*time.Second):
				t.Errorf("Load = %+v, %v, want one event at 2s", l, err)
			case r.wrong != "" && (err == nil || !strings.Contains(err.Error(), r.wrong)):
				t.Errorf("error %v, want %q", err, r.wrong)
			}
		})
	}
}

// TestExample loads the example schedule.
func TestExample(t *testing.T) {
	if l, err := Load("../../examples/cepage/schedule.toml"); err != nil || len(l) == 0 {
		t.Errorf("%d events, error %v, want events and no error", len(l), err)
	}
}
