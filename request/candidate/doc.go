// Package candidate chooses the target of a request: it asks a few targets for their load right before the start, since
// the pace of a target's machine changes many times a second, and takes the one that would answer first.
package candidate
