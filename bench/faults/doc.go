// Package faults runs a table of fault injection tests on real processes: each row says what fails, and what must hold
// nevertheless.
package faults
