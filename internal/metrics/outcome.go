package metrics

import (
	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// otherName stands for services and routes beyond those that are counted apart.
const otherName = "other"

// outcome is what requests are counted by.
type outcome struct {
	verdict        verdict.Verdict
	reason         verdict.Reason
	service, route string
}

func outcomeOf(answer *call.Answer) outcome {
	return outcome{answer.Verdict, answer.Reason, answer.Service, answer.Route}
}

// merged returns the outcome without telling services and routes apart.
func (o outcome) merged() outcome {
	o.service, o.route = otherName, otherName
	return o
}
