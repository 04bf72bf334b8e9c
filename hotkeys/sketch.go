package hotkeys

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	rows  = 4
	width = 1 << 14 // counters per row
	slots = 1 << 12 // slots for tracked keys
	// sampleInterval is the number of requests that one counted request stands for.
	// Sampling reduces contention for the counters; hot keys are still counted often
	// enough.
	sampleInterval = 4
	maxKeySize     = 512 // in bytes; longer keys are counted but not tracked
	// A key is tracked from a share of 1/trackedShareDivisor of the counted requests
	// on, and from minTrackedCount counted requests on.
	trackedShareDivisor = 1 << 14
	minTrackedCount     = 8
)

// sketch is a count-min sketch (Cormode and Muthukrishnan, 2005) that also stores
// the keys of heavy hitters. decay halves every counter, so that the weight of old
// requests decreases exponentially.
type sketch struct {
	counters  [rows][width]atomic.Uint32
	tracked   [slots]atomic.Pointer[trackedKey]
	threshold atomic.Uint32
	random    func() uint32 // random numbers for sampling
	mu        sync.Mutex    // serialises writes to tracked
}

// trackedKey is a key whose count has reached the threshold. It is immutable.
type trackedKey struct {
	hash uint64
	key  string
}

func newSketch(random func() uint32) *sketch {
	s := &sketch{random: random}
	s.threshold.Store(minTrackedCount)
	return s
}

// columns returns the counter of each row for a hash, by double hashing (Kirsch and
// Mitzenmacher, 2006).
func columns(hash uint64) [rows]uint32 {
	a, b := uint32(hash), uint32(hash>>32)|1
	var out [rows]uint32
	for i := range out {
		out[i] = (a + uint32(i)*b) % width
	}
	return out
}

// candidateSlots returns the two slots in which a key with this hash may be tracked.
func candidateSlots(hash uint64) (a, b uint64) {
	return (hash >> 20) % slots, (hash >> 44) % slots
}

func (s *sketch) record(key string) {
	if s.random()%sampleInterval != 0 {
		return
	}
	s.count(key)
}

func (s *sketch) count(key string) {
	hash := xxhash.Sum64String(key)
	least := ^uint32(0)
	for row, c := range columns(hash) {
		least = min(least, s.counters[row][c].Add(1))
	}
	if least < s.threshold.Load() || s.isTracked(hash) {
		return
	}
	s.track(hash, key, least)
}

func (s *sketch) isTracked(hash uint64) bool {
	a, b := candidateSlots(hash)
	return s.tracked[a].Load().hasHash(hash) || s.tracked[b].Load().hasHash(hash)
}

func (k *trackedKey) hasHash(hash uint64) bool { return k != nil && k.hash == hash }

// track stores key in the emptier of its two slots, that is, the one whose key has
// the lower count. A key with at least the same count is not replaced.
func (s *sketch) track(hash uint64, key string, count uint32) {
	if len(key) > maxKeySize {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a, b := candidateSlots(hash)
	slot, lowest := a, s.countOf(s.tracked[a].Load())
	if n := s.countOf(s.tracked[b].Load()); n < lowest {
		slot, lowest = b, n
	}
	if s.isTracked(hash) || lowest >= count {
		return
	}
	s.tracked[slot].Store(&trackedKey{hash: hash, key: strings.Clone(key)})
}

func (s *sketch) countOf(k *trackedKey) uint32 {
	if k == nil {
		return 0
	}
	return s.estimate(k.hash)
}

func (s *sketch) estimate(hash uint64) uint32 {
	least := ^uint32(0)
	for row, c := range columns(hash) {
		least = min(least, s.counters[row][c].Load())
	}
	return least
}

func (s *sketch) total() uint64 {
	var sum uint64
	for i := range s.counters[0] {
		sum += uint64(s.counters[0][i].Load())
	}
	return sum
}

// decay halves every counter and drops tracked keys whose count is below half the
// threshold. A request that is counted at the same moment may be lost, which later
// requests make up for.
func (s *sketch) decay() {
	for row := range s.counters {
		for i := range s.counters[row] {
			c := &s.counters[row][i]
			c.Store(c.Load() / 2)
		}
	}
	s.threshold.Store(uint32(max(s.total()/trackedShareDivisor, minTrackedCount)))
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.tracked {
		if n := s.tracked[i].Load(); n != nil && s.estimate(n.hash) < s.threshold.Load()/2 {
			s.tracked[i].Store(nil)
		}
	}
}

// top returns the n most requested of the tracked keys.
func (s *sketch) top(n int) Summary {
	out := Summary{Total: s.total() * sampleInterval}
	for i := range s.tracked {
		if x := s.tracked[i].Load(); x != nil {
			out.Keys = append(out.Keys, Count{Key: x.key, Requests: uint64(s.estimate(x.hash)) * sampleInterval})
		}
	}
	out.keepTop(n)
	return out
}

// keepTop sorts the keys by requests, highest first, and drops all but the first n.
func (s *Summary) keepTop(n int) {
	slices.SortFunc(s.Keys, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Key, b.Key))
	})
	s.Keys = slices.Clip(s.Keys[:min(n, len(s.Keys))])
}

// Merge adds up the counts of several hosts and keeps the n most requested keys.
func Merge(summaries []Summary, n int) Summary {
	var out Summary
	sum := map[string]uint64{}
	for _, s := range summaries {
		out.Total += s.Total
		for _, c := range s.Keys {
			sum[c.Key] += c.Requests
		}
	}
	for key, requests := range sum {
		out.Keys = append(out.Keys, Count{Key: key, Requests: requests})
	}
	out.keepTop(n)
	return out
}
