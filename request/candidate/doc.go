// Package candidate chooses the target of each request. Immediately before a request is sent, it probes a few targets
// for their load, since the speed of a target's machine changes many times a second, and chooses the target with the
// lowest expected latency.
//
// A target responds to a probe with a report of its load. A target is cold while it warms up. A service is saturated
// while package admission says so. After a failed attempt to choose one of its targets, requests probe them in turn.
package candidate
