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

// source is a Poisson stream of one organisation's requests.
type source struct {
	org    string
	perSec float64
	to     time.Duration
}

// order maps the requests to tickets, to compare ways of queueing.
type order func(t *Request, seq int)

func fair(*Request, int)           {}
func fifo(t *Request, _ int)       { t.Organisation = "all" }
func lifo(t *Request, s int)       { t.Organisation, t.Priority = "all", int32(s) }
func lifoInside(t *Request, s int) { t.Priority = int32(s) }
func roundRobin(t *Request, _ int) { t.Cost = 1 }
func noDeadline(t *Request, _ int) { t.Organisation, t.Remaining = "all", 0 }

// scenario is one run of the queue against an endpoint whose slots are
// independent of each other.
type scenario struct {
	reserve  int
	slots    int
	meanRun  time.Duration
	deadline time.Duration
	order    order
	sources  []source
	// runNoise is the spread of the run around its estimated cost.
	runNoise float64
	seed     uint64
}

// tally is what one organisation's callers saw.
type tally struct {
	offered, late, refused, lateRefused int
	waits, totals                       []time.Duration
	slotTime                            time.Duration
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

// warmUp is cut from the tallies.
const warmUp = 30 * time.Second

func (s scenario) run(t *testing.T) map[string]*tally {
	out := map[string]*tally{}
	synctest.Test(t, func(t *testing.T) {
		q, err := New(Config{Endpoint: "e", Slots: s.slots, MaxQueued: 20 * s.slots, ReservedSlots: s.reserve, TimePerCost: s.meanRun})
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, src := range s.sources {
			tl := &tally{}
			out[src.org] = tl
			wg.Go(func() { s.offer(q, src, rand.New(rand.NewPCG(s.seed, uint64(i))), tl, &mu, &wg) })
		}
		wg.Wait()
	})
	return out
}

func (s scenario) offer(q *Queue, src source, rng *rand.Rand, tl *tally, mu *sync.Mutex, wg *sync.WaitGroup) {
	begin := time.Now()
	for seq := 0; time.Since(begin) < src.to; seq++ {
		time.Sleep(seconds(rng.ExpFloat64() / src.perSec))
		cost := rng.ExpFloat64()
		run := seconds(cost * (1 + s.runNoise*(2*rng.Float64()-1)) * s.meanRun.Seconds())
		tk := Request{ID: strconv.Itoa(seq), Organisation: src.org, Cost: cost, Remaining: s.deadline}
		s.order(&tk, seq)
		counts := time.Since(begin) >= warmUp
		wg.Go(func() { s.request(q, tk, run, tl, mu, counts) })
	}
}

func (s scenario) request(q *Queue, tk Request, run time.Duration, tl *tally, mu *sync.Mutex, counts bool) {
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline)
	defer cancel()
	arrived := time.Now()
	release, err := q.Admit(ctx, tk)
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
	if !counts {
		return
	}
	tl.offered++
	switch {
	case err != nil:
		tl.refused++
		if wait > 0 {
			tl.lateRefused++
		}
		return
	case ctx.Err() != nil:
		tl.late++
	default:
		tl.slotTime += total - wait
	}
	tl.waits = append(tl.waits, wait)
	tl.totals = append(tl.totals, total)
}

func (tl *tally) add(o *tally) {
	tl.offered += o.offered
	tl.late += o.late
	tl.refused += o.refused
	tl.lateRefused += o.lateRefused
	tl.slotTime += o.slotTime
	tl.waits = append(tl.waits, o.waits...)
	tl.totals = append(tl.totals, o.totals...)
}
