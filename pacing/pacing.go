// Package pacing keeps the requests that all entry nodes send to an endpoint within the
// rate that the endpoint states in its answers, or sustains while it is cold.
//
// From the moment at which an endpoint states a limit, its time is divided into slots, one
// for each request that it accepts. The entry nodes take turns at the slots, in the order
// of their names, so no message is needed for a request, and a limit of less than one
// request a second for each node is kept too. A slot that its node does not use expires:
// no more requests arrive in a time than the slots of that time and of slotLifetime
// before it.
//
// The nodes tell each other of a limit, of the moment at which it was stated first, and of
// its end. A node that sends one request a minute would learn of them from its own
// answers too late.
//
// An endpoint may also refuse a request and ask for a cooldown, a time without requests from
// that entry node. After it the node sends one request, and further ones once that was not
// refused in the same way. Cooldowns are not exchanged between nodes.
//
// A cold endpoint, that is, one that has just started, sustains a limited number of requests
// within a second. ColdSlots bounds them over all entry nodes, also over those that cannot
// reach each other, and ColdStates holds which endpoints are cold.
//
// It answers the load of an endpoint that is in need and is served by up to some hundred
// entry nodes. A request that finds no slot is for another endpoint, or waits.
package pacing

import (
	"math"
	"sync"
	"time"
)

// Endpoint identifies one start of an endpoint's process.
type Endpoint struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Limit is what an endpoint last stated, as nodes exchange it. It holds durations, because
// clocks of different nodes are not compared.
type Limit struct {
	Endpoint Endpoint `json:"endpoint"`
	// PerSecond is the number of requests per second that the endpoint accepts from all
	// entry nodes together; zero for no limit.
	PerSecond float64 `json:"per_second"`
	// Since is the time since the endpoint stated this limit first, and Age the time since
	// it stated it last.
	Since time.Duration `json:"since"`
	Age   time.Duration `json:"age"`
}

const (
	// slotLifetime is the time for which a slot may be used. An entry node with few
	// requests a second uses most of its slots within it.
	slotLifetime = 1500 * time.Millisecond
	// significantChange is the ratio of two limits from which they count as different.
	significantChange = 1.05
	// keepPeriod is how long a statement is kept after the latest answer.
	keepPeriod = 2 * time.Minute
)

// state is the state of one endpoint.
type state struct {
	perSecond float64
	// since is when this limit was stated first, and statedAt when it was stated last.
	since, statedAt time.Time
	// next is the number of the first slot that this node has not used.
	next int64
}

// Pacer holds the limits of endpoints and this node's slots. It is safe for concurrent
// use. Times are passed in, so that its decisions depend on nothing else.
type Pacer struct {
	mu sync.Mutex
	// nodes is the number of entry nodes, and turn this node's position among them.
	nodes, turn int64
	states      map[Endpoint]*state
	// cooldowns holds those of endpoints by ID.
	cooldowns map[string]*cooldown
}

// New returns a Pacer for the entry node at a position, counted from 0, among several.
func New(turn, nodes int) *Pacer {
	p := &Pacer{states: make(map[Endpoint]*state), cooldowns: make(map[string]*cooldown)}
	p.SetNodes(turn, nodes)
	return p
}

// SetNodes sets the number of entry nodes and this node's position among them.
func (p *Pacer) SetNodes(turn, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes = int64(max(nodes, 1))
	p.turn = int64(turn) % p.nodes
}

// Observe records what an answer of an endpoint states; zero means no limit. It reports
// whether the change should be broadcast to the other nodes.
func (p *Pacer) Observe(e Endpoint, perSecond float64, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[e]
	if s == nil && perSecond == 0 {
		return false
	}
	if s != nil && !differ(s.perSecond, perSecond) {
		s.statedAt = now
		return false
	}
	p.states[e] = &state{perSecond: perSecond, since: now, statedAt: now}
	return true
}

// Merge records the statements that another node has received, unless a newer one is
// known. It reports whether a limit changed. Of the same limit the earlier beginning
// counts, so that all nodes agree on the slots.
func (p *Pacer) Merge(limits []Limit, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range limits {
		at, since := now.Add(-l.Age), now.Add(-l.Since)
		s := p.states[l.Endpoint]
		if s != nil && !differ(s.perSecond, l.PerSecond) {
			if at.After(s.statedAt) {
				s.statedAt = at
			}
			if since.Before(s.since) {
				s.since, s.next = since, s.next+s.slotsIn(s.since.Sub(since))
			}
			continue
		}
		if s == nil || at.After(s.statedAt) {
			p.states[l.Endpoint] = &state{perSecond: l.PerSecond, since: since, statedAt: at}
			changed = true
		}
	}
	return changed
}

func differ(a, b float64) bool { return max(a, b) > min(a, b)*significantChange }

// slotsIn returns the number of whole slots in a time.
func (s *state) slotsIn(d time.Duration) int64 {
	return int64(math.Floor(d.Seconds() * s.perSecond))
}

// slotTime returns the beginning of a slot.
func (s *state) slotTime(slot int64) time.Time {
	return s.since.Add(time.Duration(float64(slot) / s.perSecond * float64(time.Second)))
}

// nextSlot returns the first slot of this node that is unused and has not expired.
func (p *Pacer) nextSlot(s *state, now time.Time) int64 {
	first := max(s.slotsIn(now.Add(-slotLifetime).Sub(s.since))+1, s.next, 0)
	return first + ((p.turn-first)%p.nodes+p.nodes)%p.nodes
}

// Wait returns the time until this node may send a request to an endpoint, zero if it may
// now.
func (p *Pacer) Wait(e Endpoint, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait, _ := p.wait(e, now)
	return max(wait, p.cooldown(e, now).left(now))
}

// wait returns the time until this node may send a request, and the slot to use for it,
// which is -1 if the endpoint has no limit.
func (p *Pacer) wait(e Endpoint, now time.Time) (time.Duration, int64) {
	s := p.states[e]
	if s == nil || s.perSecond == 0 {
		return 0, -1
	}
	if now.Sub(s.statedAt) > keepPeriod {
		delete(p.states, e)
		return 0, -1
	}
	slot := p.nextSlot(s, now)
	return max(s.slotTime(slot).Sub(now), 0), slot
}

// Take uses a slot for one request and reports whether there was one. For an endpoint
// without a limit it is always true.
func (p *Pacer) Take(e Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait, slot := p.wait(e, now)
	c := p.cooldown(e, now)
	if wait > 0 || c.left(now) > 0 {
		return false
	}
	c.begin(now)
	if slot >= 0 {
		p.states[e].next = slot + 1
	}
	return true
}

// Limits returns what the endpoints have stated, with ended limits.
func (p *Pacer) Limits(now time.Time) []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Limit
	for e, s := range p.states {
		out = append(out, Limit{Endpoint: e, PerSecond: s.perSecond, Since: now.Sub(s.since), Age: now.Sub(s.statedAt)})
	}
	return out
}

// Retain forgets the endpoints for which keep returns false. A cooldown is kept until it is over and
// a limit for keepPeriod: an entry may be missing from the list for some time although its
// endpoint runs.
func (p *Pacer) Retain(keep func(Endpoint) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e, s := range p.states {
		if !keep(e) && now.Sub(s.statedAt) > keepPeriod {
			delete(p.states, e)
		}
	}
	for id, c := range p.cooldowns {
		if !keep(Endpoint{ID: id, Incarnation: c.incarnation}) && !now.Before(c.until) {
			delete(p.cooldowns, id)
		}
	}
}
