// Package route provides one version of the operators' routing table: the service that a request is sent to, the number
// of targets that it may be tried on, and its time limits.
package route
