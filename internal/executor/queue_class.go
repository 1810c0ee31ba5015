package executor

import (
	"time"

	"endivespring/internal/clock"
)

// queueClass holds the queued jobs of equal rank of one operation.
type queueClass struct {
	key classKey
	// jobs are ordered by timer. index is the position in jobQueue.classes while
	// there are jobs.
	jobs  jobHeap
	index int
	// lastJob goes after all others, or is nil if it is not known.
	lastJob *job
	// work is the sum of the expected run times of jobs.
	work time.Duration
	// latestTimer is at least the latest timer of jobs.
	latestTimer clock.Instant
	// arrivals is the work that was queued in the last seconds, timeout its mean time from the
	// arrival to the deadline.
	arrivals decayingRate
	timeout  time.Duration
	// share accounts for the slot time of the jobs; it is nil if shares are not used.
	share *operationShare
	// priority is that of the operation. demoted is set while nested calls have had more than
	// their share, so that they go after others of their priority.
	priority int
	demoted  bool
}

// precedence returns the position of the class among others; a lower one goes first. The factor
// of 2 leaves room for demoted classes between the ranks: they go after direct calls of their
// own priority and before those of the next.
func (q *queueClass) precedence() int {
	if q.demoted {
		return 2*(1+q.priority) + 1
	}
	return 2 * q.key.rank
}

// last returns the job that goes after all others of the class. It scans the jobs only if the
// one before was removed.
func (q *queueClass) last() *job {
	if q.lastJob != nil {
		return q.lastJob
	}
	q.lastJob = q.jobs[0]
	for _, j := range q.jobs[1:] {
		if before(q.lastJob, j) {
			q.lastJob = j
		}
	}
	return q.lastJob
}

// add adds a job.
func (q *queueClass) add(j *job) {
	if len(q.jobs) == 0 || q.lastJob != nil && before(q.lastJob, j) {
		q.lastJob = j
	}
	q.jobs.add(j)
	q.latestTimer = max(q.latestTimer, j.timer)
	q.work += j.work
}

// remove removes a job.
func (q *queueClass) remove(j *job) {
	if q.lastJob == j {
		q.lastJob = nil
	}
	q.jobs.remove(j)
	q.work -= j.work
}

// workBefore returns the expected run times of the jobs that go before one of the same
// rank, which may be queued. Deadlines mostly rise with the time of arrival, and then no job is looked at.
func (q *queueClass) workBefore(j *job) time.Duration {
	if q.latestTimer <= j.timer {
		if j.class == q {
			return q.work - j.work
		}
		return q.work
	}
	var work time.Duration
	for _, other := range q.jobs {
		if before(other, j) {
			work += other.work
		}
	}
	return work
}

// late reports whether the jobs will miss their objective.
func (q *queueClass) late() bool { return q.key.rank >= rankLate }
