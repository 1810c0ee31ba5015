package relay

import "time"

// chunk is a piece of data in transit in one direction. Without data it marks the end
// of the stream.
type chunk struct {
	data []byte
	// due is when the data may be delivered.
	due time.Time
}
