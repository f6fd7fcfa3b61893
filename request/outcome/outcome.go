package outcome

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes sent to callers in a response header.
const (
	// Done means that an upstream ran the request and its whole response was received.
	Done Outcome = "done"
	// NotRun means that no upstream ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request, but no complete and valid response was received.
	Unknown Outcome = "unknown"
)

// Reason states in one word why a request or an attempt did not succeed.
type Reason string

// Reasons sent in responses and written to the logs.
const (
	Overload    Reason = "overload"
	Expired     Reason = "expired"
	Cancelled   Reason = "cancelled"
	NoLease     Reason = "no-lease"
	NotOwner    Reason = "not-owner"
	NoTarget    Reason = "no-target"
	Unreachable Reason = "unreachable"
	Shed        Reason = "shed"
	Reset       Reason = "reset"
	Silent      Reason = "silent"
	Truncated   Reason = "truncated"
	Crossed     Reason = "crossed"
	TooLarge    Reason = "too-large"
	OwnerGone   Reason = "owner-gone"
	KeyUnknown  Reason = "key-unknown"
	KeyReused   Reason = "key-reused"
	Quarantined Reason = "quarantined"
	NoService   Reason = "no-service"
	NoClass     Reason = "no-class"
	BadRequest  Reason = "bad-request"
)

// Event is how one attempt ended. The retry rules distinguish its implementations by type.
type Event interface {
	event()
}

// Completed means that the whole response was received.
type Completed struct{}

// NeverWritten means that no byte of the request was sent to an upstream.
type NeverWritten struct{ Reason Reason }

// Refused means that the upstream responded that it did not run the request.
type Refused struct{ Reason Reason }

// Broken means that at least part of the request was written, but no complete and valid response was received.
type Broken struct{ Reason Reason }

// OwnerLost means that the request was forwarded to the owner of its shard, which did not respond.
type OwnerLost struct{ Reason Reason }

// GivenUp means that the request was rejected before it was written, for a reason that also rules out a retry.
type GivenUp struct{ Reason Reason }

func (Completed) event()    {}
func (NeverWritten) event() {}
func (Refused) event()      {}
func (Broken) event()       {}
func (OwnerLost) event()    {}
func (GivenUp) event()      {}
