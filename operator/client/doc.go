// Package client is an HTTP client for the operator API of control processes.
package client
