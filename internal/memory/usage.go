package memory

import "time"

// Usage is what one user of a budget holds, and how it gets on.
type Usage struct {
	// Bytes is what it holds of the budget, Moved how many bytes it has received or sent.
	Bytes, Moved int
	// Age is the time since it began, Pause that since its last byte.
	Age, Pause time.Duration
}

const (
	// minAge keeps users that have just begun: small requests are read within it.
	minAge = 500 * time.Millisecond
	// longPause is the pause from which on a user is taken for stopped. Packets that are lost
	// and sent again cause shorter ones.
	longPause = time.Second
	// slowTime is how long a user may take to move what it holds, at its average rate.
	slowTime = 10 * time.Second
	// fairRate is the average rate, in bytes a second, from which on a user is not slow, whatever it
	// holds: a large body counts as a whole from its first bytes on.
	fairRate = 64 << 10
)

// paused reports whether the user has stopped for long.
func (u *Usage) paused() bool { return u.Pause >= longPause }

// slow reports whether the memory of the user may be given to others.
func (u *Usage) slow() bool {
	return u.Bytes > 0 && u.Age >= minAge && (u.paused() || u.moveTime() > slowTime.Seconds() && float64(u.Moved) < fairRate*u.Age.Seconds())
}

// moveTime returns the seconds in which as much is moved as is held, at the average rate.
func (u *Usage) moveTime() float64 {
	return float64(u.Bytes) / float64(max(1, u.Moved)) * u.Age.Seconds()
}

// slowerThan reports whether the user is to go before another one.
func (u *Usage) slowerThan(other *Usage) bool {
	if u.paused() || other.paused() {
		return u.Pause > other.Pause
	}
	return u.moveTime() > other.moveTime()
}
