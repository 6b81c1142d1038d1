package pacing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/pacing"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

const (
	// domainEndpoints is the number of endpoints of the failure domain that returns.
	domainEndpoints = 24
	// coldBound is the number of requests that each may get within a second: 34 a second
	// times 1.5 and 5.
	coldBound = 56
	coldPerS  = 34
	coldTime  = 8 * time.Second
	// loadDelay is the age of the loads on which choices are based, maxWait the time for
	// which a request waits for a slot, waitStep the time between two choices.
	loadDelay = 200 * time.Millisecond
	maxWait   = 600 * time.Millisecond
	waitStep  = 40 * time.Millisecond
)

// coldDomain plays gateways before a failure domain whose endpoints all return cold at
// once, and other endpoints that are warm.
type coldDomain struct {
	rng       *rand.Rand
	gateways  []*pacing.ColdSlots
	states    *pacing.ColdStates
	endpoints []pacing.Endpoint
	// warm is the number of the last endpoints that are warm, slots the number of requests
	// that each endpoint runs at once.
	slots, warm int
	// firstEvent is the time until the beginning of an answer, length that until its end.
	firstEvent, length time.Duration

	now               time.Time
	running, reported []int
	arrivals          [][]time.Duration
	later             map[int64][]func()
	served, refused   int
	longestWait       time.Duration
}

func newColdDomain(gateways, warm, slots int, firstEvent, length time.Duration) *coldDomain {
	d := &coldDomain{
		rng: rand.New(rand.NewPCG(uint64(gateways), 1)), states: pacing.NewColdStates(), now: time.Unix(1000, 0),
		warm: warm, slots: slots, firstEvent: firstEvent, length: length, later: make(map[int64][]func()),
	}
	var names []string
	for i := range gateways {
		names = append(names, fmt.Sprintf("edge-%d", i))
	}
	for _, name := range names {
		// The gateways run for long.
		g := pacing.NewColdSlots(name, d.now.Add(-time.Minute))
		g.SetNodes(names, d.now)
		d.gateways = append(d.gateways, g)
	}
	for i := range domainEndpoints + warm {
		e := pacing.Endpoint{ID: fmt.Sprintf("i-%d", i), Incarnation: 1}
		remaining := coldTime
		if i >= domainEndpoints {
			remaining = 0
		}
		d.states.List(e, pacing.ColdRow{Revision: 1, Stated: true, Remaining: remaining}, d.now)
		d.endpoints = append(d.endpoints, e)
	}
	d.running, d.reported = make([]int, len(d.endpoints)), make([]int, len(d.endpoints))
	d.arrivals = make([][]time.Duration, len(d.endpoints))
	return d
}

const tick = time.Millisecond

func (d *coldDomain) after(wait time.Duration, do func()) {
	at := d.now.Add(max(wait, tick)).UnixMilli()
	d.later[at] = append(d.later[at], do)
}

// play lets perSecond requests a second arrive for some time.
func (d *coldDomain) play(perSecond float64, length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(tick) {
		due := d.later[d.now.UnixMilli()]
		delete(d.later, d.now.UnixMilli())
		for _, do := range due {
			do()
		}
		if d.now.UnixMilli()%loadDelay.Milliseconds() == 0 {
			copy(d.reported, d.running)
		}
		for range d.arrivalsIn(perSecond * tick.Seconds()) {
			d.request(d.gateways[d.rng.IntN(len(d.gateways))], perSecond, d.now)
		}
	}
}

// arrivalsIn returns the number of arrivals of a Poisson process with a mean.
func (d *coldDomain) arrivalsIn(mean float64) int {
	n := 0
	for at := d.rng.ExpFloat64(); at < mean; at += d.rng.ExpFloat64() {
		n++
	}
	return n
}

