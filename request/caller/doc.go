// Package caller implements the HTTP handler that receives callers' requests and writes the responses.
package caller
