package routing

import (
	"sync/atomic"
	"time"
)

const (
	// latencyBuckets is the number of buckets of a histogram of latencies;
	// bucketsPerPower of them divide the interval between two powers of two.
	latencyBuckets  = 64
	bucketsPerPower = 4
	// shortestLatency is the lower bound of the first bucket.
	shortestLatency = 100 * time.Microsecond
	// decayInterval is the number of answers after which every count is halved, so
	// that old ones lose weight.
	decayInterval = 1024
	// hedgeQuantile is the quantile of the latencies after which a lookup is sent a
	// second time.
	hedgeQuantile = 0.95
	// initialHedgeDelay replaces that latency until minHedgeAnswers were seen.
	initialHedgeDelay = 50 * time.Millisecond
	minHedgeAnswers   = 20
)

// latencyQuantile estimates the hedgeQuantile of latencies from a histogram. It is
// safe for concurrent use.
type latencyQuantile struct {
	counts [latencyBuckets]atomic.Int64
	total  atomic.Int64
}

// add counts the latency of an answer.
func (q *latencyQuantile) add(d time.Duration) {
	q.counts[latencyBucket(d)].Add(1)
	if q.total.Add(1)%decayInterval != 0 {
		return
	}
	for i := range q.counts {
		half := q.counts[i].Load() / 2
		q.counts[i].Add(-half)
	}
}

// estimate returns the upper bound of the bucket that holds the quantile.
func (q *latencyQuantile) estimate() time.Duration {
	var counts [latencyBuckets]int64
	var total int64
	for i := range q.counts {
		counts[i] = q.counts[i].Load()
		total += counts[i]
	}
	if total < minHedgeAnswers {
		return initialHedgeDelay
	}
	rest := int64(float64(total) * (1 - hedgeQuantile))
	for i := latencyBuckets - 1; i > 0; i-- {
		rest -= counts[i]
		if rest < 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(0)
}

// latencyBucket returns the first bucket whose upper bound is not below d, or the
// last bucket.
func latencyBucket(d time.Duration) int {
	for i := range latencyBuckets - 1 {
		if d <= bucketUpperBound(i) {
			return i
		}
	}
	return latencyBuckets - 1
}

// bucketUpperBound returns the upper bound of bucket i. The intervals between
// powers of two times shortestLatency are divided into bucketsPerPower buckets each.
func bucketUpperBound(i int) time.Duration {
	power := time.Duration(1) << (i / bucketsPerPower)
	step := time.Duration(i%bucketsPerPower + 1)
	return shortestLatency * power * (bucketsPerPower + step) / bucketsPerPower
}
