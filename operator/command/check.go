package command

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/process/settings"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/finding"
)

const checkHelp = `Checks VM settings and whole configurations. The keys of a file tell which of them it is.
Each finding is printed as a line FILE:LINE:COLUMN: what is wrong; how to correct it.
The exit code is 0 if there are no findings and 1 otherwise.`

func checkCommand(s *streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: programName + " check FILE...",
		ShortHelp:  "check settings and configurations",
		LongHelp:   checkHelp,
		FlagSet:    flagSet("check", s),
		Exec:       func(_ context.Context, args []string) error { return check(s, args) },
	}
}

func check(s *streams, files []string) error {
	if len(files) == 0 {
		return fmt.Errorf("check: name at least one FILE")
	}
	var l finding.List
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
		l = append(l, checkFile(f, b)...)
	}
	for _, f := range l {
		_, _ = fmt.Fprintln(s.out, f)
	}
	if len(l) > 0 {
		return errAlreadyPrinted
	}
	return nil
}

// settingsKeys are the top-level keys that occur in VM settings but not in configurations.
var settingsKeys = []string{"Platform", "Entry", "Control", "Region", "Log"}

func checkFile(file string, b []byte) finding.List {
	var keys map[string]any
	// Both checks report a file that is not valid TOML.
	_ = toml.Unmarshal(b, &keys)
	for k := range keys {
		if slices.Contains(settingsKeys, k) {
			_, l := settings.Check(file, b)
			return l
		}
	}
	_, l := config.Check(file, b)
	return l
}
