package archive

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Seed writes a whole configuration as version 1 to an empty platform; the error contains all findings.
func Seed(ctx context.Context, s platform.Store, file string, b []byte) error {
	c, l := config.Check(file, b)
	if err := l.Err(); err != nil {
		return err
	}
	a := New(s, func() string { return "seed" })
	e := Entry{Version: 1, Patch: "seed", Operator: "seed", At: time.Now().UTC(), Summary: "whole configuration"}
	_, err := a.Replace(ctx, Empty(), c, e, nil)
	return err
}
