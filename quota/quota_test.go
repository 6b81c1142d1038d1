package quota

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// singleBucket is the reference: one token bucket for the whole deployment.
type singleBucket struct{ bucket *rate.Limiter }

func (s singleBucket) admit(int) bool { return s.bucket.Allow() }
func (singleBucket) observe(int)      {}

// noReports is an injected fault: nodes do not receive the others' reports.
type noReports struct{ *limiterPolicy }

func (noReports) observe(int) {}

// compareWithSingleBucket returns a message if the steady rate differs too much
// from that of a single bucket.
func compareWithSingleBucket(t *testing.T, r scenario, limit float64, newPolicy func() policy) string {
	want := mean(r.simulate(t, func() policy { return singleBucket{rate.NewLimiter(rate.Limit(limit), int(2*limit))} }).admitted)
	got := mean(r.simulate(t, newPolicy).admitted)
	if got > 1.05*want || got < 0.90*want {
		return fmt.Sprintf("%+v: %.2f/s, one bucket %.2f/s", r, got, want)
	}
	return ""
}

// TestSteadyDemand checks that with steady demand the entry nodes together admit
// at most 5% more and at most 10% less than a single bucket, and that an injected
// fault is detected.
func TestSteadyDemand(t *testing.T) {
	const limit = 20.0
	for _, c := range []struct {
		entries int
		load    float64
	}{{2, 0.9}, {2, 2}, {10, 1}, {350, 2}} {
		r := scenario{entries: c.entries, skew: 1.5, length: 230 * time.Second, demand: steady(c.load * limit), seed: 5}
		assert.Equal(t, compareWithSingleBucket(t, r, limit, func() policy { return newLimiterPolicy(t, c.entries, limit, DefaultWindow) }), "")
	}
	r := scenario{entries: 10, length: 330 * time.Second, demand: steady(40), seed: 5}
	assert.Assert(t, compareWithSingleBucket(t, r, 20, func() policy { return noReports{newLimiterPolicy(t, 10, 20, DefaultWindow)} }) != "")
}

func newLimiter(t *testing.T) *Limiter {
	t.Helper()
	l, err := New(Config{Window: DefaultWindow, ReportTTL: DefaultReportTTL}, rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	return l
}

// TestConcurrentLimit checks that requests at this and at other nodes count until
// they have ended.
func TestConcurrentLimit(t *testing.T) {
	l := newLimiter(t)
	limits := deployment.Limits{Concurrent: 3}
	l.Observe(map[string]Usage{"o": {Concurrent: 1}})
	first, err := l.Admit("o", limits, 0)
	assert.NilError(t, err)
	_, err = l.Admit("o", limits, 0)
	assert.NilError(t, err)
	_, err = l.Admit("o", limits, 0)
	assert.ErrorType(t, err, &LimitedError{})
	first.Done(-1)
	first.Done(-1)
	assert.Equal(t, l.Demand()["o"].Concurrent, 1.0)
	_, err = l.Admit("o", limits, 0)
	assert.NilError(t, err)
}

// TestTokenLimit checks that the limit applies to generated tokens, although
// callers announce ten times as many.
func TestTokenLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		generated := 0
		begin := time.Now()
		for time.Since(begin) < 10*time.Minute {
			time.Sleep(100 * time.Millisecond)
			if g, err := l.Admit("o", deployment.Limits{TokensPerSecond: 500}, 1000); err == nil {
				time.AfterFunc(5*time.Second, func() { g.Done(100) })
				generated += 100
			}
		}
		perSecond := float64(generated) / 600
		assert.Assert(t, perSecond < 1.05*500 && perSecond > 0.9*500, "%.1f tokens/s", perSecond)
		time.Sleep(time.Minute)
	})
}

// TestReportsExpire checks that the last reported demand is used while no reports
// arrive, and that the demand of an organisation expires while that of others is
// still reported.
func TestReportsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(t)
		l.Observe(map[string]Usage{"o": {Requests: 9}})
		time.Sleep(time.Hour)
		a := l.account("o")
		assert.Equal(t, l.othersDemand(a, time.Now()).Requests, 9.0)
		l.Observe(map[string]Usage{"p": {Requests: 1}})
		assert.Equal(t, l.othersDemand(a, time.Now()).Requests, 0.0)
		assert.Equal(t, len(l.Demand()), 1)
	})
}

// TestSumOrder checks that duplicate, late and reordered reports give the same sum
// as a table of each node's latest report.
func TestSumOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSum(time.Hour)
		latest := map[int]int{}
		for range rapid.IntRange(1, 40).Draw(rt, "reports") {
			entry := rapid.IntRange(0, 3).Draw(rt, "entry")
			number := rapid.IntRange(1, 20).Draw(rt, "number")
			s.Put(Report{
				Entry: fmt.Sprint(entry), Number: uint64(number),
				Usage: map[string]Usage{"o": {Requests: float64(number)}},
			})
			latest[entry] = max(latest[entry], number)
		}
		want := 0
		for entry, number := range latest {
			if entry != 0 {
				want += number
			}
		}
		assert.Equal(rt, s.Others("0")["o"].Requests, float64(want))
	})
}

// TestOwner checks that when a node leaves, only the organisations that it owned
// get another owner.
func TestOwner(t *testing.T) {
	entries := strings.Fields("a b c d e f g h")
	for i := range 1000 {
		org := fmt.Sprint(i)
		before, after := Owner(org, entries), Owner(org, entries[1:])
		assert.Assert(t, before == after || before == "a")
	}
}

func BenchmarkAdmit(b *testing.B) {
	l, _ := New(Config{Window: DefaultWindow, ReportTTL: DefaultReportTTL}, rand.New(rand.NewPCG(1, 1)))
	limits := deployment.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrent: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		g, err := l.Admit("o", limits, 100)
		if err != nil {
			b.Fatal(err)
		}
		g.Done(90)
	}
}
