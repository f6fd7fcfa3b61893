// Package lease has the holder's side of a lease: which members witness it, and until when their grants make it valid.
//
// It does no I/O and reads no clock.
package lease
