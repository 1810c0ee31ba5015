package caller

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// headerEnds is a read time-out that no configuration has.
	headerEnds = 24 * time.Hour
	// headerCostUnit is what each headerCostStep beyond headerEnds stands for, in bytes. A step is
	// longer than what passes until the connection sees the time-out.
	headerCostUnit = 1 << 10
	headerCostStep = time.Minute
)

// BodyReadTimeout returns a read time-out that tells a connection that the header of its request
// was read, and what that takes. Each read of the body is then bounded by the longest pause. The
// library has no other hook between a header and its body that knows the connection.
func BodyReadTimeout(header *fasthttp.RequestHeader) time.Duration {
	return headerEnds + time.Duration(headerCost(header)/headerCostUnit)*headerCostStep
}

// headerEnd reports whether a read time-out is a BodyReadTimeout of which little has passed, and
// for a header of which cost in bytes.
func headerEnd(timeout time.Duration) (cost int, ends bool) {
	if timeout < headerEnds-headerCostStep {
		return 0, false
	}
	return int((timeout-headerEnds+headerCostStep/2)/headerCostStep) * headerCostUnit, true
}
