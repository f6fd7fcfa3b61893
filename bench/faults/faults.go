package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
)

// ErrFailed means that at least one row of the table failed.
var ErrFailed = errors.New("faults: rows failed")

// RunAll runs the rows with the given names, or all rows if there are none, one after the other, and prints a line for
// each.
func RunAll(ctx context.Context, w Environment, names []string, out io.Writer) error {
	rows, err := selectRows(names)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "Seed %d\n%-26s %-6s %8s %7s %8s %8s %5s %8s  %s\n", w.Seed, "Row", "Held", "Requests",
		"Done", "Not-run", "Unknown", "Cut", "Goodput", "What was wrong")
	failed := 0
	for i := range rows {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		at := w
		at.Work = filepath.Join(w.Work, rows[i].Name)
		if !rows[i].print(ctx, at, out) {
			failed++
		}
	}
	_, _ = fmt.Fprintf(out, "%d rows held, %d failed\n", len(rows)-failed, failed)
	if failed > 0 {
		return ErrFailed
	}
	return nil
}

// selectRows returns the rows with the given names, or all rows if there are none.
func selectRows(names []string) ([]Row, error) {
	if len(names) == 0 {
		return Table(), nil
	}
	var l []Row
	for _, n := range names {
		r, ok := Find(n)
		if !ok {
			return nil, fmt.Errorf("unknown row %q", n)
		}
		l = append(l, r)
	}
	return l, nil
}

// print runs one row, prints its line and reports whether it passed.
func (r *Row) print(ctx context.Context, w Environment, out io.Writer) bool {
	t, wrong, err := r.Run(ctx, w)
	if err != nil {
		_, _ = fmt.Fprintf(out, "%-26s %-6s %v\n", r.Name, "error", err)
		return false
	}
	verdict := "yes"
	if len(wrong) > 0 {
		verdict = "NO"
	}
	s := t.Result.Total()
	_, _ = fmt.Fprintf(out, "%-26s %-6s %8d %7d %8d %8d %5d %8.3f  %s\n", r.Name, verdict, s.Requests,
		s.Outcomes["done"], s.Outcomes["not-run"], s.Outcomes["unknown"], s.Outcomes["cut"], t.Result.Goodput(),
		strings.Join(wrong, "; "))
	if w.PrintTraces {
		t.WriteTraces(out)
	}
	return len(wrong) == 0
}
