package admission

import "time"

// minRateWeight is the weight that a new run has once many were seen.
const minRateWeight = 0.02

// rate learns the slot time of one unit of cost from runs. It is a ratio of
// decayed means, so that many small runs do not outweigh a large one.
type rate struct {
	cost    float64
	elapsed float64
	runs    int
}

func newRate(costTime time.Duration) rate {
	return rate{cost: 1, elapsed: costTime.Seconds(), runs: 1}
}

// add learns from one run.
func (r *rate) add(cost float64, took time.Duration) {
	r.runs++
	weight := max(minRateWeight, 1/float64(r.runs))
	r.cost += weight * (cost - r.cost)
	r.elapsed += weight * (took.Seconds() - r.elapsed)
}

// seconds estimates the slot time of a request.
func (r *rate) seconds(cost float64) float64 { return cost * r.elapsed / r.cost }

// meanRun is the mean slot time of the requests that ran lately, in seconds.
func (r *rate) meanRun() float64 { return r.elapsed }
