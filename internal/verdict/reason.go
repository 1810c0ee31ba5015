package verdict

// Reason is a short, stable code for why a request has its verdict.
type Reason string

// The reasons that appear in answers and events.
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
