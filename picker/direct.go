package picker

import (
	"math/rand/v2"
	"time"
)

// Direct chooses among endpoints that announced themselves and whose load is
// known without a probe. It answers a load in which many entry nodes send
// requests at the same time by reports that are some 100 ms old: it takes a
// random one of the least loaded, so that nodes with the same reports do not all
// take the same endpoint. It is immutable and safe for concurrent use.
type Direct struct {
	// Slack is by how many requests an endpoint may exceed the least loaded one
	// and still be chosen.
	Slack float64
	// Queue is how many requests beyond its slots an endpoint is given.
	Queue float64
}

// DefaultDirect balances within one request.
var DefaultDirect = Direct{Slack: 0.75, Queue: 2}

// DirectEndpoint is what Direct knows of one endpoint.
type DirectEndpoint struct {
	// Slots is how many requests it runs at once.
	Slots int
	// Load estimates the requests that run and wait there.
	Load float64
	// Near is true in the chooser's own failure domain.
	Near bool
	// Ill is true if its work fails or is slow; it is taken only if no other
	// endpoint is left.
	Ill bool
	// Broken is true if it cannot serve now.
	Broken bool
	// Tried is true if the request was there before.
	Tried bool
	// Share is the part of a full load that it should get while it starts, from
	// 0 to 1; zero counts as 1.
	Share float64
}

// weighted is the load as if the endpoint had its full share.
func (e *DirectEndpoint) weighted() float64 {
	if e.Share <= 0 || e.Share >= 1 {
		return e.Load
	}
	return e.Load + float64(e.Slots)*(1-e.Share)
}

// room reports whether the endpoint takes one more request.
func (d Direct) room(e *DirectEndpoint) bool {
	return e.Load < float64(e.Slots)+d.Queue
}

// Choice is the outcome of Direct.Choose.
type Choice struct {
	// Index is the position of the chosen endpoint, -1 if there is none.
	Index int
	// Usable counts the endpoints that could serve, Full those of them without
	// room.
	Usable, Full int
	// Ill is true if only ill endpoints were left.
	Ill bool
}

// Choose picks an endpoint for one attempt.
func (d Direct) Choose(endpoints []DirectEndpoint, rng *rand.Rand) Choice {
	choice := d.choose(endpoints, rng, false)
	if choice.Index >= 0 || choice.Full > 0 {
		return choice
	}
	choice = d.choose(endpoints, rng, true)
	choice.Ill = choice.Index >= 0
	return choice
}

// choose picks among the sound endpoints, or among the ill ones too.
func (d Direct) choose(endpoints []DirectEndpoint, rng *rand.Rand, ill bool) Choice {
	choice := Choice{Index: -1}
	least := 0.0
	for i := range endpoints {
		e := &endpoints[i]
		if e.Broken || e.Tried || (e.Ill && !ill) {
			continue
		}
		choice.Usable++
		if !d.room(e) {
			choice.Full++
			continue
		}
		if load := e.weighted(); choice.Index < 0 || load < least {
			choice.Index, least = i, load
		}
	}
	if choice.Index >= 0 {
		choice.Index = d.draw(endpoints, least, ill, rng)
	}
	return choice
}

// nearWeight is how many times as likely an endpoint of the own failure domain
// is taken as an equally loaded one elsewhere.
const nearWeight = 2

// draw takes one of the endpoints within Slack of the least loaded one.
func (d Direct) draw(endpoints []DirectEndpoint, least float64, ill bool, rng *rand.Rand) int {
	chosen, total := -1, 0
	for i := range endpoints {
		e := &endpoints[i]
		if e.Broken || e.Tried || (e.Ill && !ill) || !d.room(e) || e.weighted() > least+d.Slack {
			continue
		}
		weight := 1
		if e.Near {
			weight = nearWeight
		}
		total += weight
		if rng.IntN(total) < weight {
			chosen = i
		}
	}
	return chosen
}

// SlowStart returns the share of an endpoint that started some time ago and
// takes warm to reach its full speed.
func SlowStart(age, warm time.Duration) float64 {
	if warm <= 0 || age >= warm {
		return 1
	}
	return max(float64(age)/float64(warm), leastShare)
}

// leastShare is the share of an endpoint that has just started.
const leastShare = 0.2
