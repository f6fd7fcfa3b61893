// Package relay takes a caller's request along its route to targets until there is a final answer.
package relay
