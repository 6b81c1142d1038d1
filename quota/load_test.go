package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// way is one way to hold a limit over several entry nodes.
type way interface {
	admit(entry int) bool
	// observe is called each period for each entry, in turn.
	observe(entry int)
}

const (
	organisation = "o"
	newsDelay    = 500 * time.Millisecond
	warmUp       = 30 * time.Second
)

// limiters is the real thing.
type limiters struct {
	nodes   []*Limiter
	sum     *Sum
	limits  deployment.Limits
	numbers uint64
}

func newLimiters(t testing.TB, n int, limit float64, window time.Duration) *limiters {
	w := &limiters{sum: NewSum(DefaultReportTTL), limits: deployment.Limits{RequestsPerSecond: limit}}
	for i := range n {
		l, err := New(Config{Window: window, ReportTTL: DefaultReportTTL}, rand.New(rand.NewPCG(uint64(i), 9)))
		if err != nil {
			t.Fatal(err)
		}
		w.nodes = append(w.nodes, l)
	}
	return w
}

func (w *limiters) admit(entry int) bool {
	g, err := w.nodes[entry].Admit(organisation, w.limits, 0)
	if err == nil {
		g.Done(-1)
	}
	return err == nil
}

func (w *limiters) observe(entry int) {
	w.numbers++
	name := fmt.Sprint(entry)
	w.sum.Put(Report{Entry: name, Number: w.numbers, Usage: w.nodes[entry].Demand()})
	others := w.sum.Others(name)
	time.AfterFunc(newsDelay, func() { w.nodes[entry].Observe(others) })
}

// staticSplit gives each node the same part of the limit.
type staticSplit []*rate.Limiter

func newStatic(n int, limit float64) staticSplit {
	var s staticSplit
	for range n {
		s = append(s, rate.NewLimiter(rate.Limit(limit/float64(n)), max(1, int(burstSeconds*limit/float64(n)))))
	}
	return s
}

func (s staticSplit) admit(entry int) bool { return s[entry].Allow() }
func (s staticSplit) observe(int)          {}

// demandSplit gives each node a bucket with its part of the demand.
type demandSplit struct {
	*limiters
	buckets []*rate.Limiter
	limit   float64
}

func newDemandSplit(t testing.TB, n int, limit float64) demandSplit {
	return demandSplit{newLimiters(t, n, 0, DefaultWindow), newStatic(n, limit), limit}
}

func (d demandSplit) admit(entry int) bool {
	d.limiters.admit(entry)
	return d.buckets[entry].Allow()
}

func (d demandSplit) observe(entry int) {
	d.limiters.observe(entry)
	a := d.nodes[entry].account(organisation)
	own := d.nodes[entry].own(a, time.Now()).Requests
	if total := own + a.others.Requests; total > 0 {
		d.buckets[entry].SetLimit(rate.Limit(d.limit * own / total))
		d.buckets[entry].SetBurst(max(1, int(burstSeconds*d.limit*own/total)))
	}
}

// run offers demand(t) requests a second, spread over n nodes by a Zipf law with
// the given exponent.
type run struct {
	entries int
	skew    float64
	length  time.Duration
	demand  func(at time.Duration) float64
	seed    uint64
}

// seen is what came through, by second.
type seen struct{ offered, admitted []int }

func (r run) play(t *testing.T, mk func() way) seen {
	seconds := int(r.length / time.Second)
	s := seen{make([]int, seconds+1), make([]int, seconds+1)}
	synctest.Test(t, func(*testing.T) {
		w := mk()
		rng := rand.New(rand.NewPCG(r.seed, 7))
		cumulative := r.weights(rng)
		begin := time.Now()
		stop := make(chan struct{})
		go reports(w, r.entries, stop)
		for {
			at := time.Since(begin)
			time.Sleep(time.Duration(rng.ExpFloat64() / r.demand(at) * float64(time.Second)))
			at = time.Since(begin)
			if at >= r.length {
				break
			}
			entry := pick(cumulative, rng.Float64())
			s.offered[int(at/time.Second)]++
			if w.admit(entry) {
				s.admitted[int(at/time.Second)]++
			}
		}
		close(stop)
		time.Sleep(time.Minute)
	})
	return s
}

// reports lets every node report once a period, one after the other.
func reports(w way, n int, stop chan struct{}) {
	for entry := 0; ; entry = (entry + 1) % n {
		select {
		case <-stop:
			return
		case <-time.After(ReportPeriod / time.Duration(n)):
			w.observe(entry)
		}
	}
}

func (r run) weights(rng *rand.Rand) []float64 {
	out := make([]float64, r.entries)
	sum := 0.0
	for i, rank := range rng.Perm(r.entries) {
		sum += math.Pow(float64(rank+1), -r.skew)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

func pick(cumulative []float64, x float64) int {
	for i, c := range cumulative {
		if x < c {
			return i
		}
	}
	return len(cumulative) - 1
}

// mean is the number per second after the warm-up.
func mean(perSecond []int) float64 {
	sum := 0
	cut := perSecond[int(warmUp/time.Second) : len(perSecond)-1]
	for _, n := range cut {
		sum += n
	}
	return float64(sum) / float64(len(cut))
}

// most is the largest mean over a stretch of seconds after the warm-up.
func most(perSecond []int, stretch int) float64 {
	best := 0
	for i := int(warmUp / time.Second); i+stretch < len(perSecond); i++ {
		sum := 0
		for _, n := range perSecond[i : i+stretch] {
			sum += n
		}
		best = max(best, sum)
	}
	return float64(best) / float64(stretch)
}
