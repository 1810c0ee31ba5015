package verdict

// Reason is a stable code that says why a request has its verdict. It is part
// of the protocol with callers and of events.
type Reason string

// The reasons in answers and events. ReasonNone means that there is none, as in
// an answer of the upstream itself.
const (
	ReasonNone            Reason = ""
	ReasonNoPreset        Reason = "no-preset"
	ReasonViewStale       Reason = "view-stale"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonUnknownRoute    Reason = "unknown-route"
	ReasonUnknownOp       Reason = "unknown-operation"
	ReasonMissingKey      Reason = "missing-key"
	ReasonBadRequest      Reason = "bad-request"
	ReasonHeaderTooLarge  Reason = "header-too-large"
	ReasonBodyTooLarge    Reason = "body-too-large"
	ReasonNoUpstream      Reason = "no-upstream"
	ReasonNoOwner         Reason = "no-owner"
	ReasonNotOwner        Reason = "not-owner"
	ReasonLeaseExpired    Reason = "lease-expired"
	ReasonOverloaded      Reason = "overloaded"
	ReasonDeadline        Reason = "deadline"
	ReasonShed            Reason = "shed"
	ReasonStopping        Reason = "stopping"
	ReasonConnection      Reason = "connection"
	ReasonUpstreamGone    Reason = "upstream-gone"
	ReasonUnreachable     Reason = "unreachable"
	ReasonRequestExpired  Reason = "request-expired"
	ReasonDuplicate       Reason = "duplicate"
	ReasonRecordLost      Reason = "record-lost"
	ReasonTruncated       Reason = "truncated"
	ReasonCancelled       Reason = "cancelled"
	ReasonUpstreamFailure Reason = "upstream-failure"
	ReasonFenced          Reason = "fenced"
)
