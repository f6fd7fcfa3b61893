// Package cost measures the CPU time and memory that the entry and control processes use, idle and for each call, as
// the operating system reports them.
package cost
