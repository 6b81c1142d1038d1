package picker

import (
	"math/rand/v2"
	"time"
)

// ProbePolicy probes a few endpoints: those that the prompt's prefixes hash to, one
// that recently reported a cached prefix, and random ones, nearby ones first. It
// chooses the endpoint with the lowest estimated time to the first token.
type ProbePolicy struct {
	// Homes is the number of candidates that the prefixes hash to. These endpoints
	// are the homes of a prefix: requests with the prefix prefer them, to find it in
	// their prefix cache.
	Homes int
	// Random is the number of random candidates.
	Random int
}

// DefaultProbePolicy is the policy with the fewest probes that meets the latency
// target; see TestTargets.
var DefaultProbePolicy = ProbePolicy{Homes: 4, Random: 4}

const (
	// maxTried limits the tried endpoints that a pick can exclude.
	maxTried = 16
	// drawsPerCandidate limits the draws for one random candidate.
	drawsPerCandidate = 8
	// spillPercent is the utilisation of the nearby endpoints, according to load
	// hints, above which a far endpoint is probed as well.
	spillPercent = 90
	// At least 1/minFreshHintsDivisor of the nearby endpoints must have a fresh hint
	// before their utilisation is used.
	minFreshHintsDivisor = 8
	// conversationHomes is the number of homes that each conversation has, besides
	// those of its shared prefix.
	conversationHomes = 2
	// hintTTL is the age at which a hint expires.
	hintTTL = 10 * time.Second
	// unknownWait is the assumed wait at an endpoint without a load report.
	unknownWait = 500 * time.Millisecond
	// utilisationCost is added in proportion to an endpoint's utilisation. It
	// spreads the load while no requests are queued.
	utilisationCost = 100 * time.Millisecond
	// nearlyFullPercent is the utilisation above which nearlyFullCost is added as
	// well.
	nearlyFullPercent = 87
	nearlyFullCost    = 50 * time.Millisecond
	// farHomesPerPrefix is the number of homes of a prefix among far endpoints.
	farHomesPerPrefix = 4
	// noHomeRank is the HomeRank of a candidate that is not a home.
	noHomeRank = 7
	// homeRankCost times HomeRank is added for a candidate that does not have all
	// prefixes cached.
	homeRankCost = 15 * time.Millisecond
	// regionCost and farCost are added for endpoints outside of this failure domain
	// and outside of this region.
	regionCost = 2 * time.Millisecond
	farCost    = 60 * time.Millisecond
)

// selection collects the candidates for one pick.
type selection struct {
	snap       *Snapshot
	pool       *pool
	tried      [maxTried]int32
	triedCount int
	out        []Candidate
}

// Candidates returns the endpoints to probe, stored in dst from its start. It
// allocates only if dst is too small. The error is a *NoEndpointError.
func (p ProbePolicy) Candidates(snap *Snapshot, req *Request, rng *rand.Rand, dst []Candidate) ([]Candidate, error) {
	pool := snap.pools[poolKeyOf(req)]
	if pool == nil || len(pool.all) == 0 {
		return dst, noEndpoint(req, pool, emptyCause(pool))
	}
	s := selection{snap: snap, pool: pool, out: dst[:0]}
	s.exclude(req.Tried)
	s.addHomes(req.Prefixes, p.Homes)
	s.addHolder(req.Holders)
	s.addRandom(rng, p.Random)
	s.addFar(rng, req)
	if len(s.out) == 0 {
		s.addAny(rng)
	}
	if len(s.out) == 0 {
		return s.out, noEndpoint(req, pool, CauseTried)
	}
	return s.out, nil
}

