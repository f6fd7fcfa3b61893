// Package target is a test double of the targets of a gateway, with slots, a queue, load reports and a log of the
// requests that ran.
package target
