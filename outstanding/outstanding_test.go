package outstanding

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func known() *Tracker {
	l := New()
	l.SetNodes(10)
	l.SetEndpoints(map[string]string{"10.0.0.1:80": "a", "10.0.0.2:80": "b"})
	return l
}

// TestReports: a report counts until it is old, with what this node sent and
// finished since.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := known()
		l.Begin("a")
		l.Begin("a")
		l.SetReport("10.0.0.1:80", Report{Running: 5, Queued: 1, Group: "g", GroupReady: true})
		l.SetReport("10.9.9.9:80", Report{Running: 50})
		assert.Equal(t, l.Estimate("a", time.Now()).Load, 6.0)
		l.Begin("a")
		assert.Equal(t, l.Estimate("a", time.Now()).Load, 7.0)
		l.End("a")
		l.End("a")
		e := l.Estimate("a", time.Now())
		assert.Equal(t, e.Load, 5.0)
		assert.Assert(t, e.Reported && !e.GroupDown)
		l.SetReport("10.0.0.1:80", Report{Group: "g"})
		assert.Assert(t, l.Estimate("a", time.Now()).GroupDown)
		time.Sleep(reportLife)
		e = l.Estimate("a", time.Now())
		assert.Assert(t, !e.Reported && !e.GroupDown)
	})
}

// TestNoReports: one request of this node says nothing of the other nine; an
// endpoint of 6 slots is not full by it.
func TestNoReports(t *testing.T) {
	l := known()
	l.Begin("a")
	assert.Equal(t, l.Estimate("a", time.Now()).Load, 1.0)
}

// TestHealth: an endpoint is ill after failures in a row, for longer with each,
// and well after a success.
func TestHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := known()
		assert.Assert(t, !l.Failed("a"))
		assert.Assert(t, !l.Estimate("a", time.Now()).Unhealthy)
		assert.Assert(t, l.Failed("a"))
		assert.Assert(t, l.Estimate("a", time.Now()).Unhealthy)
		time.Sleep(illFor)
		assert.Assert(t, !l.Estimate("a", time.Now()).Unhealthy)
		l.Failed("a")
		time.Sleep(illFor)
		assert.Assert(t, l.Estimate("a", time.Now()).Unhealthy, "twice as long")
		l.Succeeded("a")
		assert.Assert(t, !l.Estimate("a", time.Now()).Unhealthy)
		for range 20 {
			l.Failed("b")
		}
		time.Sleep(illMost)
		assert.Assert(t, !l.Estimate("b", time.Now()).Unhealthy, "never longer than illMost")
	})
}

// TestMovedAndResting: an endpoint that is not at its address, or turns requests
// away, is left alone for a while.
func TestMovedAndResting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := known()
		l.Misdirected("a")
		l.Rejected("b")
		assert.Assert(t, l.Estimate("a", time.Now()).Misdirected)
		assert.Assert(t, l.Estimate("b", time.Now()).BackingOff)
		time.Sleep(restFor)
		assert.Assert(t, !l.Estimate("b", time.Now()).BackingOff)
		time.Sleep(movedFor)
		assert.Assert(t, !l.Estimate("a", time.Now()).Misdirected)
	})
}

// TestRate: the requests that reports do not show yet follow the rate of all
// nodes.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := known()
		var unseen float64
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			unseen = l.CountArrival("s", time.Now())
		}
		// 10 a second here, 10 nodes, reportAge.
		want := 100 * reportAge.Seconds()
		assert.Assert(t, unseen > 0.9*want && unseen < 1.1*want, "%g, not %g", unseen, want)
	})
}
