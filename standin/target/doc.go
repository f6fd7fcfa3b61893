// Package target is a stand-in for the targets of a gateway: slots, a queue, load reports, and a record of what ran.
package target
