// Command rig2 runs the scripts of the second review: it starts gateways as separate processes, plays the store, the
// targets, the load balancer and the consumers of the users' pages on loopback addresses, and judges one rule.
package main
