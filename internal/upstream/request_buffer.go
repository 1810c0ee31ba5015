package upstream

import "io"

// largeWrite is the number of bytes from which on a write to a requestBuffer is not copied.
const largeWrite = 64 << 10

// requestBuffer holds an encoded request, so that it is sent right after the last check of
// lease and deadline. Large writes are kept as they are and must not change until Reset.
type requestBuffer struct {
	// copied holds the small writes, large the large ones: the one at index i follows the
	// first after[i] bytes of copied.
	copied []byte
	large  [][]byte
	after  []int
}

// Write appends bytes.
func (b *requestBuffer) Write(p []byte) (int, error) {
	if len(p) < largeWrite {
		b.copied = append(b.copied, p...)
		return len(p), nil
	}
	b.large = append(b.large, p)
	b.after = append(b.after, len(b.copied))
	return len(p), nil
}

// Reset empties the buffer.
func (b *requestBuffer) Reset() {
	clear(b.large)
	b.copied, b.large, b.after = b.copied[:0], b.large[:0], b.after[:0]
}

// WriteTo writes all bytes in order and returns how many were written.
func (b *requestBuffer) WriteTo(w io.Writer) (int64, error) {
	total, sent := int64(0), 0
	write := func(p []byte) error {
		n, err := w.Write(p)
		total += int64(n)
		return err
	}
	for i, p := range b.large {
		if err := write(b.copied[sent:b.after[i]]); err != nil {
			return total, err
		}
		sent = b.after[i]
		if err := write(p); err != nil {
			return total, err
		}
	}
	if sent == len(b.copied) {
		return total, nil
	}
	err := write(b.copied[sent:])
	return total, err
}
