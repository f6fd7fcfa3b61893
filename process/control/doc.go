// Package control implements the control process of an entry VM: it maintains the VM's membership and configuration,
// sends both to the entry process over the link, and serves operators.
package control