// Choose returns the best candidate of cands. Candidates that replied to the probe are
// preferred; those that did not are compared by older load hints. The error is a
// *NoEndpointError.
func (p ProbePolicy) Choose(snap *Snapshot, req *Request, cands []Candidate) (Pick, error) {
	best := -1
	var bestCost time.Duration
	for i := range cands {
		c := &cands[i]
		if c.Answered && c.Load.Draining {
			continue
		}
		cost := snap.cost(req, c)
		if best < 0 || better(snap, c, cost, &cands[best], bestCost) {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Pick{}, noEndpoint(req, snap.pools[poolKeyOf(req)], CauseDraining)
	}
	c := &cands[best]
	reason := c.Reason
	if !c.Answered {
		reason = ReasonHint
	}
	return Pick{Index: c.Index, Endpoint: snap.Name(c.Index), Reason: reason, Cost: bestCost}, nil
}

// better reports whether candidate a is preferred to b: those that replied come
// first, then healthy ones, then those of lower cost.
func better(snap *Snapshot, a *Candidate, costA time.Duration, b *Candidate, costB time.Duration) bool {
	if a.Answered != b.Answered {
		return a.Answered
	}
	unhealthyA := snap.endpoints[a.Index].unhealthy && !a.Answered
	unhealthyB := snap.endpoints[b.Index].unhealthy && !b.Answered
	if unhealthyA != unhealthyB {
		return unhealthyB
	}
	return costA < costB
}

// cost estimates the time to the first token at a candidate. It includes penalties
// that spread the load and that concentrate each prefix on few endpoints.
func (s *Snapshot) cost(req *Request, c *Candidate) time.Duration {
	e := &s.endpoints[c.Index]
	load := c.Load
	if !c.Answered {
		load = s.hint(c.Index)
		load.Matched = 0
	}
	wait := load.Wait
	if !c.Answered {
		wait = agedWait(load, req.Now)
	}
	slots := max(load.Slots, 1)
	return wait + busyPenalty(load.Running, slots) + distanceCost(e.tier) + missCost(req, load.Matched) + scatterCost(req, c, load.Matched)
}

// busyPenalty grows with an endpoint's utilisation. It rises by nearlyFullCost for the
// last free slots, to leave them to requests whose prefix is cached only there.
func busyPenalty(running, slots int) time.Duration {
	busy := utilisationCost * time.Duration(min(running, slots)) / time.Duration(slots)
	if running*fullWeight > slots*nearlyFullPercent {
		busy += nearlyFullCost
	}
	return busy
}

// agedWait moves the wait of a hint towards unknownWait as the hint gets older.
func agedWait(hint Load, now time.Time) time.Duration {
	if hint.At.IsZero() {
		return unknownWait
	}
	age := min(max(now.Sub(hint.At), 0), hintTTL)
	fresh := hintTTL - age
	return time.Duration((int64(hint.Wait)*fresh.Milliseconds() + int64(unknownWait)*age.Milliseconds()) / hintTTL.Milliseconds())
}

func distanceCost(tier uint8) time.Duration {
	switch tier {
	case tierLocal:
		return 0
	case tierRegion:
		return regionCost
	default:
		return farCost
	}
}

// missCost is the time to process the part of the prompt that the endpoint does not
// have cached.
func missCost(req *Request, matched int) time.Duration {
	n := len(req.Prefixes)
	matched = min(matched, n)
	if matched == 0 {
		return req.Prefill
	}
	return max(req.Prefill-req.Prefixes[n-matched].Prefill, 0)
}

// scatterCost is the penalty for caching a prefix away from its first homes, where
// later requests will look for it.
func scatterCost(req *Request, c *Candidate, matched int) time.Duration {
	if matched >= len(req.Prefixes) {
		return 0
	}
	return time.Duration(c.HomeRank) * homeRankCost
}

// exclude marks the tried endpoints as excluded.
func (s *selection) exclude(names []string) {
	for _, name := range names {
		i, ok := s.snap.byName[name]
		if ok && s.triedCount < maxTried {
			s.tried[s.triedCount] = i
			s.triedCount++
		}
	}
}

// excluded reports whether endpoint i was tried or is already a candidate.
func (s *selection) excluded(i int32) bool {
	for _, t := range s.tried[:s.triedCount] {
		if t == i {
			return true
		}
	}
	for k := range s.out {
		if s.out[k].Index == i {
			return true
		}
	}
	return false
}

// add adds endpoint i to the candidates.
func (s *selection) add(i int32, reason Reason) {
	if s.snap.endpoints[i].unhealthy {
		reason = ReasonUnhealthy
	}
	s.out = append(s.out, Candidate{Index: i, Reason: reason, HomeRank: noHomeRank})
}

// addHomes adds n endpoints that the prompt's prefixes hash to. For a conversation,
// the first two are homes of the conversation itself, which stay the same while it
// grows. The others are the homes of the shared prefix, in a fixed order: requests
// that overflow one home always go to the same next one, which then has the prefix
// cached.
func (s *selection) addHomes(prefixes []Prefix, n int) {
	if len(prefixes) == 0 {
		return
	}
	own := 0
	if len(prefixes) > 1 {
		own = min(conversationHomes, n)
		s.addHomesOf(prefixes[len(prefixes)-2].Hash, own)
	}
	s.addHomesOf(prefixes[len(prefixes)-1].Hash, n-own)
}

// addHomesOf adds the first n nearby homes of one prefix.
func (s *selection) addHomesOf(prefix uint64, n int) {
	for k := range n {
		i := s.pool.nearbyHomes.home(prefix, uint64(k))
		if s.excluded(i) {
			continue
		}
		s.add(i, ReasonHome)
		s.out[len(s.out)-1].HomeRank = uint8(k)
	}
}

// addHolder adds the first eligible endpoint that reported a prefix.
func (s *selection) addHolder(names []string) {
	for _, name := range names {
		i, ok := s.snap.byName[name]
		if !ok || s.excluded(i) || !s.eligible(i) {
			continue
		}
		s.add(i, ReasonHolder)
		return
	}
}

// eligible reports whether endpoint i can be chosen from the pool.
func (s *selection) eligible(i int32) bool {
	for _, k := range s.pool.all {
		if k == i {
			return true
		}
	}
	return false
}

// addRandom adds n random endpoints, alternating between the local failure domain
// and the region. It falls back to far endpoints if no nearby one is left.
func (s *selection) addRandom(rng *rand.Rand, n int) {
	for k := range n {
		if k%2 == 0 && s.draw(rng, s.pool.tier[tierLocal], ReasonLocal) {
			continue
		}
		if s.draw(rng, s.pool.nearby, ReasonRegion) {
			continue
		}
		s.draw(rng, s.pool.all, ReasonSpill)
	}
}

// addFar adds a far home of the prefix and a random far endpoint if the nearby
// endpoints are overloaded.
func (s *selection) addFar(rng *rand.Rand, req *Request) {
	if !s.snap.nearbyOverloaded[s.pool] {
		return
	}
	if n := len(req.Prefixes); n > 0 {
		i := s.pool.farHomes.home(req.Prefixes[n-1].Hash, rng.Uint64N(farHomesPerPrefix))
		if !s.excluded(i) {
			s.add(i, ReasonSpill)
		}
	}
	s.draw(rng, s.pool.tier[tierFar], ReasonSpill)
}

// draw adds one random endpoint of list, drawn by weight, and reports whether it
// found one.
func (s *selection) draw(rng *rand.Rand, list []int32, reason Reason) bool {
	if len(list) == 0 {
		return false
	}
	for range drawsPerCandidate {
		i := list[rng.IntN(len(list))]
		weight := s.snap.endpoints[i].weight
		if weight < fullWeight && rng.IntN(fullWeight) >= int(weight) {
			continue
		}
		if s.excluded(i) {
			continue
		}
		s.add(i, reason)
		return true
	}
	return false
}

// addAny adds the first endpoint that is not excluded, starting at a random position.
// It is the fallback if all random draws failed.
func (s *selection) addAny(rng *rand.Rand) {
	n := len(s.pool.all)
	start := rng.IntN(n)
	for k := range n {
		i := s.pool.all[(start+k)%n]
		if !s.excluded(i) {
			s.add(i, ReasonSpill)
			return
		}
	}
}

// emptyCause returns why pool p has no eligible endpoint.
func emptyCause(p *pool) Cause {
	if p == nil || p.total == 0 {
		return CauseUnknown
	}
	return CauseDrained
}

func noEndpoint(req *Request, p *pool, cause Cause) *NoEndpointError {
	err := &NoEndpointError{Model: req.Model, Service: req.Service, Role: req.Role, Cause: cause, Tried: len(req.Tried)}
	if p != nil {
		err.Known, err.Drained = p.total, p.drained
	}
	return err
}
