package quota

import (
	"math"
	"time"
)

// part returns the part of the demand that is admitted. A limit of zero is no
// limit. It is pure.
func part(limit, own, others float64) float64 {
	if limit <= 0 || own+others <= limit {
		return 1
	}
	return limit / (own + others)
}

// decaying is a rate that forgets with a time constant.
type decaying struct {
	rate float64
	at   time.Time
}

// value returns the rate at a time, per second.
func (d *decaying) value(now time.Time, window time.Duration) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/window.Seconds())
}

// add counts an amount at a time.
func (d *decaying) add(now time.Time, window time.Duration, amount float64) {
	d.rate = max(0, d.value(now, window)+amount/window.Seconds())
	d.at = now
}

// thinner admits a changing part of a stream evenly: it carries the remainder
// from one request to the next. Where a node sees a request only now and then,
// the random beginning makes the parts of many nodes add up.
type thinner struct{ carry float64 }

// take reports whether this request belongs to the part.
func (t *thinner) take(part float64) bool {
	t.carry += part
	if t.carry < 1 {
		return false
	}
	t.carry--
	return true
}