// request chooses an endpoint as a gateway does: a request that finds no slot waits.
func (d *coldDomain) request(g *pacing.ColdSlots, perSecond float64, arrived time.Time) {
	reported := make([]picker.ReportedEndpoint, len(d.endpoints))
	for i, e := range d.endpoints {
		left, _, _ := d.states.Cold(e, pacing.ColdLimit{Start: coldTime}, d.now)
		reported[i] = picker.ReportedEndpoint{Slots: d.slots, Load: float64(d.reported[i]), Reported: true, Cold: left > 0}
		if left > 0 {
			wait, ok := g.Wait(e.ID, coldBound, d.now)
			reported[i].Excluded = !ok || wait > 0
		}
	}
	i := picker.DefaultReportPolicy.Choose(reported, picker.Work{Unreported: perSecond * loadDelay.Seconds()}, d.rng).Index
	if i < 0 {
		if d.now.Sub(arrived) >= maxWait {
			d.refused++
			return
		}
		d.after(waitStep, func() { d.request(g, perSecond, arrived) })
		return
	}
	bound := -1
	if reported[i].Cold {
		bound = coldBound
	}
	slot := g.Take(d.endpoints[i].ID, bound, d.now)
	slot.Sent()
	d.served++
	d.longestWait = max(d.longestWait, d.now.Sub(arrived))
	d.running[i]++
	d.arrivals[i] = append(d.arrivals[i], d.now.Sub(time.Unix(1000, 0)))
	d.after(d.firstEvent, func() { slot.Answered(d.now) })
	d.after(d.length, func() {
		d.running[i]--
		slot.End(d.now)
	})
}

// peak returns the most requests that a cold endpoint got within a second.
func (d *coldDomain) peak() int {
	most := 0
	for _, arrivals := range d.arrivals[:domainEndpoints] {
		for i, at := range arrivals {
			first, _ := slices.BinarySearch(arrivals, at-time.Second)
			if at < coldTime {
				most = max(most, i-first+1)
			}
		}
	}
	return most
}

// TestColdDomainFills plays a failure domain that returns cold while the other endpoints are
// full: no caller is refused at a load that is below what the domain sustains. The bound holds
// also above that, and then the domain gets requests at the rate that its service states.
func TestColdDomainFills(t *testing.T) {
	for _, gateways := range []int{6, 18, 24, 53} {
		for name, c := range map[string]struct {
			slots              int
			firstEvent, length time.Duration
			perSecond          float64
		}{
			"streams":       {10, 250 * time.Millisecond, 2 * time.Second, 100},
			"plain service": {64, 60 * time.Millisecond, 60 * time.Millisecond, domainEndpoints * 20},
		} {
			t.Run(fmt.Sprintf("%d gateways, %s", gateways, name), func(t *testing.T) {
				d := newColdDomain(gateways, 0, c.slots, c.firstEvent, c.length)
				d.play(c.perSecond, coldTime)
				t.Logf("%g a second: %d served, %d refused, longest wait %s, at most %d in a second", c.perSecond, d.served, d.refused, d.longestWait, d.peak())
				assert.Assert(t, d.peak() <= coldBound)
				assert.Equal(t, d.refused, 0)
			})
		}
		t.Run(fmt.Sprintf("%d gateways, overload", gateways), func(t *testing.T) {
			const length = 3 * time.Second
			d := newColdDomain(gateways, 0, 1000, 60*time.Millisecond, 60*time.Millisecond)
			d.play(domainEndpoints*2.5*coldPerS, length)
			rate := float64(d.served) / length.Seconds() / domainEndpoints
			t.Logf("%.1f requests a second to each endpoint, at most %d in a second", rate, d.peak())
			assert.Assert(t, d.peak() <= coldBound)
			assert.Assert(t, rate >= coldPerS, "%.1f a second", rate)
		})
	}
}

// TestColdDomainBesideWarm plays a failure domain that returns cold and empty beside two warm
// domains that have served all requests so far: no caller is refused or waits.
func TestColdDomainBesideWarm(t *testing.T) {
	for _, gateways := range []int{18, 53, 350} {
		d := newColdDomain(gateways, 2*domainEndpoints, 10, 250*time.Millisecond, 2*time.Second)
		d.play(300, 2*coldTime)
		inDomain := 0
		for i := range domainEndpoints {
			inDomain += d.running[i]
		}
		t.Logf("%d gateways: %d served, %d refused, longest wait %s, at most %d in a second, %d of 600 running in the domain", gateways, d.served, d.refused, d.longestWait, d.peak(), inDomain)
		assert.Assert(t, d.peak() <= coldBound)
		assert.Equal(t, d.refused, 0)
		assert.Equal(t, d.longestWait, time.Duration(0))
	}
}

// TestColdDomainWithoutSlots checks that the play detects a domain that is not protected.
func TestColdDomainWithoutSlots(t *testing.T) {
	d := newColdDomain(18, 0, 1000, 60*time.Millisecond, 60*time.Millisecond)
	for i := range d.gateways {
		d.gateways[i] = pacing.NewColdSlots(fmt.Sprint(i), d.now.Add(-time.Minute))
		d.gateways[i].SetNodes(nil, d.now)
	}
	d.play(domainEndpoints*5*coldPerS, time.Second)
	assert.Assert(t, d.peak() > coldBound, "%d", d.peak())
}
