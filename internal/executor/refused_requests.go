package executor

// maxRefusedRequests is the number of refused requests that an executor remembers.
const maxRefusedRequests = 4096

// refusedRequests holds the IDs of the requests that the upstream refused last. A second
// refusal of one of them may be the first one written once more.
type refusedRequests struct {
	known map[string]bool
	// order is a ring buffer of the IDs; oldest is the index of the oldest one once the
	// buffer is full.
	order  []string
	oldest int
}

func newRefusedRequests() *refusedRequests { return &refusedRequests{known: map[string]bool{}} }

// add records a refusal and forgets the oldest one above maxRefusedRequests.
func (r *refusedRequests) add(id string) {
	if r.known[id] {
		return
	}
	r.known[id] = true
	if len(r.order) < maxRefusedRequests {
		r.order = append(r.order, id)
		return
	}
	delete(r.known, r.order[r.oldest])
	r.order[r.oldest] = id
	r.oldest = (r.oldest + 1) % maxRefusedRequests
}

// has reports whether the upstream refused a request before.
func (r *refusedRequests) has(id string) bool { return r.known[id] }
