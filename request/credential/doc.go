// Package credential reads the API key of a request from its Authorization header, and removes from a request the
// headers that only the load balancer may set or see.
package credential
