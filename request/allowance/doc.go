// Package allowance limits the requests of each team, over all VMs together, to the team's rate and burst.
//
// The allowance of a team is divided among a few members, its keepers. Each Keeper holds a token Bucket with an equal
// part. A VM asks the keepers for tokens with datagrams; a keeper deducts them before it answers, so that tokens in a
// lost datagram are lost and the limit is kept. The Pool of a VM holds the tokens that it has been granted, and the
// requests that wait for one. All three take the time as an argument and do no I/O; the Limiter carries their messages.
// The bound and its derivation are in docs/design/allowances.md.
package allowance
