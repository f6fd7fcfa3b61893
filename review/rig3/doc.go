// Command rig3 runs the scripted cases 11 to 15 of the review: it starts gateways as separate processes on loopback
// addresses, and is itself the store of the platform, the targets and the consumers that the users' pages describe.
package main
