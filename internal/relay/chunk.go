package relay

import "time"

// chunk is bytes on their way, or the end of a direction if it has none.
type chunk struct {
	data []byte
	// due is when the bytes are at the other end.
	due time.Time
}
