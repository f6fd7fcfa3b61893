// Package link connects the control process and the entry process of a VM by JSON-RPC 2.0 over a loopback connection.
//
// The entry process introduces itself with Link.Hello. The control process then sends a Link.View whenever the state
// that the entry process needs changes. The entry process sends a Link.Status after each view, and announces a planned
// stop with Link.Leave.
package link
