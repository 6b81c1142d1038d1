package queuefake

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

// Case is one cell of the comparison.
type Case struct {
	// Entries and Endpoints are the sizes.
	Entries, Endpoints int
	// LoadPercent is the offered load as a share of all slots with cold caches.
	LoadPercent int
	// Warm is run first and not measured; Measured follows.
	Warm, Measured time.Duration
	// Seed fixes all randomness.
	Seed uint64
}

// Result is what a way achieved.
type Result struct {
	// P50, P95 and P99 are times to the first token at the entry.
	P50, P95, P99 time.Duration
	// HitPercent is the share of prompt prefixes found in the cache.
	HitPercent float64
	// Spread is the busiest endpoint's served requests over the mean.
	Spread float64
	// ProbesPerSecond and BytesPerSecond are for one entry.
	ProbesPerSecond, BytesPerSecond float64
	// Requests is how many were measured.
	Requests int64
}

// The network and the sizes.
const (
	localOneWay   = 250 * time.Microsecond
	domainOneWay  = 500 * time.Microsecond
	regionOneWay  = 10 * time.Millisecond
	domainsSmall  = 3
	domainsLarge  = 6
	largeFrom     = 100
	probeOverhead = 300
	model         = "drafts"
	maxFirst      = int64(10 * time.Minute / time.Microsecond)
)

// epoch is the time at which a run begins.
var epoch = time.Unix(1_000_000, 0)

// event is something that happens at a time; order breaks ties.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

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

// holders is the set of endpoints that hold a prefix.
type holders struct {
	bits []uint64
}

func (h *holders) has(i int32) bool {
	return h != nil && h.bits[i/64]&(1<<(i%64)) != 0
}

// sim is one run.
type sim struct {
	c       Case
	way     Way
	rng     *rand.Rand
	now     time.Duration
	order   uint64
	queue   events
	work    *workload
	engines []*engine
	entries []*entry
	holding map[uint64]*holders

	first             *hdrhistogram.Histogram
	hits, prefixes    int64
	probes, probeSize int64
	servedBefore      []int
}

// Run plays c with way.
func Run(c Case, way Way) (Result, error) {
	s := &sim{
		c: c, way: way,
		rng:     rand.New(rand.NewPCG(c.Seed, c.Seed)),
		holding: make(map[uint64]*holders),
		first:   hdrhistogram.New(1, maxFirst, 3),
	}
	perSecond := float64(c.Endpoints*slots*c.LoadPercent) / 100 / (decodeMean + meanPrompt()).Seconds()
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
	s.at(c.Warm, s.mark)
	for failed == nil && s.queue[0].at < c.Warm+c.Measured {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result(), failed
}

// build makes the deployment, the endpoints and the entries.
func (s *sim) build() {
	domains := domainsSmall
	if s.c.Endpoints >= largeFrom {
		domains = domainsLarge
	}
	d := Deployment(s.c.Endpoints, domains)
	snaps := make([]*picker.Snapshot, domains)
	for k := range snaps {
		view := picker.Locality{FailureDomain: domainName(k), Region: regionName(k)}
		snaps[k] = picker.NewSnapshot(d, 1, view, nil, epoch)
	}
	for i := range s.c.Endpoints {
		s.engines = append(s.engines, newEngine(s, int32(i)))
	}
	for i := range s.c.Entries {
		s.entries = append(s.entries, &entry{
			rng:         rand.New(rand.NewPCG(s.c.Seed, uint64(i)+2)),
			snap:        snaps[i%domains],
			domain:      i % domains,
			next:        s.rng.IntN(s.c.Endpoints),
			outstanding: make([]int32, s.c.Endpoints),
			hints:       make([]picker.Load, s.c.Endpoints),
		})
	}
}

// Deployment makes a deployment of one model on n endpoints.
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

func (s *sim) at(t time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: t, order: s.order, run: run})
}

