// Package view holds the state of the fleet as an entry process knows it: the members, the configuration and its own
// member's lease.
package view
