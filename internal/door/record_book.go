package door

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
)

// maxRecords bounds the memory of a door's records.
const maxRecords = 1 << 16

// recordBook holds records until their window has passed, in order of arrival.
type recordBook struct {
	records map[recordKey]*record
	order   []*record
}

func newRecordBook() *recordBook { return &recordBook{records: map[recordKey]*record{}} }

func keyOf(c *call.Call) recordKey { return recordKey{service: c.Service, requestID: c.RequestID} }

func (b *recordBook) find(key recordKey) *record { return b.records[key] }

// full reports whether no record can be added without forgetting one early.
func (b *recordBook) full() bool { return len(b.records) >= maxRecords }

func (b *recordBook) add(now clock.Instant, key recordKey, j *job, window time.Duration) *record {
	r := &record{key: key, job: j, expires: now.Add(window)}
	b.records[key] = r
	b.order = append(b.order, r)
	return r
}

// forget drops the record of a request that is proved not to have run.
func (b *recordBook) forget(r *record) { delete(b.records, r.key) }

// expire drops records whose window has passed and whose run has ended.
func (b *recordBook) expire(now clock.Instant) {
	for len(b.order) > 0 && b.order[0].expires <= now && b.order[0].job == nil {
		r := b.order[0]
		b.order = b.order[1:]
		if b.records[r.key] == r {
			delete(b.records, r.key)
		}
	}
}
