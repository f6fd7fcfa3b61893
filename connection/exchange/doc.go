// Package exchange sends one request on one connection and reads one complete response. It tells whether bytes of the
// request were written, since only an unwritten request surely did not run. The result of an exchange holds an
// outcome.Event, which says how the exchange ended.
//
// Each request of an Exchanger carries a new exchange id, which the response repeats, so that a response to an earlier
// request isn't taken for this one's. A TargetClient uses the request id instead. An incarnation of a target is one run
// of its process.
package exchange
