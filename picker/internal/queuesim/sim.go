package queuesim

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// Case is one combination of parameters to simulate.
type Case struct {
	// Entries and Endpoints are the numbers of entry nodes and of endpoints.
	Entries, Endpoints int
	// LoadPercent is the offered load in percent of what all slots can serve with
	// cold caches.
	LoadPercent int
	// WarmUp is the time that is simulated before the measurement starts, Measured
	// the time that is measured.
	WarmUp, Measured time.Duration
	// Seed is the seed of all random sources.
	Seed uint64
}

// Result holds the measurements of a run.
type Result struct {
	// P50, P95 and P99 are percentiles of the time to the first token, measured at
	// the entry node.
	P50, P95, P99 time.Duration
	// HitPercent is the share of prefixes found in the cache.
	HitPercent float64
	// Spread is the number of requests served by the busiest endpoint, relative to
	// the mean.
	Spread float64
	// ProbesPerSecond and BytesPerSecond are the probe traffic of one entry node.
	ProbesPerSecond, BytesPerSecond float64
	// Requests is the number of requests measured.
	Requests int64
}

// The network, and limits of the simulation.
const (
	// Latencies in one direction between an entry node and an endpoint: in the same
	// failure domain, in the same region, and in another region.
	localOneWay  = 250 * time.Microsecond
	domainOneWay = 500 * time.Microsecond
	regionOneWay = 10 * time.Millisecond
	// domainsSmall and domainsLarge are the numbers of failure domains for fewer
	// than manyEndpoints endpoints and for more. A region has domainsSmall of them.
	domainsSmall  = 3
	domainsLarge  = 6
	manyEndpoints = 100
	// probeOverhead is the size of a probe and its reply in bytes, besides the two
	// messages.
	probeOverhead = 300
	model         = "drafts"
	// maxFirst is the upper end of the histogram of times to the first token, in µs.
	maxFirst = int64(10 * time.Minute / time.Microsecond)
)

// epoch is the time at which a simulation starts.
var epoch = time.Unix(1_000_000, 0)

// event is an event at a point in virtual time; order breaks ties.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is a heap of events, ordered by time.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// holders is the set of endpoints that have a prefix cached, as a bit map.
type holders struct {
	bits []uint64
}

func (h *holders) has(i int32) bool {
	return h != nil && h.bits[i/64]&(1<<(i%64)) != 0
}

// sim is one simulation run.
type sim struct {
	cfg       Case
	policy    Policy
	rng       *rand.Rand
	now       time.Duration
	order     uint64
	queue     events
	work      *workload
	engines   []*engine
	entries   []*entry
	holdersOf map[uint64]*holders

	firstTokens       *hdrhistogram.Histogram
	hits, prefixes    int64
	probes, probeSize int64
	servedBefore      []int
}

// Run simulates a case with a policy.
func Run(c Case, policy Policy) (Result, error) {
	s := &sim{
		cfg: c, policy: policy,
		rng:         rand.New(rand.NewPCG(c.Seed, c.Seed)),
		holdersOf:   make(map[uint64]*holders),
		firstTokens: hdrhistogram.New(1, maxFirst, 3),
	}
	perSecond := float64(c.Endpoints*slots*c.LoadPercent) / 100 / (decodeMean + meanPromptTime()).Seconds()
	s.work = newWorkload(rand.New(rand.NewPCG(c.Seed, c.Seed+1)), perSecond)
	s.build()
	var failed error
	var arrive func()
	arrive = func() {
		if err := s.request(s.work.job(c.Entries, s.now)); err != nil {
			failed = err
			return
		}
		gap := s.work.rng.ExpFloat64() / perSecond
		s.at(s.now+time.Duration(gap*float64(time.Second)), arrive)
	}
	s.at(0, arrive)
	s.at(c.WarmUp, s.startMeasuring)
	for failed == nil && s.queue[0].at < c.WarmUp+c.Measured {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result(), failed
}

// build creates the deployment, the endpoints and the entry nodes.
func (s *sim) build() {
	domains := domainsSmall
	if s.cfg.Endpoints >= manyEndpoints {
		domains = domainsLarge
	}
	d := Deployment(s.cfg.Endpoints, domains)
	snaps := make([]*picker.Snapshot, domains)
	for k := range snaps {
		locality := picker.Locality{FailureDomain: domainName(k), Region: regionName(k)}
		snaps[k] = picker.NewSnapshot(d, 1, locality, nil, epoch)
	}
	for i := range s.cfg.Endpoints {
		s.engines = append(s.engines, newEngine(s, int32(i)))
	}
	for i := range s.cfg.Entries {
		s.entries = append(s.entries, &entry{
			rng:         rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)+2)),
			snap:        snaps[i%domains],
			domain:      i % domains,
			next:        s.rng.IntN(s.cfg.Endpoints),
			outstanding: make([]int32, s.cfg.Endpoints),
			hints:       make([]picker.Load, s.cfg.Endpoints),
		})
	}
}

// Deployment returns a deployment of one model on n endpoints, spread over the given
// number of failure domains.
func Deployment(n, domains int) *deployment.Deployment {
	d := &deployment.Deployment{Name: "fake", Groups: []deployment.Group{{Name: "g", Model: model}}}
	for i := range n {
		d.Endpoints = append(d.Endpoints, deployment.Endpoint{
			Name:          "engine-" + strconv.Itoa(i),
			Kind:          deployment.KindEngine,
			VM:            "vm-" + strconv.Itoa(i),
			Group:         "g",
			FailureDomain: domainName(i % domains),
			Region:        regionName(i % domains),
			Concurrency:   slots,
			Weight:        100,
		})
	}
	return d
}

