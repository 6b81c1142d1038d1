package picker

import (
	"math/rand/v2"
	"time"
)

// ProbePolicy is the policy in use. It probes a few endpoints: those that the
// prompt's prefixes hash to, one that reported a prefix, and random ones, near
// ones first. It takes the one with the least estimated time to the first
// token.
type ProbePolicy struct {
	// Homes is how many candidates come from the prefixes.
	Homes int
	// Random is how many candidates are random.
	Random int
}

// DefaultProbePolicy meets the latency target with the fewest probes.
var DefaultProbePolicy = ProbePolicy{Homes: 4, Random: 4}

const (
	// maxTried bounds the tried endpoints that a pick can exclude.
	maxTried = 16
	// drawsPerCandidate bounds the draws for one random candidate.
	drawsPerCandidate = 8
	// spillPercent is the hinted utilisation of the near endpoints above which
	// a far one is probed too.
	spillPercent = 90
	// spillHints is the inverse of the share of near endpoints that must have a
	// fresh hint before their utilisation is believed.
	spillHints = 8
	// talkHomes is how many homes a conversation has of its own.
	talkHomes = 2
	// hintLife is the age at which a hint has lost all its worth.
	hintLife = 10 * time.Second
	// unknownWait stands for the wait of an endpoint without a report.
	unknownWait = 500 * time.Millisecond
	// busyCost is added in proportion to an endpoint's utilisation. It spreads
	// the load while nothing queues.
	busyCost = 100 * time.Millisecond
	// nearlyFull is the utilisation in percent above which nearlyFullCost is
	// added as well.
	nearlyFull     = 87
	nearlyFullCost = 50 * time.Millisecond
	// farHomes is how many homes a prefix has among far endpoints.
	farHomes = 4
	// lastOrder is the order of a candidate that is no home.
	lastOrder = 7
	// orderCost is added for each step between a prefix's first home and an
	// endpoint that does not hold it.
	orderCost = 15 * time.Millisecond
	// regionCost and farCost are added for distance.
	regionCost = 2 * time.Millisecond
	farCost    = 60 * time.Millisecond
)

// selection gathers the candidates of one pick.
type selection struct {
	snap  *Snapshot
	pool  *pool
	tried [maxTried]int32
	n     int
	out   []Candidate
}

// Candidates appends to dst the endpoints worth a probe. It allocates only if
// dst is too small. The error is a *NoEndpointError.
func (p ProbePolicy) Candidates(snap *Snapshot, req *Request, rng *rand.Rand, dst []Candidate) ([]Candidate, error) {
	pool := snap.pools[keyOf(req)]
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

// Choose takes the best of cands. Candidates that answered go before those
// that did not; among the others an old hint decides. The error is a
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
		return Pick{}, noEndpoint(req, snap.pools[keyOf(req)], CauseDraining)
	}
	c := &cands[best]
	reason := c.Reason
	if !c.Answered {
		reason = ReasonHint
	}
	return Pick{Index: c.Index, Endpoint: snap.Name(c.Index), Reason: reason, Cost: bestCost}, nil
}

// better orders candidates: answered ones, then healthy ones, then by cost.
func better(snap *Snapshot, a *Candidate, costA time.Duration, b *Candidate, costB time.Duration) bool {
	if a.Answered != b.Answered {
		return a.Answered
	}
	illA := snap.endpoints[a.Index].ill && !a.Answered
	illB := snap.endpoints[b.Index].ill && !b.Answered
	if illA != illB {
		return illB
	}
	return costA < costB
}

// cost estimates the time to the first token at a candidate.
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
	return wait + busyness(load.Running, slots) + distanceCost(e.tier) + missCost(req, load.Matched) + scatterCost(req, c, load.Matched)
}

// busyness grows with an endpoint's utilisation, and steps up where the last
// slots are taken: they are left to requests that would miss a cache elsewhere.
func busyness(running, slots int) time.Duration {
	busy := busyCost * time.Duration(min(running, slots)) / time.Duration(slots)
	if running*fullWeight > slots*nearlyFull {
		busy += nearlyFullCost
	}
	return busy
}

