package admission

import (
	"expvar"
	"strconv"
	"time"
)

// The counters of all queues of the process: "started", and "refused " with the
// reason. The waits are counted by their upper bound in milliseconds.
var (
	counts = expvar.NewMap("admission")
	waits  = expvar.NewMap("admission_wait_ms")
)

const (
	// waitBuckets bounds the upper bounds of waits: 1 ms, 4 ms, up to 4^10 ms,
	// some 17 minutes.
	waitBuckets = 10
	// waitFactor is the ratio of neighbouring bounds.
	waitFactor = 4
)

// countWait counts a wait that ended with a slot.
func countWait(d time.Duration) {
	counts.Add("started", 1)
	waits.Add("le_"+strconv.FormatInt(waitBound(d).Milliseconds(), 10), 1)
}

// waitBound returns the smallest bound that is not below d, or the largest.
func waitBound(d time.Duration) time.Duration {
	bound := time.Millisecond
	for range waitBuckets {
		if d <= bound {
			break
		}
		bound *= waitFactor
	}
	return bound
}

func countRefusal(r Reason) { counts.Add("refused "+r.String(), 1) }
