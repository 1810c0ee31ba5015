package executor

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"endivespring/internal/call"
	"endivespring/internal/clock"
)

const (
	maxRecords     = 1 << 16 // records kept at once
	maxRecordBytes = 4 << 20 // total size of the bodies of recorded answers
	compactSlack   = 64      // removed records that byArrival may still list beyond the live ones
)

// recordStore holds the deduplication records of an executor until their window
// has passed.
type recordStore struct {
	records   map[recordKey]*record
	byArrival []*record
	// withBody are records whose answer has a body, the oldest first.
	withBody []*record
	bytes    int
}

func newRecordStore() *recordStore { return &recordStore{records: map[recordKey]*record{}} }

func keyOf(c *call.Call) recordKey { return recordKey{service: c.Service, requestID: c.RequestID} }

// fingerprint returns a hash of operation, key and body.
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

// full reports whether the store has no space for a new record. Records are
// never dropped before their window has passed.
func (b *recordStore) full() bool { return len(b.records) >= maxRecords }

func (b *recordStore) add(now clock.Instant, c *call.Call, window time.Duration) *record {
	r := &record{key: keyOf(c), fingerprint: fingerprint(c), expires: now.Add(window)}
	b.records[r.key] = r
	b.byArrival = append(b.byArrival, r)
	return r
}

// settle records the outcome of a request. Beyond maxRecordBytes the oldest
// answers are dropped; their records stay, so that the requests don't run
// again.
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

// forget removes the record of a request that is known not to have run.
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

// expire removes records whose window has passed and whose run has ended.
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