// agedWait moves the wait of an old hint towards that of an unknown endpoint.
func agedWait(hint Load, now time.Time) time.Duration {
	if hint.At.IsZero() {
		return unknownWait
	}
	age := min(max(now.Sub(hint.At), 0), hintLife)
	fresh := hintLife - age
	return time.Duration((int64(hint.Wait)*fresh.Milliseconds() + int64(unknownWait)*age.Milliseconds()) / hintLife.Milliseconds())
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

// missCost is the time to process what the endpoint does not hold of the
// prompt.
func missCost(req *Request, matched int) time.Duration {
	n := len(req.Prefixes)
	matched = min(matched, n)
	if matched == 0 {
		return req.Prefill
	}
	return max(req.Prefill-req.Prefixes[n-matched].Prefill, 0)
}

// scatterCost stands for the later requests that would not find the prefixes
// where the cache gets them now.
func scatterCost(req *Request, c *Candidate, matched int) time.Duration {
	if matched >= len(req.Prefixes) {
		return 0
	}
	return time.Duration(c.HomeRank) * orderCost
}

// exclude notes the tried endpoints.
func (s *selection) exclude(names []string) {
	for _, name := range names {
		i, ok := s.snap.byName[name]
		if ok && s.n < maxTried {
			s.tried[s.n] = i
			s.n++
		}
	}
}

// excluded says whether i was tried or is a candidate already.
func (s *selection) excluded(i int32) bool {
	for _, t := range s.tried[:s.n] {
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

func (s *selection) add(i int32, why Reason) {
	if s.snap.endpoints[i].ill {
		why = ReasonFloor
	}
	s.out = append(s.out, Candidate{Index: i, Reason: why, HomeRank: lastOrder})
}

// addHomes adds n endpoints that the prompt's prefixes hash to. In a
// conversation the first two are its own homes, which stay the same while it
// grows. The others follow a fixed order for each shared prefix, so that what
// overflows one home always meets the same next one, which then holds it.
func (s *selection) addHomes(prefixes []Prefix, n int) {
	if len(prefixes) == 0 {
		return
	}
	own := 0
	if len(prefixes) > 1 {
		own = min(talkHomes, n)
		s.addHomesOf(prefixes[len(prefixes)-2].Hash, own)
	}
	s.addHomesOf(prefixes[len(prefixes)-1].Hash, n-own)
}

// addHomesOf adds the first n near homes of one prefix.
func (s *selection) addHomesOf(prefix uint64, n int) {
	for k := range n {
		i := s.pool.nearHomes.home(prefix, uint64(k))
		if s.excluded(i) {
			continue
		}
		s.add(i, ReasonHome)
		s.out[len(s.out)-1].HomeRank = uint8(k)
	}
}

// addHolder adds the first holder that may be chosen.
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

// eligible says whether the pool may choose endpoint i.
func (s *selection) eligible(i int32) bool {
	for _, k := range s.pool.all {
		if k == i {
			return true
		}
	}
	return false
}

// addRandom adds n random endpoints, local and regional ones by turns. It goes
// further only where the near ones are missing.
func (s *selection) addRandom(rng *rand.Rand, n int) {
	for k := range n {
		if k%2 == 0 && s.draw(rng, s.pool.tier[tierLocal], ReasonLocal) {
			continue
		}
		if s.draw(rng, s.pool.near, ReasonRegion) {
			continue
		}
		s.draw(rng, s.pool.all, ReasonSpill)
	}
}

// addFar adds a far home of the prefix and a random far endpoint when the near
// endpoints are loaded.
func (s *selection) addFar(rng *rand.Rand, req *Request) {
	if !s.snap.loaded[s.pool] {
		return
	}
	if n := len(req.Prefixes); n > 0 {
		i := s.pool.farHomes.home(req.Prefixes[n-1].Hash, rng.Uint64N(farHomes))
		if !s.excluded(i) {
			s.add(i, ReasonSpill)
		}
	}
	s.draw(rng, s.pool.tier[tierFar], ReasonSpill)
}

// draw adds one random endpoint of list, by weight.
func (s *selection) draw(rng *rand.Rand, list []int32, why Reason) bool {
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
		s.add(i, why)
		return true
	}
	return false
}

// addAny adds the first endpoint that is not excluded, from a random start. It
// serves pools in which the draws failed.
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

func emptyCause(p *pool) Cause {
	if p == nil || p.known == 0 {
		return CauseUnknown
	}
	return CauseDrained
}

func noEndpoint(req *Request, p *pool, cause Cause) *NoEndpointError {
	err := &NoEndpointError{Model: req.Model, Service: req.Service, Role: req.Role, Cause: cause, Tried: len(req.Tried)}
	if p != nil {
		err.Known, err.Drained = p.known, p.drained
	}
	return err
}
