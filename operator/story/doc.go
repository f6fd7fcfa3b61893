// Package story explains the result of one request from the logs of several VMs: it collects the log lines of the
// request and derives the cause from them.
package story
