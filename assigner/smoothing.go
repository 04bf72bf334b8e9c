package assigner

import "github.com/lacewingsaddle/lacewingsaddle/keyrange"

const (
	// significantVariances is the squared difference between the counts of two halves of
	// an interval, in variances of counting noise, from which on their loads are
	// estimated as counted. Below it the estimate lies nearer to equal loads.
	significantVariances = 6
	// minCountToDivide is the count below which the load of an interval of keys is
	// estimated to be the same for every key.
	minCountToDivide = 0.25
)

// smoothing estimates the load of each key from few requests.
//
// It answers requests that gather on neighbouring keys within a second or two, when each
// server and each key has been requested a few times only: counts of single keys are then
// mostly noise, and a placement that follows them moves load that is not there. Busy keys
// are close to one another, so neighbours say more about a key than its own count. The
// key space is halved again and again (a multiscale estimate of Poisson rates); where the
// counts of two halves do not differ beyond noise, their keys are estimated to be equally
// busy. A single hot key stands out at every step and keeps its count.
type smoothing struct {
	// sum holds prefix sums: counts to the right of the keys that have been visited,
	// estimates to their left.
	sum []float64
}

// smooth replaces the prefix sums of the keys' counts with those of the estimated loads.
// sum has one element more than there are keys. The total stays the same.
func smooth(sum []float64) {
	s := smoothing{sum: sum}
	s.interval(0, keyrange.KeyCount, sum[0], sum[keyrange.KeyCount], sum[keyrange.KeyCount]-sum[0])
}

// interval estimates the loads of the keys from a to below b, which have load together.
// first and last are the prefix sums of the counts at a and b.
func (s *smoothing) interval(a, b int, first, last, load float64) {
	if b-a == 1 || last-first < minCountToDivide {
		s.spread(a, b, load)
		return
	}
	mid := (a + b) / 2
	middle := s.sum[mid]
	left := load * leftShare(middle-first, last-middle)
	s.interval(a, mid, first, middle, left)
	s.interval(mid, b, middle, last, load-left)
}

// spread divides load equally among the keys from a to below b.
func (s *smoothing) spread(a, b int, load float64) {
	each := load / float64(b-a)
	for i := a; i < b; i++ {
		s.sum[i+1] = s.sum[i] + each
	}
}

// leftShare estimates the left half's share of an interval's load from the counts of both
// halves.
func leftShare(left, right float64) float64 {
	total := left + right
	difference := left - right
	variances := difference * difference / total
	trust := min(variances/significantVariances, 1)
	return 0.5 + trust*(left/total-0.5)
}
