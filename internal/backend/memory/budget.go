// Package memory bounds the memory of an entry host for bytes from backend servers and callers
// that are kept until an event, an answer or a call is complete. A server may send bytes
// without end, and many may do so at once.
package memory

import (
	"cmp"
	"sync/atomic"
)

const (
	// defaultFreeBytes replaces a zero Free.
	defaultFreeBytes = 64 << 10
	// stepBytes is the number of bytes by which they grow beyond that.
	stepBytes = 64 << 10
	// defaultBytes replaces a zero limit.
	defaultBytes = 8 << 20
)

// Budget is the memory that all events and answers of a host share. The zero value
// allows 8 MiB. It is safe for concurrent use.
type Budget struct {
	// Bytes is the number of bytes of all of them together, beyond those that cost
	// nothing. Zero means 8 MiB.
	Bytes int64
	// Free is the number of bytes of each event, answer or body that cost nothing. Nearly
	// all are shorter. Zero means 64 KiB.
	Free int64

	used atomic.Int64
}

// Grow makes held, the bytes of the budget that an event or answer holds, large
// enough for the given number of bytes in all. It reports whether the budget allows
// that. held is zero at first and must be released.
func (b *Budget) Grow(held *int64, bytes int) bool {
	n := int64(bytes) - cmp.Or(b.Free, defaultFreeBytes) - *held
	if n <= 0 {
		return true
	}
	n = (n + stepBytes - 1) / stepBytes * stepBytes
	if b.used.Add(n) > b.limit() {
		b.used.Add(-n)
		return false
	}
	*held += n
	return true
}

// Release gives held back and sets it to zero.
func (b *Budget) Release(held *int64) {
	b.used.Add(-*held)
	*held = 0
}

func (b *Budget) limit() int64 {
	if b.Bytes == 0 {
		return defaultBytes
	}
	return b.Bytes
}
