package event

import (
	"context"
	"io"
	"testing"
)

// BenchmarkRequestLine records and writes the line of one answered request, the
// most frequent line.
func BenchmarkRequestLine(b *testing.B) {
	log := NewLog(io.Discard, "bench")
	for b.Loop() {
		log.Record(RequestFinished, F("request", "9c41d07be2a35f68"), F("service", "balances"), F("operation", "r-1"), F("verdict", "ran"),
			F("reason", ""), F("upstream", "i-7f3a91c2"), F("key", 513), F("view", uint64(40)), F("retryAfter", 0))
		entry, err := log.Ring().Take(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		log.writeLine(&entry)
	}
}

// BenchmarkOmittedLine records a line that exceeds the rate limit.
func BenchmarkOmittedLine(b *testing.B) {
	log := NewLog(io.Discard, "bench")
	for b.Loop() {
		log.Record(RequestFinished, F("request", "9c41d07be2a35f68"), F("verdict", "ran"))
		entry, err := log.Ring().Take(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		log.limiter.admits(&entry)
	}
}
