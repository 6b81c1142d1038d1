package pacing

import "time"

// trialTimeout is the time after which a trial that got no answer no longer keeps other
// requests back.
const trialTimeout = 500 * time.Millisecond

// cooldown is the time for which an endpoint has asked for no requests from this node. A nil
// pointer stands for none.
type cooldown struct {
	// incarnation is that of the endpoint when it was asked for.
	incarnation uint64
	until       time.Time
	// trialAt is when the first request after the cooldown was sent, zero before.
	trialAt time.Time
}

// left returns the time until the next request may be sent.
func (c *cooldown) left(now time.Time) time.Duration {
	switch {
	case c == nil:
		return 0
	case c.trialAt.IsZero():
		return max(c.until.Sub(now), 0)
	}
	return max(c.trialAt.Add(trialTimeout).Sub(now), 0)
}

// begin records that a request is sent.
func (c *cooldown) begin(now time.Time) {
	if c != nil {
		c.trialAt = now
	}
}

// cooldown returns the cooldown of a listed endpoint, nil if there is none. One that was asked for
// under another incarnation is over: the endpoint has started again. But the entry of a start may
// be listed later than its first answers, so one request tries the endpoint before others
// follow. The caller holds the lock.
func (p *Pacer) cooldown(e Endpoint, now time.Time) *cooldown {
	c := p.cooldowns[e.ID]
	if c != nil && c.incarnation != e.Incarnation {
		c = &cooldown{incarnation: e.Incarnation, until: now}
		p.cooldowns[e.ID] = c
	}
	return c
}

// StartCooldown records that an endpoint has refused a request and asked for none from this
// node for a time. It reports whether there was no cooldown before. A cooldown is never
// shortened by the answer to a request that was sent before it.
func (p *Pacer) StartCooldown(e Endpoint, d time.Duration, now time.Time) (begun bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := now.Add(d)
	c := p.cooldowns[e.ID]
	if c != nil && c.until.After(until) {
		return false
	}
	p.cooldowns[e.ID] = &cooldown{incarnation: e.Incarnation, until: until}
	return c == nil
}

// EndCooldown records that an endpoint has answered a request without asking for a cooldown.
// It ends one whose time is over; answers to requests from before it do not.
func (p *Pacer) EndCooldown(e Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.cooldowns[e.ID]; c != nil && c.incarnation == e.Incarnation && !c.trialAt.IsZero() {
		delete(p.cooldowns, e.ID)
	}
}
