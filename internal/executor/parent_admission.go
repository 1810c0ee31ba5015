package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
)

const (
	// parentTolerance is the largest difference between the deadline of a run and that which
	// a nested call states. Both are rounded to a millisecond on the way, and the request
	// takes a moment.
	parentTolerance = 5 * time.Millisecond
	// parentAmbiguity is the difference between deadlines within which the nearest run need not
	// be the parent: that of rounding to a millisecond twice.
	parentAmbiguity = 2 * time.Millisecond
	// maxWaitAge is the age up to which the wait at a service counts.
	maxWaitAge = time.Second
	// minNestedCalls is the average number of nested calls of a run below which the wait at
	// their service does not decide: refusing nine of ten runs that make none costs more.
	minNestedCalls = 0.1
	// maxNestedOperations bounds the operations and services that are known.
	maxNestedOperations = 64
)

// parentAdmission knows which services the runs of each operation call, and the wait there.
type parentAdmission struct {
	uses  map[string]*nestedUses
	waits map[string]call.ServiceWait
}

func newParentAdmission() *parentAdmission {
	return &parentAdmission{uses: map[string]*nestedUses{}, waits: map[string]call.ServiceWait{}}
}

// learn takes the nested calls of a run that has ended.
func (p *parentAdmission) learn(operation string, run nestedUses) {
	uses := p.uses[operation]
	if uses == nil {
		if len(run) == 0 || len(p.uses) >= maxNestedOperations {
			return
		}
		uses = &nestedUses{}
		p.uses[operation] = uses
	}
	uses.learn(run)
	if len(*uses) == 0 {
		delete(p.uses, operation)
	}
}

// setWait takes the wait at a service.
func (p *parentAdmission) setWait(wait call.ServiceWait) {
	if _, known := p.waits[wait.Service]; known || len(p.waits) < maxNestedOperations {
		p.waits[wait.Service] = wait
	}
}

// refuses reports whether nested calls of an operation would wait for longer than their
// objective.
func (p *parentAdmission) refuses(now clock.Instant, operation string) bool {
	uses := p.uses[operation]
	if uses == nil {
		return false
	}
	for _, use := range *uses {
		wait, known := p.waits[use.service]
		if known && use.calls >= minNestedCalls && now.Sub(wait.ReportedAt) <= maxWaitAge && wait.Wait > use.objective {
			return true
		}
	}
	return false
}

// HandleNestedCall takes a request that the upstream makes for a run. It is counted for the
// run whose stated deadline is nearest to that of the request. It is ignored without any near
// enough, and if runs of two operations are so near that the parent is not certain.
func (c *Core) HandleNestedCall(nested call.NestedCall) {
	var parent *job
	least := parentTolerance + 1
	operation, ambiguous := "", false
	for _, j := range c.timers {
		if j.phase != jobRunning {
			continue
		}
		distance := j.statedDeadline.Sub(nested.ParentDeadline).Abs()
		if distance < least {
			parent, least = j, distance
		}
		if distance <= parentAmbiguity {
			ambiguous = ambiguous || operation != "" && operation != j.call.Operation
			operation = j.call.Operation
		}
	}
	if parent != nil && !ambiguous {
		parent.nested.count(&nested)
	}
}

// SetServiceWait takes the wait at a service that runs call.
func (c *Core) SetServiceWait(wait call.ServiceWait) { c.parents.setWait(wait) }

// refusesParent reports whether a call must not run because of its nested calls. Refusing it
// costs the upstream nothing, while refusing one of its nested calls wastes its run. A call
// that is nested itself has a parent whose run its own refusal would waste.
func (c *Core) refusesParent(now clock.Instant, request *call.Call) bool {
	return c.load.ParentAdmission && request.Method != "" && !request.Nested && c.parents.refuses(now, request.Operation)
}
