package outstanding

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

// newTestTracker returns a tracker with two endpoints and ten entry nodes.
func newTestTracker() *Tracker {
	tracker := New()
	tracker.SetNodes(10)
	tracker.SetEndpoints(map[string]string{"10.0.0.1:80": "a", "10.0.0.2:80": "b"})
	return tracker
}

// TestReports checks that a report is used until it expires, corrected by the requests
// that this entry node started and finished since.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTestTracker()
		tracker.Begin("a")
		tracker.Begin("a")
		tracker.SetReport("10.0.0.1:80", Report{Running: 5, Queued: 1, Group: "g", GroupReady: true})
		tracker.SetReport("10.9.9.9:80", Report{Running: 50})
		assert.Equal(t, tracker.Estimate("a", time.Now()).Load, 6.0)
		tracker.Begin("a")
		assert.Equal(t, tracker.Estimate("a", time.Now()).Load, 7.0)
		tracker.End("a")
		tracker.End("a")
		e := tracker.Estimate("a", time.Now())
		assert.Equal(t, e.Load, 5.0)
		assert.Assert(t, e.Reported && !e.GroupDown)
		tracker.SetReport("10.0.0.1:80", Report{Group: "g"})
		assert.Assert(t, tracker.Estimate("a", time.Now()).GroupDown)
		time.Sleep(reportTTL)
		e = tracker.Estimate("a", time.Now())
		assert.Assert(t, !e.Reported && !e.GroupDown)
	})
}

// TestNoReports checks that the load is not extrapolated from the requests of one entry
// node to those of all ten: an endpoint with 6 slots would look full after one request.
func TestNoReports(t *testing.T) {
	tracker := newTestTracker()
	tracker.Begin("a")
	assert.Equal(t, tracker.Estimate("a", time.Now()).Load, 1.0)
}

// TestHealth checks that an endpoint is unhealthy after consecutive failures, for longer
// with each, and healthy again after a success.
func TestHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTestTracker()
		assert.Assert(t, !tracker.Failed("a"))
		assert.Assert(t, !tracker.Estimate("a", time.Now()).Unhealthy)
		assert.Assert(t, tracker.Failed("a"))
		assert.Assert(t, tracker.Estimate("a", time.Now()).Unhealthy)
		time.Sleep(unhealthyFor)
		assert.Assert(t, !tracker.Estimate("a", time.Now()).Unhealthy)
		tracker.Failed("a")
		time.Sleep(unhealthyFor)
		assert.Assert(t, tracker.Estimate("a", time.Now()).Unhealthy, "the time does not double")
		tracker.Succeeded("a")
		assert.Assert(t, !tracker.Estimate("a", time.Now()).Unhealthy)
		for range 20 {
			tracker.Failed("b")
		}
		time.Sleep(maxUnhealthyFor)
		assert.Assert(t, !tracker.Estimate("b", time.Now()).Unhealthy, "unhealthy for longer than maxUnhealthyFor")
	})
}

// TestMisdirectedAndBackingOff checks that an endpoint that is not at its address, or
// that rejects requests, is marked for a limited time.
func TestMisdirectedAndBackingOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTestTracker()
		tracker.Misdirected("a")
		tracker.Rejected("b")
		assert.Assert(t, tracker.Estimate("a", time.Now()).Misdirected)
		assert.Assert(t, tracker.Estimate("b", time.Now()).BackingOff)
		time.Sleep(backoffFor)
		assert.Assert(t, !tracker.Estimate("b", time.Now()).BackingOff)
		time.Sleep(misdirectedFor)
		assert.Assert(t, !tracker.Estimate("a", time.Now()).Misdirected)
	})
}

// TestArrivalRate checks that the number of unreported requests follows the arrival rate
// at all entry nodes.
func TestArrivalRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTestTracker()
		var unreported float64
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			unreported = tracker.CountArrival("s", time.Now())
		}
		// 10 requests per second at each of 10 entry nodes, times reportAge.
		want := 100 * reportAge.Seconds()
		assert.Assert(t, unreported > 0.9*want && unreported < 1.1*want, "%g, not %g", unreported, want)
	})
}
