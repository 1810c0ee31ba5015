package upstream

import "io"

// answerReserve is the number of bytes of an answer that need no budget, so that
// ordinary answers are read while others have used it up.
const answerReserve = 64 << 10

// answerReader reads from a connection and withdraws what the answer being read needs
// from the budget of all answers.
type answerReader struct {
	source io.Reader
	budget *AnswerBudget
	// received counts the bytes received for the answer, taken those withdrawn from
	// the budget for it.
	received, taken int
}

// Read reads from the connection. It returns errNoMemory once the answer has grown
// beyond what the budget allows.
func (r *answerReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.received += n
	if !r.reserve(r.received) {
		return 0, errNoMemory
	}
	return n, err
}

// reserve withdraws what an answer of the given size needs beyond what was withdrawn
// before, and reports whether that was free.
func (r *answerReader) reserve(bytes int) bool {
	lacking := bytes - answerReserve - r.taken
	if lacking <= 0 {
		return true
	}
	if !r.budget.take(lacking) {
		return false
	}
	r.taken += lacking
	return true
}

// limit returns the largest body that the budget allows now.
func (r *answerReader) limit() int { return answerReserve + r.taken + r.budget.left() }

// release ends the answer and returns what was withdrawn for it.
func (r *answerReader) release() {
	r.budget.give(r.taken)
	r.received, r.taken = 0, 0
}
