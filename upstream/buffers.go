package upstream

import "sync/atomic"

// Buffers bounds the memory of the response bodies that a host buffers at the same
// time. A response that finds no room is streamed instead.
type Buffers struct{ left atomic.Int64 }

// NewBuffers returns a bound of the given number of bytes.
func NewBuffers(bytes int64) *Buffers {
	b := &Buffers{}
	b.left.Store(bytes)
	return b
}

// take reserves n bytes and reports whether there was room for them.
func (b *Buffers) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// put returns n reserved bytes.
func (b *Buffers) put(n int64) { b.left.Add(n) }
