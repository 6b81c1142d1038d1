package pacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCooldown: an endpoint gets no request for the time that it states, then one, and more
// only after that one was not refused in the same way. Answers to earlier requests change
// nothing, and another incarnation has no cooldown.
func TestCooldown(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	e, restarted := Endpoint{ID: "e", Incarnation: 1}, Endpoint{ID: "e", Incarnation: 2}
	p := New(0, 1)
	assert.Assert(t, p.StartCooldown(e, 3*time.Second, at(0)))
	assert.Assert(t, !p.StartCooldown(e, time.Second, at(100*time.Millisecond)), "several at once do not shorten it")
	p.EndCooldown(e)
	assert.Equal(t, p.Wait(e, at(time.Second)), 2*time.Second)
	assert.Assert(t, !p.Take(e, at(2900*time.Millisecond)))
	assert.Equal(t, p.Wait(restarted, at(time.Second)), time.Duration(0))
	assert.Assert(t, p.Take(e, at(3*time.Second)))
	assert.Assert(t, !p.Take(e, at(3*time.Second+time.Millisecond)), "one trial, not all that waited")
	assert.Assert(t, !p.StartCooldown(e, time.Minute, at(3100*time.Millisecond)))
	assert.Equal(t, p.Wait(e, at(4*time.Second)), 59100*time.Millisecond)
	assert.Assert(t, p.Take(e, at(64*time.Second)))
	p.EndCooldown(e)
	for range 10 {
		assert.Assert(t, p.Take(e, at(65*time.Second)))
	}
}

// TestTrialWithoutAnswer: a trial that gets no answer is followed by another one.
func TestTrialWithoutAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	p, e := New(0, 1), Endpoint{ID: "e"}
	p.StartCooldown(e, time.Second, now)
	now = now.Add(time.Second)
	assert.Assert(t, p.Take(e, now))
	assert.Assert(t, !p.Take(e, now.Add(trialTimeout-1)))
	assert.Assert(t, p.Take(e, now.Add(trialTimeout)))
}

// TestCooldownsAreForgotten: an endpoint that is no longer listed leaves nothing behind once its
// cooldown is over.
func TestCooldownsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(0, 1)
	p.StartCooldown(Endpoint{ID: "a"}, time.Hour, now)
	p.Retain(func(Endpoint) bool { return false }, now.Add(time.Hour))
	assert.Equal(t, len(p.cooldowns), 0)
}

// TestCooldownOutlastsList guards against requests to an endpoint that has asked for none, because
// its entry lapsed and came back, or because the entry of its new start came later than its answer.
func TestCooldownOutlastsList(t *testing.T) {
	now := time.Unix(1000, 0)
	e, restarted := Endpoint{ID: "e", Incarnation: 1}, Endpoint{ID: "e", Incarnation: 2}
	p := New(0, 1)
	p.StartCooldown(e, 10*time.Second, now)
	now = now.Add(time.Second)
	p.Retain(func(Endpoint) bool { return false }, now)
	assert.Assert(t, !p.Take(e, now), "the entry is missing")
	p.Retain(func(listed Endpoint) bool { return listed == e }, now)
	assert.Assert(t, !p.Take(e, now), "the entry is back")

	// The refusal may be that of the new start, so one request tries it before others follow.
	p.Retain(func(listed Endpoint) bool { return listed == restarted }, now)
	assert.Assert(t, p.Take(restarted, now))
	for range 10 {
		assert.Assert(t, !p.Take(restarted, now))
	}
	p.EndCooldown(restarted)
	assert.Assert(t, p.Take(restarted, now))
	assert.Assert(t, p.Take(restarted, now))
}

// TestCooldownsUnderLoad plays the load of an endpoint that refuses each request with a
// Retry-After for a minute: from half a second after the refusal until the end of the time
// at most two requests arrive from a node, and callers lose little time before a sound
// endpoint serves them again.
func TestCooldownsUnderLoad(t *testing.T) {
	const (
		perSecond  = 200
		answerTime = 4 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, stated := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 20 * time.Second} {
		p, e := New(0, 1), Endpoint{ID: "e"}
		type refusal struct {
			at   time.Time
			late int
		}
		var refusals []*refusal
		var pending []time.Time
		now := time.Unix(1000, 0)
		end := now.Add(time.Minute)
		for now.Before(end) {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
			for len(pending) > 0 && !pending[0].After(now) {
				p.StartCooldown(e, stated, pending[0])
				refusals = append(refusals, &refusal{at: pending[0]})
				pending = pending[1:]
			}
			if !p.Take(e, now) {
				continue
			}
			pending = append(pending, now.Add(answerTime))
			for _, r := range refusals {
				if d := now.Sub(r.at); d > 500*time.Millisecond && d < stated {
					r.late++
				}
			}
		}
		for _, r := range refusals {
			assert.Assert(t, r.late <= 2, "%s: %d requests after a refusal", stated, r.late)
		}
		assert.Assert(t, len(refusals) >= int(time.Minute/(stated+time.Second)), "%s: only %d trials", stated, len(refusals))
	}
}
