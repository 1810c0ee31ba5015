package executor

import (
	"time"

	"endivespring/internal/clock"
)

// maxClasses is the number of classes above which those without jobs are forgotten with
// their rates. A service has three for each route: nested, direct and late calls.
const maxClasses = 256

// jobQueue holds the queued jobs, one heap for each class. A choice or a sum goes over the
// classes with jobs, not over the jobs.
type jobQueue struct {
	// classes are those with jobs, in no order; known also has empty ones.
	classes []*queueClass
	known   []*queueClass
	byKey   map[classKey]*queueClass
	length  int
	// work is the sum of the expected run times of all jobs, lateWork of the late ones.
	work     time.Duration
	lateWork time.Duration
	// overtaking is reused by drainTime.
	overtaking []overtaking
}

func newJobQueue() *jobQueue { return &jobQueue{byKey: map[classKey]*queueClass{}} }

// class returns the class of a key, created on first use.
func (q *jobQueue) class(key classKey) *queueClass {
	class := q.byKey[key]
	if class != nil {
		return class
	}
	if len(q.known) >= maxClasses {
		q.known = append(q.known[:0], q.classes...)
		clear(q.byKey)
		for _, c := range q.known {
			q.byKey[c.key] = c
		}
	}
	class = &queueClass{key: key}
	q.known = append(q.known, class)
	q.byKey[key] = class
	return class
}

// add queues a job under the operation by which it is accounted.
func (q *jobQueue) add(j *job) {
	class := q.class(keyOfClass(j))
	class.share, class.priority = j.share, j.call.Priority
	if len(class.jobs) == 0 {
		class.index, class.latestTimer = len(q.classes), 0
		q.classes = append(q.classes, class)
	}
	j.class = class
	class.add(j)
	q.count(j, j.work, 1)
}

// remove removes a job if it is queued.
func (q *jobQueue) remove(j *job) {
	class := j.class
	if class == nil {
		return
	}
	j.class = nil
	class.remove(j)
	if len(class.jobs) == 0 {
		end := len(q.classes) - 1
		q.classes[class.index] = q.classes[end]
		q.classes[class.index].index = class.index
		q.classes[end] = nil
		q.classes = q.classes[:end]
	}
	q.count(j, -j.work, -1)
}

func (q *jobQueue) count(j *job, work time.Duration, jobs int) {
	q.length += jobs
	q.work += work
	if j.rank >= rankLate {
		q.lateWork += work
	}
}

// first returns the job that goes before all others, or nil.
func (q *jobQueue) first() *job {
	var first *queueClass
	for _, class := range q.classes {
		if first == nil || class.precedence() < first.precedence() || class.precedence() == first.precedence() && before(class.jobs[0], first.jobs[0]) {
			first = class
		}
	}
	if first == nil {
		return nil
	}
	return first.jobs[0]
}

// precedenceOf returns the precedence of the class that a job is or would be in.
func (q *jobQueue) precedenceOf(j *job) int {
	class := j.class
	if class == nil && j.call.Nested {
		class = q.byKey[keyOfClass(j)]
	}
	if class == nil {
		return 2 * j.rank
	}
	return class.precedence()
}

// collect appends to list the jobs for which the given function holds.
func (q *jobQueue) collect(list []*job, holds func(*job) bool) []*job {
	for _, class := range q.classes {
		for _, j := range class.jobs {
			if holds(j) {
				list = append(list, j)
			}
		}
	}
	return list
}

// earliestStartBy returns the earliest time by which a job must start.
func (q *jobQueue) earliestStartBy() clock.Instant {
	earliest := clock.Never
	for _, class := range q.classes {
		for _, j := range class.jobs {
			earliest = min(earliest, j.startBy)
		}
	}
	return earliest
}

// ahead returns the expected run times and a number of the jobs that go before a job. The
// number is at least 1 if there are any; it includes jobs of the same rank that go after it.
func (q *jobQueue) ahead(j *job) (work time.Duration, jobs int) {
	precedence := q.precedenceOf(j)
	for _, class := range q.classes {
		switch other := class.precedence(); {
		case other < precedence:
			work, jobs = work+class.work, jobs+len(class.jobs)
		case other == precedence && before(class.jobs[0], j):
			work, jobs = work+class.workBefore(j), jobs+len(class.jobs)
		}
	}
	return work, jobs
}

// lastClass returns the class with the highest precedence, or nil. Of several, it is the one with
// the last job.
func (q *jobQueue) lastClass(allowed func(*queueClass) bool) *queueClass {
	var last *queueClass
	for _, class := range q.classes {
		if !allowed(class) {
			continue
		}
		if last == nil || class.precedence() > last.precedence() || class.precedence() == last.precedence() && before(last.last(), class.last()) {
			last = class
		}
	}
	return last
}
