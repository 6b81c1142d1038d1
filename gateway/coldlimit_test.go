package gateway

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// coldTest is the part of a gateway that limits requests to cold endpoints, with two
// endpoints in different failure domains and the only gateway's list.
func coldTest() (c *coldEndpoints, service *route.Service, listed []discovery.Endpoint, now time.Time, log *bytes.Buffer) {
	log = &bytes.Buffer{}
	c = newColdEndpoints(ColdSettings{Overage: 1.5, Slack: 5}, "n0", &notes{}, slog.New(slog.NewTextHandler(log, nil)))
	for _, domain := range []string{"d1", "d2"} {
		listed = append(listed, discovery.Endpoint{ID: "e-" + domain, Service: "s", FailureDomain: domain, Slots: 8, WarmupStated: true, Revision: 1, Started: time.UnixMilli(1)})
	}
	c.setEndpoints(discovery.NewSet(listed), false)
	now = time.Now().Add(10 * time.Second)
	c.slots.SetNodes([]string{"n0"}, now)
	c.tick(now)
	return c, &route.Service{Name: "s", ColdStart: 8 * time.Second, ColdPerSecond: 34}, listed, now, log
}

// TestEvacuationEndLimitsEndpoints guards against a failure domain that gets all requests at
// once when its evacuation ends: its endpoints count as cold, the others do not.
func TestEvacuationEndLimitsEndpoints(t *testing.T) {
	c, service, listed, now, log := coldTest()
	end := now.Add(-time.Second)
	c.evacuationEnd = func(domain string) time.Time {
		if domain == "d2" {
			return end
		}
		return time.Time{}
	}
	reported := make([]picker.ReportedEndpoint, 2)
	assert.Equal(t, c.restrict(service, listed, reported, now), time.Duration(0))
	assert.Assert(t, !reported[0].Cold && reported[1].Cold && !reported[1].Excluded)
	assert.Assert(t, strings.Contains(log.String(), `"endpoint counts as cold" endpoint=e-d2 service=s failure_domain=d2 cause="evacuation ended" remaining_ms=7000`), log.String())
	taken := 0
	for {
		slot, ok := c.take(service, &listed[1], true, now)
		if !ok {
			break
		}
		slot.Sent()
		slot.Answered(now)
		taken++
	}
	assert.Assert(t, taken > 0 && taken <= 56, "%d", taken)
	wait := c.restrict(service, listed, reported, now)
	assert.Assert(t, wait > time.Second && wait < 1100*time.Millisecond, "%s", wait)
	assert.Assert(t, !reported[0].Excluded && reported[1].Excluded)
	reported = make([]picker.ReportedEndpoint, 2)
	later := end.Add(service.ColdStart)
	// Without ticks this time would count as a freeze.
	for at := now; at.Before(later); at = at.Add(time.Second) {
		c.tick(at)
	}
	c.restrict(service, listed, reported, later)
	assert.Assert(t, !reported[1].Cold && !reported[1].Excluded)
	assert.Equal(t, strings.Count(log.String(), "endpoint counts as warm"), 1)
}

// TestColdValuesOutOfRange checks that a configuration and answers with values out of range
// leave one clear line each in the log, and that such an answer does not make an endpoint
// count as warm.
func TestColdValuesOutOfRange(t *testing.T) {
	c, service, listed, now, log := coldTest()
	c.setConfig(route.Config{Version: 3, Services: []route.Service{*service}, Bounded: []error{
		errors.New("services.t.cold_per_s is -1"),
	}})
	assert.Assert(t, strings.Contains(log.String(), "services.t.cold_per_s"), log.String())
	assert.Assert(t, strings.Contains(log.String(), "service=s requests_in_any_second=56 cold_start_ms=8000"), log.String())
	c.evacuationEnd = func(string) time.Time { return now.Add(-time.Second) }
	for range 3 {
		c.observe(service, listed[0], "r1", now, forward.ColdStatement{Fault: "-7"})
	}
	assert.Equal(t, strings.Count(log.String(), "endpoint states an invalid time of its cold start"), 1, log.String())
	assert.Assert(t, c.remaining(service, &listed[0], now) > 0)
	c.observe(service, listed[0], "r1", now, forward.ColdStatement{Stated: true})
	assert.Equal(t, c.remaining(service, &listed[0], now), time.Duration(0))
	c.setEndpoints(discovery.NewSet(nil), false)
	assert.Equal(t, len(c.faulty), 0)
}

// TestColdBoundsOfSettings: no setting makes the bound negative or overflow.
func TestColdBoundsOfSettings(t *testing.T) {
	for _, v := range []struct {
		settings  ColdSettings
		perSecond float64
		limited   bool
		bound     int
	}{
		{ColdSettings{Overage: 1.5, Slack: 5}, 34, true, 56},
		{ColdSettings{Overage: 1.5}, 0.5, true, 0},
		{ColdSettings{Overage: 1e300, Slack: 1e300}, 1e6, true, 1<<31 - 1},
		{ColdSettings{Slack: 5}, 34, false, 5},
		{ColdSettings{Overage: 1.5, Slack: 5}, 0, false, 5},
	} {
		c := newColdEndpoints(v.settings, "n0", &notes{}, slog.New(slog.DiscardHandler))
		s := &route.Service{ColdPerSecond: v.perSecond}
		assert.Equal(t, c.limits(s), v.limited)
		assert.Equal(t, c.bound(s), v.bound)
	}
}
