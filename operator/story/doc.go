// Package story puts the log lines of one request from several VMs into one account with its cause.
package story
