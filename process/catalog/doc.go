// Package catalog holds a local copy of what operators, targets and members have written to the store: the routing
// table in force, the registered targets, the evacuated data centres, and the VMs of the system.
package catalog
