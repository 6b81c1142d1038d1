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
	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

// policy is a way to enforce a limit across several entry nodes.
type policy interface {
	admit(entry int) bool
	// observe is called once per period for each entry node in turn.
	observe(entry int)
}

const (
	organisation = "o"
	reportDelay  = 500 * time.Millisecond
	warmUp       = 30 * time.Second
)

// limiterPolicy uses a Limiter at each entry node and a Sum.
type limiterPolicy struct {
	nodes   []*Limiter
	sum     *Sum
	limits  deployment.Limits
	numbers uint64
}

func newLimiterPolicy(t testing.TB, n int, limit float64, window time.Duration) *limiterPolicy {
	p := &limiterPolicy{sum: NewSum(DefaultReportTTL), limits: deployment.Limits{RequestsPerSecond: limit}}
	for i := range n {
		l, err := New(Config{Window: window, ReportTTL: DefaultReportTTL}, rand.New(rand.NewPCG(uint64(i), 9)))
		if err != nil {
			t.Fatal(err)
		}
		p.nodes = append(p.nodes, l)
	}
	return p
}

func (p *limiterPolicy) admit(entry int) bool {
	g, err := p.nodes[entry].Admit(organisation, p.limits, 0)
	if err == nil {
		g.Done(-1)
	}
	return err == nil
}

func (p *limiterPolicy) observe(entry int) {
	p.numbers++
	name := fmt.Sprint(entry)
	p.sum.Put(Report{Entry: name, Number: p.numbers, Usage: p.nodes[entry].Demand()})
	others := p.sum.Others(name)
	time.AfterFunc(reportDelay, func() { p.nodes[entry].Observe(others) })
}

// staticSplit gives each node an equal share of the limit.
type staticSplit []*rate.Limiter

func newStaticSplit(n int, limit float64) staticSplit {
	var s staticSplit
	for range n {
		s = append(s, rate.NewLimiter(rate.Limit(limit/float64(n)), max(1, int(burstSeconds*limit/float64(n)))))
	}
	return s
}

func (s staticSplit) admit(entry int) bool { return s[entry].Allow() }
func (s staticSplit) observe(int)          {}

// demandSplit gives each node a token bucket with a share of the limit that is
// proportional to its demand.
type demandSplit struct {
	*limiterPolicy
	buckets []*rate.Limiter
	limit   float64
}

func newDemandSplit(t testing.TB, n int, limit float64) demandSplit {
	return demandSplit{newLimiterPolicy(t, n, 0, DefaultWindow), newStaticSplit(n, limit), limit}
}

func (d demandSplit) admit(entry int) bool {
	d.limiterPolicy.admit(entry)
	return d.buckets[entry].Allow()
}

func (d demandSplit) observe(entry int) {
	d.limiterPolicy.observe(entry)
	a := d.nodes[entry].account(organisation)
	own := d.nodes[entry].ownDemand(a, time.Now()).Requests
	if total := own + a.others.Requests; total > 0 {
		d.buckets[entry].SetLimit(rate.Limit(d.limit * own / total))
		d.buckets[entry].SetBurst(max(1, int(burstSeconds*d.limit*own/total)))
	}
}

// scenario sends demand(t) requests per second, distributed over the entry nodes
// by a Zipf distribution with exponent skew.
type scenario struct {
	entries int
	skew    float64
	length  time.Duration
	demand  func(at time.Duration) float64
	seed    uint64
}

// series contains the numbers of offered and admitted requests in each second.
type series struct{ offered, admitted []int }

func (r scenario) simulate(t *testing.T, newPolicy func() policy) series {
	seconds := int(r.length / time.Second)
	s := series{make([]int, seconds+1), make([]int, seconds+1)}
	synctest.Test(t, func(*testing.T) {
		p := newPolicy()
		rng := rand.New(rand.NewPCG(r.seed, 7))
		cumulative := r.weights(rng)
		begin := time.Now()
		stop := make(chan struct{})
		go sendReports(p, r.entries, stop)
		for {
			at := time.Since(begin)
			time.Sleep(time.Duration(rng.ExpFloat64() / r.demand(at) * float64(time.Second)))
			at = time.Since(begin)
			if at >= r.length {
				break
			}
			entry := pick(cumulative, rng.Float64())
			s.offered[int(at/time.Second)]++
			if p.admit(entry) {
				s.admitted[int(at/time.Second)]++
			}
		}
		close(stop)
		time.Sleep(time.Minute)
	})
	return s
}

// sendReports makes each node report once per period, one after the other.
func sendReports(p policy, n int, stop chan struct{}) {
	for entry := 0; ; entry = (entry + 1) % n {
		select {
		case <-stop:
			return
		case <-time.After(ReportPeriod / time.Duration(n)):
			p.observe(entry)
		}
	}
}

func (r scenario) weights(rng *rand.Rand) []float64 {
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

// mean returns the mean number per second after the warm-up.
func mean(perSecond []int) float64 {
	sum := 0
	cut := perSecond[int(warmUp/time.Second) : len(perSecond)-1]
	for _, n := range cut {
		sum += n
	}
	return float64(sum) / float64(len(cut))
}

// maxMean returns the largest mean over any interval of the given length after
// the warm-up.
func maxMean(perSecond []int, seconds int) float64 {
	best := 0
	for i := int(warmUp / time.Second); i+seconds < len(perSecond); i++ {
		sum := 0
		for _, n := range perSecond[i : i+seconds] {
			sum += n
		}
		best = max(best, sum)
	}
	return float64(best) / float64(seconds)
}
