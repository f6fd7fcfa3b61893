// Package witness records which leases one control process granted to whom, so that leases of different epochs exclude
// each other. It does no I/O and reads no clock.
//
// A witness grants under exactly one epoch, the newest it knows. A restarted process has lost the record of its grants,
// so it answers for earlier processes on its address as if each had granted a lease to every member at the time at
// which this process started.
package witness
