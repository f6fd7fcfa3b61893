// Package exchange sends one request on one connection and reads one complete response. It tells whether bytes of the
// request were written, since only an unwritten request surely did not run. The result of an exchange holds an
// outcome.Event, which says how the exchange ended.
package exchange
