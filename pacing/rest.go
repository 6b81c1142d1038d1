package pacing

import "time"

// trialTimeout is the time after which a trial that got no answer no longer keeps other
// requests back.
const trialTimeout = 500 * time.Millisecond

// rest is a time for which an endpoint wants no requests from this node. The zero pointer
// stands for none.
type rest struct {
	until time.Time
	// trialAt is when the first request after the rest was sent, zero before.
	trialAt time.Time
}

// left returns the time until the next request may be sent.
func (r *rest) left(now time.Time) time.Duration {
	switch {
	case r == nil:
		return 0
	case r.trialAt.IsZero():
		return max(r.until.Sub(now), 0)
	}
	return max(r.trialAt.Add(trialTimeout).Sub(now), 0)
}

// begin records that a request is sent.
func (r *rest) begin(now time.Time) {
	if r != nil {
		r.trialAt = now
	}
}

// Rest records that an endpoint has refused a request and wants none from this node for a
// time. It reports whether the endpoint did not rest before. A rest never ends earlier
// because of the answer to a request that was sent before.
func (p *Pacer) Rest(e Endpoint, d time.Duration, now time.Time) (begun bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := now.Add(d)
	r := p.rests[e]
	if r != nil && r.until.After(until) {
		return false
	}
	p.rests[e] = &rest{until: until}
	return r == nil
}

// EndRest records that an endpoint has answered a request without asking for a rest. It
// ends a rest whose time is over; answers to requests from before the rest do not end it.
func (p *Pacer) EndRest(e Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.rests[e]; r != nil && !r.trialAt.IsZero() {
		delete(p.rests, e)
	}
}
