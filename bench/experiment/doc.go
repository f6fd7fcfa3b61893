// Package experiment compares the system with baselines under the same arrivals and service times, and measures the
// latency that the system adds to a call.
package experiment
