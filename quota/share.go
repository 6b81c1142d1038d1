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

// value returns the rate at a time, per second. The time constant is window.
func (d *decayingRate) value(now time.Time, window time.Duration) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/window.Seconds())
}

// add adds an amount at a time.
func (d *decayingRate) add(now time.Time, window time.Duration, amount float64) {
	d.rate = max(0, d.value(now, window)+amount/window.Seconds())
	d.at = now
}

// sampler admits a varying fraction of a sequence of requests evenly: it carries
// the remainder from one request to the next. The initial remainder is random, so
// that the fractions of many nodes with few requests each add up correctly.
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
