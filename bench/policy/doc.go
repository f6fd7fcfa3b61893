// Package policy implements load-balancing policies in which each dispatcher chooses targets on its own, without owners
// of shards. They are baselines for the experiments only.
package policy
