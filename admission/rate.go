package admission

import "time"

// minSampleWeight is the weight of a new sample once many have been recorded.
const minSampleWeight = 0.02

// costEstimator estimates the slot time per unit of cost from completed runs. It
// is a ratio of exponentially decayed means, so that many small runs do not
// outweigh a large one.
type costEstimator struct {
	cost    float64
	elapsed float64
	runs    int
}

func newCostEstimator(costTime time.Duration) costEstimator {
	return costEstimator{cost: 1, elapsed: costTime.Seconds(), runs: 1}
}

// add records one run.
func (r *costEstimator) add(cost float64, took time.Duration) {
	r.runs++
	weight := max(minSampleWeight, 1/float64(r.runs))
	r.cost += weight * (cost - r.cost)
	r.elapsed += weight * (took.Seconds() - r.elapsed)
}

// seconds returns the estimated slot time of a request.
func (r *costEstimator) seconds(cost float64) float64 { return cost * r.elapsed / r.cost }

// meanRun returns the decayed mean slot time of recent requests, in seconds.
func (r *costEstimator) meanRun() float64 { return r.elapsed }
