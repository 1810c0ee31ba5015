package upstream

import (
	"io"

	"endivespring/internal/memory"
)

// answerReserve is the number of bytes of an answer that need no budget, so that
// ordinary answers are read while others have used it up.
const answerReserve = 64 << 10

// answerReader reads from a connection and withdraws what the answer being read needs
// from the budget of all answers.
type answerReader struct {
	source io.Reader
	budget *memory.Budget
	memory *memory.Reservation
	// received counts the bytes received for the answer.
	received int
}

func newAnswerReader(source io.Reader, budget *memory.Budget) *answerReader {
	return &answerReader{source: source, budget: budget, memory: budget.Reserve()}
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
func (r *answerReader) reserve(bytes int) bool { return r.memory.Grow(bytes - answerReserve) }

// limit returns the largest body that the budget allows now.
func (r *answerReader) limit() int { return answerReserve + r.memory.Taken() + r.budget.Left() }

// release ends the answer and returns what was withdrawn for it.
func (r *answerReader) release() {
	r.memory.Release()
	r.received = 0
}
