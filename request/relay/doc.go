// Package relay sends a caller's request to the targets of its route, with retries, until there is a final response.
package relay
