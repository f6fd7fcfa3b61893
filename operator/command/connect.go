package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"github.com/amaranthramp/amaranthramp/connection/seal"
	"github.com/amaranthramp/amaranthramp/operator/client"
)

// envOptions lets flags be set by environment variables such as AMARANTHRAMP_CONTROL.
var envOptions = []ff.Option{ff.WithEnvVarPrefix("AMARANTHRAMP")}

// connectOptions are the flags of the subcommands that send requests to a control process.
type connectOptions struct {
	control string
	key     string
	json    bool
}

func (o *connectOptions) register(f *flag.FlagSet) {
	f.StringVar(&o.control, "control", "127.0.1.1:7005",
		"operator `ADDRESS` of any control process, or several separated by commas, which are tried in order")
	f.StringVar(&o.key, "key", "", "`KEY` of the fleet; set AMARANTHRAMP_KEY instead to keep it off the command line")
	f.BoolVar(&o.json, "json", false, "print JSON")
}

// callAny calls f with a client of each control process in order until one call succeeds.
func callAny[T any](ctx context.Context, o *connectOptions, f func(context.Context, *client.Client) (T, error)) (T,
	error,
) {
	var zero T
	var failures []error
	for a := range strings.SplitSeq(o.control, ",") {
		v, err := f(ctx, client.NewWithKey(strings.TrimSpace(a), seal.Key(o.key)))
		if err == nil {
			return v, nil
		}
		failures = append(failures, err)
	}
	return zero, errors.Join(failures...)
}

// printJSON prints a value as indented JSON.
func printJSON(s *streams, v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}
