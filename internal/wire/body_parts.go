package wire

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/wire/wirepb"
)

const (
	// MaxInlineBody is the largest body, in bytes, that is sent with its call. Larger ones
	// follow in parts.
	MaxInlineBody = 64 << 10
	// bodyPart is the size of a part in bytes. Other messages go between parts, also over
	// narrow links.
	bodyPart = 32 << 10
)

// FromCallHead converts a call to its message, without the body, which follows in parts.
func FromCallHead(c *call.Call, now clock.Instant) *wirepb.Call {
	head := *c
	head.Body = nil
	out := FromCall(&head, now)
	out.BodyLength = uint64(len(c.Body))
	return out
}

// NextPart returns the message with the next part of the rest of a body, and what is left
// after it.
func NextPart(number uint64, rest []byte) (part *wirepb.BodyPart, left []byte) {
	size := min(bodyPart, len(rest))
	return &wirepb.BodyPart{Number: number, Data: rest[:size]}, rest[size:]
}
