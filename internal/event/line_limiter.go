package event

import "time"

// omittedInterval is the least time between lines that count what was left out.
const omittedInterval = time.Second

// lineLimiter bounds the lines of a log by kind of event. Warnings and alarms are
// few by nature, but bounded as well.
type lineLimiter struct {
	quotas      map[quotaKey]*quota
	lastSummary time.Time
}

func newLineLimiter() *lineLimiter { return &lineLimiter{quotas: map[quotaKey]*quota{}} }

// admits reports whether an entry may be written.
func (v *lineLimiter) admits(entry *Entry) bool {
	key := quotaKey{definition: entry.Definition, success: succeeded(entry)}
	q := v.quotas[key]
	if q == nil {
		q = &quota{}
		v.quotas[key] = q
	}
	perSecond := float64(linesPerSecond)
	if key.success {
		perSecond = successesPerSecond
	}
	return q.take(entry.Time, perSecond)
}

// due reports whether it is time to tell what was left out.
func (v *lineLimiter) due(now time.Time) bool { return now.Sub(v.lastSummary) >= omittedInterval }

// omitted returns an entry for each kind of which lines were left out since it
// was told last.
func (v *lineLimiter) omitted(now time.Time) []Entry {
	v.lastSummary = now
	var entries []Entry
	for key, q := range v.quotas {
		if q.omitted > 0 {
			entries = append(entries, Entry{Definition: LinesOmitted, Time: now, Fields: []Field{
				F("kind", key.definition.Name), F("successes", key.success), F("lines", q.omitted),
			}})
			q.omitted = 0
		}
	}
	return entries
}

// succeeded reports whether an entry is about a request that ran.
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
