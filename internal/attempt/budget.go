package attempt

const budgetBurst = 10 // retries that may follow each other after a quiet time

// budget is a token bucket filled by requests: a share of them may be retried.
type budget struct{ tokens float64 }

func newBudget() *budget { return &budget{tokens: budgetBurst} }

// earn adds the share that one request brings.
func (b *budget) earn(share float64) { b.tokens = min(budgetBurst, b.tokens+share) }

// spend takes one token and reports whether there was one.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
