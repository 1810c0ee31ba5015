package event

import "time"

// omittedInterval is the minimum time between lines that count omitted lines.
const omittedInterval = time.Second

// lineLimiter limits the rate of a log's lines by kind of event. It applies to
// warnings and alarms as well, although they are rare.
type lineLimiter struct {
	quotas      map[quotaKey]*quota
	lastSummary time.Time
}

func newLineLimiter() *lineLimiter { return &lineLimiter{quotas: map[quotaKey]*quota{}} }

// admits reports whether an entry may be written, and counts it as omitted if
// not.
func (l *lineLimiter) admits(entry *Entry) bool {
	key := quotaKey{definition: entry.Definition, success: succeeded(entry)}
	q := l.quotas[key]
	if q == nil {
		q = &quota{}
		l.quotas[key] = q
	}
	perSecond := float64(linesPerSecond)
	if key.success {
		perSecond = successesPerSecond
	}
	return q.take(entry.Time, perSecond)
}

// due reports whether it is time to write the counts of omitted lines.
func (l *lineLimiter) due(now time.Time) bool { return now.Sub(l.lastSummary) >= omittedInterval }

// omitted returns an entry for each kind of which lines were omitted since the
// last call, and resets the counts.
func (l *lineLimiter) omitted(now time.Time) []Entry {
	l.lastSummary = now
	var entries []Entry
	for key, q := range l.quotas {
		if q.omitted > 0 {
			entries = append(entries, Entry{Definition: LinesOmitted, Time: now, Fields: []Field{
				F("kind", key.definition.Name), F("successes", key.success), F("lines", q.omitted),
			}})
			q.omitted = 0
		}
	}
	return entries
}

// succeeded reports whether an entry counts towards the limit for successes: its
// verdict is ran, or it is a request-routed event, which has no verdict yet.
func succeeded(entry *Entry) bool {
	if entry.Definition == RequestRouted {
		return true
	}
	for _, field := range entry.Fields {
		if field.Name == "verdict" {
			return field.Value == "ran"
		}
	}
	return false
}
