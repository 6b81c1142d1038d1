package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// source is a Poisson process of one organisation's requests.
type source struct {
	org               string
	requestsPerSecond float64
	duration          time.Duration
}

// discipline changes a request's attributes so that the queue schedules it by
// another queueing discipline, for comparison.
type discipline func(r *Request, seq int)

func fair(*Request, int)                    {}
func fifo(r *Request, _ int)                { r.Organisation = "all" }
func lifo(r *Request, s int)                { r.Organisation, r.Priority = "all", int32(s) }
func lifoPerOrganisation(r *Request, s int) { r.Priority = int32(s) }
func roundRobin(r *Request, _ int)          { r.Cost = 1 }
func noDeadline(r *Request, _ int)          { r.Organisation, r.Remaining = "all", 0 }

// scenario is a simulation of the queue in front of an endpoint whose slots are
// independent of each other.
type scenario struct {
	reserve    int
	slots      int
	meanRun    time.Duration
	deadline   time.Duration
	discipline discipline
	sources    []source
	// runNoise is the largest relative deviation of a run time from the cost
	// estimate.
	runNoise float64
	seed     uint64
}

// results are the results that one organisation's callers observed.
type results struct {
	offered, late, refused, lateRefused int
	waits, latencies                    []time.Duration
	slotTime                            time.Duration
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

// warmUp is the initial part of a simulation that is not counted.
const warmUp = 30 * time.Second

func (s scenario) run(t *testing.T) map[string]*results {
	out := map[string]*results{}
	synctest.Test(t, func(t *testing.T) {
		q, err := New(Config{Endpoint: "e", Slots: s.slots, MaxQueued: 20 * s.slots, ReservedSlots: s.reserve, TimePerCost: s.meanRun})
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, src := range s.sources {
			res := &results{}
			out[src.org] = res
			wg.Go(func() { s.offer(q, src, rand.New(rand.NewPCG(s.seed, uint64(i))), res, &mu, &wg) })
		}
		wg.Wait()
	})
	return out
}

func (s scenario) offer(q *Queue, src source, rng *rand.Rand, res *results, mu *sync.Mutex, wg *sync.WaitGroup) {
	begin := time.Now()
	for seq := 0; time.Since(begin) < src.duration; seq++ {
		time.Sleep(seconds(rng.ExpFloat64() / src.requestsPerSecond))
		cost := rng.ExpFloat64()
		run := seconds(cost * (1 + s.runNoise*(2*rng.Float64()-1)) * s.meanRun.Seconds())
		req := Request{ID: strconv.Itoa(seq), Organisation: src.org, Cost: cost, Remaining: s.deadline}
		s.discipline(&req, seq)
		counted := time.Since(begin) >= warmUp
		wg.Go(func() { s.request(q, req, run, res, mu, counted) })
	}
}

func (s scenario) request(q *Queue, req Request, run time.Duration, res *results, mu *sync.Mutex, counted bool) {
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline)
	defer cancel()
	arrived := time.Now()
	release, err := q.Admit(ctx, req)
	wait := time.Since(arrived)
	if err == nil {
		select {
		case <-time.After(run):
		case <-ctx.Done():
		}
		release()
	}
	total := time.Since(arrived)
	mu.Lock()
	defer mu.Unlock()
	if !counted {
		return
	}
	res.offered++
	switch {
	case err != nil:
		res.refused++
		if wait > 0 {
			res.lateRefused++
		}
		return
	case ctx.Err() != nil:
		res.late++
	default:
		res.slotTime += total - wait
	}
	res.waits = append(res.waits, wait)
	res.latencies = append(res.latencies, total)
}

func (res *results) add(o *results) {
	res.offered += o.offered
	res.late += o.late
	res.refused += o.refused
	res.lateRefused += o.lateRefused
	res.slotTime += o.slotTime
	res.waits = append(res.waits, o.waits...)
	res.latencies = append(res.latencies, o.latencies...)
}