// oneWay is the latency between an entry and an endpoint.
func (s *sim) oneWay(e *entry, i int32) time.Duration {
	domains := domainsSmall
	if s.c.Endpoints >= largeFrom {
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

// request picks an endpoint for j and sends it there.
func (s *sim) request(j *job) error {
	e := s.entries[j.entry]
	now := epoch.Add(s.now)
	req := &picker.Request{Model: model, Prefixes: j.request(), Prefill: j.prompt(0), Now: now}
	if s.way.probed == nil {
		s.send(e, s.way.direct(s, e, req, j), j)
		return nil
	}
	e.refresh(s.now)
	cands, err := s.way.probed.Candidates(e.snap, req, e.rng, nil)
	if err != nil {
		return err
	}
	wait := time.Duration(0)
	for k := range cands {
		c := &cands[k]
		way := s.oneWay(e, c.Index)
		wait = max(wait, 2*way)
		s.at(s.now+way, func() { s.probe(c, j) })
	}
	s.at(s.now+wait, func() {
		e.learn(cands, epoch.Add(s.now))
		pick, err := s.way.probed.Choose(e.snap, req, cands)
		if err == nil {
			s.send(e, pick.Index, j)
		}
	})
	return nil
}

// probe lets the agent answer and counts the bytes.
func (s *sim) probe(c *picker.Candidate, j *job) {
	g := s.engines[c.Index]
	c.Load = g.report(j, s.now)
	c.Answered = true
	name := "engine-" + strconv.Itoa(int(c.Index))
	ask := &cyclamenpointv1.ProbeRequest{Endpoint: name, Prefixes: j.prefixes}
	answer := &cyclamenpointv1.ProbeResponse{
		Endpoint: name, Incarnation: uint64(s.c.Seed), Queued: uint32(c.Load.Queued), Running: uint32(c.Load.Running),
		Slots: slots, WaitMillis: uint32(c.Load.Wait.Milliseconds()), Matched: uint32(c.Load.Matched),
	}
	s.probes++
	s.probeSize += int64(proto.Size(ask) + proto.Size(answer) + probeOverhead)
}

func (s *sim) send(e *entry, i int32, j *job) {
	e.outstanding[i]++
	e.total++
	s.at(s.now+s.oneWay(e, i), func() { s.engines[i].arrive(s, j) })
}

func (s *sim) firstToken(g *engine, j *job) {
	if j.arrived < s.c.Warm {
		return
	}
	back := s.oneWay(s.entries[j.entry], g.index)
	// The histogram's range exceeds every run; RecordValue cannot fail.
	_ = s.first.RecordValue((s.now + back - j.arrived).Microseconds())
	s.hits += int64(j.matched)
	s.prefixes += int64(len(j.prefixes))
}

func (s *sim) finished(g *engine, j *job) {
	e := s.entries[j.entry]
	e.outstanding[g.index]--
	e.total--
}

// mark begins the measurement.
func (s *sim) mark() {
	s.probes, s.probeSize = 0, 0
	for _, g := range s.engines {
		s.servedBefore = append(s.servedBefore, g.served)
	}
}

// cacheEvent delivers an event to the agent late, or never.
func (s *sim) cacheEvent(run func()) {
	if s.rng.Float64() >= eventLoss {
		s.at(s.now+eventLag, run)
	}
}

func (s *sim) addHolder(prefix uint64, i int32) {
	h := s.holding[prefix]
	if h == nil {
		h = &holders{bits: make([]uint64, s.c.Endpoints/64+1)}
		s.holding[prefix] = h
	}
	h.bits[i/64] |= 1 << (i % 64)
}

func (s *sim) dropHolder(prefix uint64, i int32) {
	if h := s.holding[prefix]; h != nil {
		h.bits[i/64] &^= 1 << (i % 64)
	}
}

func (s *sim) result() Result {
	quantile := func(q float64) time.Duration {
		return time.Duration(s.first.ValueAtQuantile(q)) * time.Microsecond
	}
	busiest, total := 0, 0
	for i, g := range s.engines {
		n := g.served - s.servedBefore[i]
		busiest = max(busiest, n)
		total += n
	}
	perEntry := float64(s.c.Entries) * s.c.Measured.Seconds()
	return Result{
		P50: quantile(50), P95: quantile(95), P99: quantile(99),
		HitPercent:      100 * float64(s.hits) / float64(max(s.prefixes, 1)),
		Spread:          float64(busiest*len(s.engines)) / float64(max(total, 1)),
		ProbesPerSecond: float64(s.probes) / perEntry,
		BytesPerSecond:  float64(s.probeSize) / perEntry,
		Requests:        s.first.TotalCount(),
	}
}
