// Package candidate chooses the target of each request. Immediately before a request is sent, it probes a few targets
// for their load, since the speed of a target's machine changes many times a second, and chooses the target with the
// lowest expected latency.
package candidate