func domainName(k int) string { return "domain-" + strconv.Itoa(k) }
func regionName(k int) string { return "region-" + strconv.Itoa(k/domainsSmall) }

// at schedules run at a point in virtual time.
func (s *sim) at(t time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: t, order: s.order, run: run})
}

// oneWay returns the latency from an entry node to an endpoint.
func (s *sim) oneWay(e *entry, i int32) time.Duration {
	domains := domainsSmall
	if s.cfg.Endpoints >= manyEndpoints {
		domains = domainsLarge
	}
	domain := int(i) % domains
	switch {
	case domain == e.domain:
		return localOneWay
	case domain/domainsSmall == e.domain/domainsSmall:
		return domainOneWay
	default:
		return regionOneWay
	}
}

// request picks an endpoint for j and sends j to it.
func (s *sim) request(j *job) error {
	e := s.entries[j.entry]
	now := epoch.Add(s.now)
	req := &picker.Request{Model: model, Prefixes: j.pickerPrefixes(), Prefill: j.promptTime(0), Now: now}
	if s.policy.probePolicy == nil {
		s.send(e, s.policy.choose(s, e, req, j), j)
		return nil
	}
	e.refresh(s.now)
	cands, err := s.policy.probePolicy.Candidates(e.snap, req, e.rng, nil)
	if err != nil {
		return err
	}
	wait := time.Duration(0)
	for k := range cands {
		c := &cands[k]
		latency := s.oneWay(e, c.Index)
		wait = max(wait, 2*latency)
		s.at(s.now+latency, func() { s.probe(c, j) })
	}
	s.at(s.now+wait, func() {
		e.recordHints(cands, epoch.Add(s.now))
		pick, err := s.policy.probePolicy.Choose(e.snap, req, cands)
		if err == nil {
			s.send(e, pick.Index, j)
		}
	})
	return nil
}

// probe stores the reply to a probe and counts the bytes on the network.
func (s *sim) probe(c *picker.Candidate, j *job) {
	g := s.engines[c.Index]
	c.Load = g.report(j, s.now)
	c.Answered = true
	name := "engine-" + strconv.Itoa(int(c.Index))
	req := &cyclamenpointv1.ProbeRequest{Endpoint: name, Prefixes: j.prefixes}
	resp := &cyclamenpointv1.ProbeResponse{
		Endpoint: name, Incarnation: uint64(s.cfg.Seed), Queued: uint32(c.Load.Queued), Running: uint32(c.Load.Running),
		Slots: slots, WaitMillis: uint32(c.Load.Wait.Milliseconds()), Matched: uint32(c.Load.Matched),
	}
	s.probes++
	s.probeSize += int64(proto.Size(req) + proto.Size(resp) + probeOverhead)
}

func (s *sim) send(e *entry, i int32, j *job) {
	e.outstanding[i]++
	e.total++
	s.at(s.now+s.oneWay(e, i), func() { s.engines[i].arrive(s, j) })
}

// firstToken measures the time to the first token of a job.
func (s *sim) firstToken(g *engine, j *job) {
	if j.arrived < s.cfg.WarmUp {
		return
	}
	back := s.oneWay(s.entries[j.entry], g.index)
	// RecordValue cannot fail: the histogram's range exceeds the length of any run.
	_ = s.firstTokens.RecordValue((s.now + back - j.arrived).Microseconds())
	s.hits += int64(j.matched)
	s.prefixes += int64(len(j.prefixes))
}

func (s *sim) finished(g *engine, j *job) {
	e := s.entries[j.entry]
	e.outstanding[g.index]--
	e.total--
}

// startMeasuring resets the counters at the end of the warm-up.
func (s *sim) startMeasuring() {
	s.probes, s.probeSize = 0, 0
	for _, g := range s.engines {
		s.servedBefore = append(s.servedBefore, g.served)
	}
}

// cacheEvent delivers a cache event to the agent, delayed by eventLag or not at all.
func (s *sim) cacheEvent(run func()) {
	if s.rng.Float64() >= eventLoss {
		s.at(s.now+eventLag, run)
	}
}

func (s *sim) addHolder(prefix uint64, i int32) {
	h := s.holdersOf[prefix]
	if h == nil {
		h = &holders{bits: make([]uint64, s.cfg.Endpoints/64+1)}
		s.holdersOf[prefix] = h
	}
	h.bits[i/64] |= 1 << (i % 64)
}

func (s *sim) dropHolder(prefix uint64, i int32) {
	if h := s.holdersOf[prefix]; h != nil {
		h.bits[i/64] &^= 1 << (i % 64)
	}
}

func (s *sim) result() Result {
	quantile := func(q float64) time.Duration {
		return time.Duration(s.firstTokens.ValueAtQuantile(q)) * time.Microsecond
	}
	busiest, total := 0, 0
	for i, g := range s.engines {
		n := g.served - s.servedBefore[i]
		busiest = max(busiest, n)
		total += n
	}
	perEntry := float64(s.cfg.Entries) * s.cfg.Measured.Seconds()
	return Result{
		P50: quantile(50), P95: quantile(95), P99: quantile(99),
		HitPercent:      100 * float64(s.hits) / float64(max(s.prefixes, 1)),
		Spread:          float64(busiest*len(s.engines)) / float64(max(total, 1)),
		ProbesPerSecond: float64(s.probes) / perEntry,
		BytesPerSecond:  float64(s.probeSize) / perEntry,
		Requests:        s.firstTokens.TotalCount(),
	}
}
