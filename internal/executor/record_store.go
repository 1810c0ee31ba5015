package executor

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivespring/internal/call"
	"endivespring/internal/clock"
)

const (
	maxRecords     = 1 << 16 // ids that a door remembers
	maxRecordBytes = 4 << 20 // bytes of answers' bodies that a door remembers
	compactSlack   = 64      // forgotten records that order may hold beyond the live ones
)

// recordBook holds records until their window has passed, in order of arrival.
type recordStore struct {
	records   map[recordKey]*record
	byArrival []*record
	// settled are records whose answer has a body, the oldest first.
	withBody []*record
	bytes    int
}

func newRecordStore() *recordStore { return &recordStore{records: map[recordKey]*record{}} }

func keyOf(c *call.Call) recordKey { return recordKey{service: c.Service, requestID: c.RequestID} }

// fingerprint returns a hash of what makes a request the same as another.
func fingerprint(c *call.Call) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{c.Operation, c.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

func (b *recordStore) find(key recordKey) *record { return b.records[key] }

// full reports whether no record can be added without forgetting one early.
func (b *recordStore) full() bool { return len(b.records) >= maxRecords }

func (b *recordStore) add(now clock.Instant, c *call.Call, window time.Duration) *record {
	r := &record{key: keyOf(c), fingerprint: fingerprint(c), expires: now.Add(window)}
	b.records[r.key] = r
	b.byArrival = append(b.byArrival, r)
	return r
}

// settle keeps the outcome of a request. Beyond maxRecordBytes the oldest
// bodies are dropped; their ids stay.
func (b *recordStore) settle(r *record, answer call.Answer) {
	r.job, r.answer = nil, &answer
	if len(answer.Body) == 0 {
		return
	}
	b.bytes += len(answer.Body)
	b.withBody = append(b.withBody, r)
	for b.bytes > maxRecordBytes {
		b.dropBody(b.withBody[0])
		b.withBody = b.withBody[1:]
	}
}

func (b *recordStore) dropBody(r *record) {
	if r.answer != nil {
		b.bytes -= len(r.answer.Body)
		r.answer = nil
	}
}

// forget drops the record of a request that is proved not to have run.
func (b *recordStore) forget(r *record) {
	delete(b.records, r.key)
	if len(b.byArrival) > 2*len(b.records)+compactSlack {
		b.compact()
	}
}

func (b *recordStore) compact() {
	kept := b.byArrival[:0]
	for _, r := range b.byArrival {
		if b.records[r.key] == r {
			kept = append(kept, r)
		}
	}
	clear(b.byArrival[len(kept):])
	b.byArrival = kept
}

// expire drops records whose window has passed and whose run has ended.
func (b *recordStore) expire(now clock.Instant) {
	for len(b.byArrival) > 0 && b.byArrival[0].expires <= now && b.byArrival[0].job == nil {
		r := b.byArrival[0]
		b.byArrival = b.byArrival[1:]
		if b.records[r.key] == r {
			delete(b.records, r.key)
		}
		b.dropBody(r)
	}
	for len(b.withBody) > 0 && b.withBody[0].answer == nil {
		b.withBody = b.withBody[1:]
	}
}
