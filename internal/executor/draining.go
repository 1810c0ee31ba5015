package executor

import (
	"time"

	"endivespring/internal/clock"
)

const (
	// minSlots is the least number of free slots with which a wait is estimated.
	minSlots = 0.01
	// never is a wait that no call has time for.
	never = time.Hour
	// timeoutWeight is the weight of a new sample in the mean timeout of a class.
	timeoutWeight = 0.1
)

// arrived counts the arrival of a job in the rate of its class.
func (q *queueClass) arrived(now clock.Instant, j *job) {
	timeout := j.timer.Sub(now)
	if q.timeout == 0 {
		q.timeout = timeout
	}
	q.timeout += time.Duration(timeoutWeight * float64(timeout-q.timeout))
	q.arrivals.add(now, j.work)
}

// overtakes returns for how long jobs that arrive in the class will go before a job.
func (q *queueClass) overtakes(now clock.Instant, j *job, precedence int) time.Duration {
	switch other := q.precedence(); {
	case other < precedence:
		return never
	case other == precedence:
		return j.timer.Sub(now) - q.timeout
	default:
		return 0
	}
}

// drainTime estimates in which time a number of slots does the given work, and what arrives
// meanwhile and goes before a job. What arrives is estimated from the last seconds.
func (q *jobQueue) drainTime(now clock.Instant, j *job, work time.Duration, slots float64) time.Duration {
	limited := q.overtaking[:0]
	precedence := q.precedenceOf(j)
	for _, class := range q.known {
		until := class.overtakes(now, j, precedence)
		if until <= 0 {
			continue
		}
		rate := class.arrivals.slots(now)
		slots -= rate
		if until < never {
			limited = append(limited, overtaking{slots: rate, until: until})
		}
	}
	q.overtaking = limited
	for {
		wait := never
		if slots > minSlots {
			wait = time.Duration(min(float64(never), float64(work)/slots))
		}
		first := -1
		for i := range limited {
			if limited[i].until < wait && (first < 0 || limited[i].until < limited[first].until) {
				first = i
			}
		}
		if first < 0 {
			return wait
		}
		work += time.Duration(limited[first].slots * float64(limited[first].until))
		slots += limited[first].slots
		limited[first] = limited[len(limited)-1]
		limited = limited[:len(limited)-1]
	}
}
