// Package warmup bounds the requests that this VM starts at targets in a cold start to its part of what the whole fleet
// may send.
package warmup
