package metrics

import (
	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// otherName is the label value of services and routes that have no counter of
// their own.
const otherName = "other"

// outcome is the set of label values of a request counter.
type outcome struct {
	verdict        verdict.Verdict
	reason         verdict.Reason
	service, route string
}

func outcomeOf(answer *call.Answer) outcome {
	return outcome{answer.Verdict, answer.Reason, answer.Service, answer.Route}
}

// aggregated returns the outcome with service and route replaced by otherName.
func (o outcome) aggregated() outcome {
	o.service, o.route = otherName, otherName
	return o
}
