// Package route holds one version of the operators' routing table: which service a request goes to, how often it may be
// sent, and how long it may take.
package route
