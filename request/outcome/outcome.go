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
	// Overload means that there was no capacity for the request in time.
	Overload Reason = "overload"
	// Expired means that the deadline passed.
	Expired Reason = "expired"
	// Cancelled means that the caller cancelled the request.
	Cancelled Reason = "cancelled"
	// NoLease means that the member that owns the request's shard has no lease, or one that ends too soon. Without a
	// valid lease it must not send requests to the shard's targets.
	NoLease Reason = "no-lease"
	// NotOwner means that the member that was to send the request to a target does not own the request's shard, or that
	// no member does.
	NotOwner Reason = "not-owner"
	// NoTarget means that the service has no upstream to which the request may be sent.
	NoTarget Reason = "no-target"
	// Unreachable means that no connection could be used to send the request.
	Unreachable Reason = "unreachable"
	// Shed means that the upstream responded that it did not run the request.
	Shed Reason = "shed"
	// Reset means that the connection broke before a response was received.
	Reset Reason = "reset"
	// Silent means that the upstream did not respond in time, or does not run the request that it was sent.
	Silent Reason = "silent"
	// Truncated means that the response ended early.
	Truncated Reason = "truncated"
	// Crossed means that the response belongs to another request.
	Crossed Reason = "crossed"
	// Unproven means that the upstream gave its response a status that promises that the request did not run, without
	// stating that.
	Unproven Reason = "unproven"
	// TooLarge means that the request or the response is too large.
	TooLarge Reason = "too-large"
	// OwnerGone means that the member that owned the request's shard has left the membership. No process reports it at
	// present.
	OwnerGone Reason = "owner-gone"
	// KeyUnknown means that it is not known whether the request with this idempotency key ran, or that its response was
	// not kept.
	KeyUnknown Reason = "key-unknown"
	// KeyReused means that the idempotency key was used before for a different request.
	KeyReused Reason = "key-reused"
	// Quarantined means that the request is blocked because it may have crashed upstreams.
	Quarantined Reason = "quarantined"
	// NoService means that no service matches the host of the request.
	NoService Reason = "no-service"
	// NoClass means that no class of the service matches the request.
	NoClass Reason = "no-class"
	// Unauthorized means that the request needs an API key and has none that is valid.
	Unauthorized Reason = "unauthorized"
	// Unconfirmed means that this VM can't check an API key, since its copy of the configuration may be out of date.
	Unconfirmed Reason = "unconfirmed"
	// OverAllowance means that the team of the request has used up its allowance.
	OverAllowance Reason = "over-allowance"
	// NoKeeper means that no keeper of the allowance of the request's team answered.
	NoKeeper Reason = "no-keeper"
	// BadRequest means that the request could not be read or is invalid.
	BadRequest Reason = "bad-request"
	// Stopping means that this VM stops before the request may end.
	Stopping Reason = "stopping"
	// InternalError means that handling the request failed by a fault of the program.
	InternalError Reason = "internal-error"
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

// OwnerUnresponsive means that the request was forwarded to the member that owns its shard, and no complete response of
// that member was received. The request may have run.
type OwnerUnresponsive struct{ Reason Reason }

// Rejected means that the request was rejected before it was written to an upstream, and that a retry elsewhere would
// be rejected too. Its name on the wire is "GivenUp".
type Rejected struct{ Reason Reason }

func (Completed) event()         {}
func (NeverWritten) event()      {}
func (Refused) event()           {}
func (Broken) event()            {}
func (OwnerUnresponsive) event() {}
func (Rejected) event()          {}
