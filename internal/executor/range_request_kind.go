package executor

// RangeRequestKind is what a RangeRequest asks of the upstream.
type RangeRequestKind uint8

const (
	// GrantRange lets the upstream hold a range, or renews its lease.
	GrantRange RangeRequestKind = iota
	// ReleaseRange ends new work on a range. The upstream answers once the work in
	// progress has ended.
	ReleaseRange
)

// String returns the kind's name in logs and metrics.
func (k RangeRequestKind) String() string {
	if k == ReleaseRange {
		return "release"
	}
	return "grant"
}
