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
	compactSlack   = 64      // byArrival may list as many removed records as live ones, plus this many, before it is compacted
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

func (s *recordStore) find(key recordKey) *record { return s.records[key] }

// full reports whether the store has no space for a new record. Records are
// never dropped before their window has passed.
func (s *recordStore) full() bool { return len(s.records) >= maxRecords }

func (s *recordStore) add(now clock.Instant, c *call.Call, window time.Duration) *record {
	r := &record{key: keyOf(c), fingerprint: fingerprint(c), expires: now.Add(window)}
	s.records[r.key] = r
	s.byArrival = append(s.byArrival, r)
	return r
}

// settle records the outcome of a request. Beyond maxRecordBytes the oldest
// answers are dropped; their records stay, so that the requests don't run
// again.
func (s *recordStore) settle(r *record, answer call.Answer) {
	r.job, r.answer = nil, &answer
	if len(answer.Body) == 0 {
		return
	}
	s.bytes += len(answer.Body)
	s.withBody = append(s.withBody, r)
	for s.bytes > maxRecordBytes {
		s.dropBody(s.withBody[0])
		s.withBody = s.withBody[1:]
	}
}

func (s *recordStore) dropBody(r *record) {
	if r.answer != nil {
		s.bytes -= len(r.answer.Body)
		r.answer = nil
	}
}

// forget removes the record of a request that is known not to have run.
func (s *recordStore) forget(r *record) {
	delete(s.records, r.key)
	if len(s.byArrival) > 2*len(s.records)+compactSlack {
		s.compact()
	}
}

func (s *recordStore) compact() {
	kept := s.byArrival[:0]
	for _, r := range s.byArrival {
		if s.records[r.key] == r {
			kept = append(kept, r)
		}
	}
	clear(s.byArrival[len(kept):])
	s.byArrival = kept
}

// expire removes records whose window has passed and whose run has ended, in
// order of arrival, up to the first one that must stay.
func (s *recordStore) expire(now clock.Instant) {
	for len(s.byArrival) > 0 && s.byArrival[0].expires <= now && s.byArrival[0].job == nil {
		r := s.byArrival[0]
		s.byArrival = s.byArrival[1:]
		if s.records[r.key] == r {
			delete(s.records, r.key)
		}
		s.dropBody(r)
	}
	for len(s.withBody) > 0 && s.withBody[0].answer == nil {
		s.withBody = s.withBody[1:]
	}
}
