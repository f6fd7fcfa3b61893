// Package warmup limits the rate at which this VM sends requests to targets in a cold start to its share of the rate
// that all VMs together may send.
package warmup
