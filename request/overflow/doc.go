// Package overflow decides which share of a service's requests leaves the VM's data centre, and for which one.
//
// The load that it answers is demand that exceeds the targets of one data centre while others have free slots: demand
// that moves between data centres, targets that are cold, slow or evacuated. All VMs of a data centre decide from the
// same summary of the loads, which is up to a second old (see docs/design/overflow.md).
package overflow
