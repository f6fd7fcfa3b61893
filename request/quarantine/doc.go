// Package quarantine keeps requests that crash upstreams from being sent to more of them.
//
// Members are the entry processes or the gateways, which receive requests from callers and report crashes to each
// other: entry processes to all others (Broadcast), gateways to a few that count them (Gossip).
//
// A request that was in flight at a target that died becomes a suspect. If it is then sent to another target and that
// one dies too, and so on until enough different targets have died, all members refuse the request for a time that
// doubles each time the request returns and crashes a target again. Simultaneous deaths of several targets that had the
// request in flight prove nothing: only a death in an attempt that began after the death before it counts. A success of
// the request anywhere clears it, and so clears requests that merely shared a target with the one that caused the
// crash.
package quarantine
