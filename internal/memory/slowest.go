package memory

// Slowest chooses, among the users that are offered, the one whose memory goes to others: one
// that has stopped, the longest pause first, else the slowest one for what it holds. Users that
// have just begun or move at a fair rate are never chosen.
type Slowest[T any] struct {
	user  T
	usage Usage
	found bool
	total int
}

// Offer takes a user into account.
func (s *Slowest[T]) Offer(user T, usage Usage) {
	if !usage.slow() {
		return
	}
	s.total += usage.Bytes
	if !s.found || usage.slowerThan(&s.usage) {
		s.user, s.usage, s.found = user, usage, true
	}
}

// User returns the chosen user, or false if none may be chosen.
func (s *Slowest[T]) User() (T, bool) { return s.user, s.found }

// Total returns what all users hold that may be chosen.
func (s *Slowest[T]) Total() int { return s.total }
