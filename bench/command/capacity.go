package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/bench/capacity"
)

// capacitySizes are the numbers of targets of the measured deployments.
var capacitySizes = []int{1_000, 2_000, 4_000, 8_000, 16_000}

func capacityCommand(w io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("capacity", flag.ContinueOnError)
	members := f.Int("members", 84, "`NUMBER` of members of the region")
	file := f.String("write", "", "only write the largest configuration to a `FILE`")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: programName + " capacity [-members NUMBER] [-write FILE]",
		ShortHelp:  "measure how cost grows with the number of targets",
		FlagSet:    f,
		Exec: func(context.Context, []string) error {
			if *file != "" {
				return writeLargestConfiguration(*file)
			}
			return capacity.Run(w, capacitySizes, *members)
		},
	}
}

// writeLargestConfiguration writes the configuration of the largest deployment to a file.
func writeLargestConfiguration(file string) error {
	b, err := capacity.Generate(capacitySizes[len(capacitySizes)-1]).Format()
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}
