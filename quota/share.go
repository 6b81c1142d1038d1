package quota

import (
	"math"
	"time"
)

// admittedFraction returns the fraction of the demand that is admitted. A limit
// of zero means no limit.
func admittedFraction(limit, own, others float64) float64 {
	if limit <= 0 || own+others <= limit {
		return 1
	}
	return limit / (own + others)
}

// decayingRate is a rate that decays exponentially with a time constant.
type decayingRate struct {
	rate float64
	at   time.Time
}

// value returns the rate per second at time now. window is the time constant.
func (d *decayingRate) value(now time.Time, window time.Duration) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/window.Seconds())
}

// add counts an amount, such as 1 for a request, at time now.
func (d *decayingRate) add(now time.Time, window time.Duration, amount float64) {
	d.rate = max(0, d.value(now, window)+amount/window.Seconds())
	d.at = now
}

// sampler admits a fraction of the requests at even intervals: it carries the
// remainder over from one request to the next. The fraction may change. The initial
// remainder is random, so that many nodes with few requests each admit the right
// fraction together.
type sampler struct{ remainder float64 }

// admit reports whether the next request is admitted.
func (s *sampler) admit(fraction float64) bool {
	s.remainder += fraction
	if s.remainder < 1 {
		return false
	}
	s.remainder--
	return true
}
