// Package partition detects that this VM has no path to the targets of a service while its process and the rest of its
// network work.
//
// A contact with a target is a probe, a dial or a request. Any response shows that there is a path. A VM is partitioned
// from a service while several targets in a row have left its contacts without a response.
package partition
