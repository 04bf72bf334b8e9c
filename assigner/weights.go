package assigner

import (
	"sort"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// uniformShare is the extra load that is spread evenly over all keys, relative to the
// counted load, to allow for keys that have not been requested yet.
const uniformShare = 0.15

// weights holds the prefix sums of the load of a service's keys.
type weights struct {
	sum      []float64 // sum[i] is the load of the keys below i
	total    float64
	requests float64 // decayed request count, without the even share
}

// newWeights returns the weights of a service's keys.
func newWeights(l *keyLoads) *weights {
	w := &weights{sum: make([]float64, keyrange.KeyCount+1), requests: l.total}
	even := uniformShare*l.total/float64(keyrange.KeyCount) + 1/float64(keyrange.KeyCount)
	for i, c := range l.count {
		w.sum[i+1] = w.sum[i] + float64(c) + even
	}
	w.total = w.sum[keyrange.KeyCount]
	return w
}

// rangeLoad returns the load of the keys from a to b, both inclusive.
func (w *weights) rangeLoad(a, b keyrange.Key) float64 { return w.sum[int(b)+1] - w.sum[a] }

// keyAtLoad returns the first key k in [a, b] at which the load of [a, k] is at least
// load, or b.
func (w *weights) keyAtLoad(a, b keyrange.Key, load float64) keyrange.Key {
	want := w.sum[a] + load
	n := int(b) - int(a)
	i := sort.Search(n, func(i int) bool { return w.sum[int(a)+i+1] >= want })
	return a + keyrange.Key(i)
}
