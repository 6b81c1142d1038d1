package admission

import (
	"expvar"
	"strconv"
	"time"
)

// Counters of all queues of the process. decisionCounts has the keys "started"
// and "refused " followed by the reason. waitCounts is a histogram of waits; its
// keys are "le_" and the bucket's upper bound in milliseconds.
var (
	decisionCounts = expvar.NewMap("admission")
	waitCounts     = expvar.NewMap("admission_wait_ms")
)

const (
	// numWaitBuckets is the number of histogram buckets after the first. The
	// upper bounds are 1 ms, 4 ms, 16 ms, up to 4^10 ms, about 17 minutes.
	numWaitBuckets = 10
	// waitBucketRatio is the ratio of consecutive upper bounds.
	waitBucketRatio = 4
)

// countWait records the wait of a request that got a slot.
func countWait(d time.Duration) {
	decisionCounts.Add("started", 1)
	waitCounts.Add("le_"+strconv.FormatInt(waitBucket(d).Milliseconds(), 10), 1)
}

// waitBucket returns the smallest upper bound that is at least d, or the largest.
func waitBucket(d time.Duration) time.Duration {
	bound := time.Millisecond
	for range numWaitBuckets {
		if d <= bound {
			break
		}
		bound *= waitBucketRatio
	}
	return bound
}

func countRefusal(r Reason) { decisionCounts.Add("refused "+r.String(), 1) }
