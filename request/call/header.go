package call

import "net/http"

// Headers exchanged with callers, upstreams and peers; docs/INTERFACES.md describes each of them.
const (
	HeaderRequestID = "Amaranthramp-Request-Id"
	// HeaderExchangeID identifies one attempt. The response to the attempt must repeat it.
	HeaderExchangeID = "Amaranthramp-Exchange-Id"
	HeaderOutcome    = "Amaranthramp-Outcome"
	HeaderReason     = "Amaranthramp-Reason"
	HeaderAttempt    = "Amaranthramp-Attempt"
	HeaderDeadline   = "Amaranthramp-Deadline-Ms"
	HeaderLoad       = "Amaranthramp-Load"
	// HeaderLeaving is set by an upstream that is about to stop and must get no further requests.
	HeaderLeaving    = "Amaranthramp-Leaving"
	HeaderKey        = "Idempotency-Key"
	HeaderRetryAfter = "Retry-After"
	// HeaderRetryAfterMs carries the delay of HeaderRetryAfter in milliseconds, since Retry-After has whole seconds only.
	HeaderRetryAfterMs = "Amaranthramp-Retry-After-Ms"
	// HeaderIncarnation identifies the current run of an upstream's process, so that the first response after a restart
	// reveals the restart.
	HeaderIncarnation = "Amaranthramp-Incarnation"
	// The headers below are exchanged between peers only.
	HeaderService = "Amaranthramp-Service"
	HeaderClass   = "Amaranthramp-Class"
	HeaderShard   = "Amaranthramp-Shard"
	HeaderEpoch   = "Amaranthramp-Epoch"
	// HeaderObjective holds the milliseconds left until the response begins to lose value, and HeaderMaxAttempts how many
	// targets the call may still be sent to.
	HeaderObjective   = "Amaranthramp-Objective-Ms"
	HeaderMaxAttempts = "Amaranthramp-Max-Attempts"
	// HeaderEvent names the event of package outcome that ended the last attempt.
	HeaderEvent  = "Amaranthramp-Event"
	HeaderMember = "Amaranthramp-Member"
	// HeaderMessage is the kind of a message between members. It is absent if a call is forwarded.
	HeaderMessage = "Amaranthramp-Message"
	// HeaderCredential holds the API key of the caller of a forwarded call. HeaderTeamService then holds the service in
	// place of HeaderService: a member of an older build, which would pass the key on to a target, refuses a call without
	// a service.
	HeaderCredential  = "Amaranthramp-Credential"
	HeaderTeamService = "Amaranthramp-Team-Service"
)

// MaxBody is the largest size in bytes of a request body and of a response body, each of which is buffered in memory.
const MaxBody = 4 << 20

// CopyIDs copies into the response headers the identifiers that a response must repeat from its request.
func CopyIDs(answer, request http.Header) {
	answer.Set(HeaderRequestID, request.Get(HeaderRequestID))
	answer.Set(HeaderExchangeID, request.Get(HeaderExchangeID))
}
