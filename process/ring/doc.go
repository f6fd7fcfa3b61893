// Package ring provides bounded queues between goroutines. A full queue never blocks the sender: it rejects the new
// item or drops the oldest one.
package ring
