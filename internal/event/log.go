// Package event defines the numbered events of the system and the duty that
// writes them to the event log.
package event

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"endivespring/internal/ring"
)

const (
	logRingCapacity = 8192 // entries
	timeFormat      = "2006-01-02T15:04:05.000000Z07:00"
)

// Log writes entries as JSON lines. Record puts them on a ring that drops the
// oldest entry when full, so that logging never delays a request.
type Log struct {
	ring   *ring.Ring[Entry]
	logger zerolog.Logger
	// limiter limits the rate of lines; it is used only by Run and Flush.
	limiter *lineLimiter
	// counts holds the occurrences of each event of the catalogue.
	counts []atomic.Int64
}

// NewLog returns a log that writes to w and adds the process name to each line.
// Entries are written by Run and Flush.
func NewLog(w io.Writer, process string) *Log {
	return &Log{
		ring:    ring.New[Entry]("event-log", logRingCapacity, ring.DropOldest),
		logger:  zerolog.New(w).With().Str("process", process).Logger(),
		limiter: newLineLimiter(),
		counts:  make([]atomic.Int64, len(catalogue)),
	}
}

// Record appends an occurrence of the event without blocking.
func (l *Log) Record(definition *Definition, fields ...Field) {
	l.counts[definition.index].Add(1)
	entry := Entry{Definition: definition, Time: time.Now(), Fields: fields}
	_ = l.ring.Put(context.Background(), entry)
}

// Ring returns the ring between Record and Run.
func (l *Log) Ring() *ring.Ring[Entry] { return l.ring }

// Count returns how often an event was recorded, dropped entries included.
func (l *Log) Count(definition *Definition) int64 { return l.counts[definition.index].Load() }

// Dropped returns how many entries were discarded because the ring was full.
// Lines omitted by the rate limit are not included.
func (l *Log) Dropped() int64 { return l.ring.Dropped() }

// Run writes entries until the context ends and then those that are left. Later
// entries of other duties are written by Flush.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case entry := <-l.ring.Out():
			l.write(entry)
		case <-ctx.Done():
			l.Flush()
			return nil
		}
	}
}

// Flush writes the buffered entries. It must not run concurrently with Run.
func (l *Log) Flush() {
	for l.ring.Depth() > 0 {
		l.write(<-l.ring.Out())
	}
	l.writeOmitted(time.Now())
}

// write writes an entry if the rate limit of its kind allows it, and the counts
// of omitted lines when they are due.
func (l *Log) write(entry Entry) {
	if l.limiter.admits(&entry) {
		l.writeLine(&entry)
	}
	if l.limiter.due(entry.Time) {
		l.writeOmitted(entry.Time)
	}
}

// writeOmitted writes a line with the count of omitted lines for each kind.
func (l *Log) writeOmitted(now time.Time) {
	for _, entry := range l.limiter.omitted(now) {
		l.writeLine(&entry)
	}
}

func (l *Log) writeLine(entry *Entry) {
	line := l.logger.WithLevel(zerologLevel(entry.Definition.Level))
	line = line.Str("time", entry.Time.UTC().Format(timeFormat)).Int("event", entry.Definition.Number)
	for _, field := range entry.Fields {
		line = appendField(line, field)
	}
	line.Msg(entry.Definition.Name)
}

func appendField(line *zerolog.Event, field Field) *zerolog.Event {
	switch value := field.Value.(type) {
	case string:
		return line.Str(field.Name, value)
	case error:
		return line.Str(field.Name, value.Error())
	case time.Duration:
		return line.Str(field.Name, value.String())
	case int:
		return line.Int(field.Name, value)
	case int64:
		return line.Int64(field.Name, value)
	case uint32:
		return line.Uint32(field.Name, value)
	case uint64:
		return line.Uint64(field.Name, value)
	case bool:
		return line.Bool(field.Name, value)
	default:
		return line.Interface(field.Name, value)
	}
}

func zerologLevel(level Level) zerolog.Level {
	switch level {
	case Info:
		return zerolog.InfoLevel
	case Warn:
		return zerolog.WarnLevel
	default:
		return zerolog.ErrorLevel
	}
}
