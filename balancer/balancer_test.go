package balancer_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/balancer"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// fakeAgents replies to probes, except those of the endpoints in unresponsive. It is
// also the observer.
type fakeAgents struct {
	unresponsive map[string]bool
	wait         map[string]uint32
	reported     chan string
}

func (a *fakeAgents) Probe(ctx context.Context, _ string, req *cyclamenpointv1.ProbeRequest) (*cyclamenpointv1.ProbeResponse, error) {
	if a.unresponsive[req.GetEndpoint()] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &cyclamenpointv1.ProbeResponse{Endpoint: req.GetEndpoint(), Slots: 4, WaitMillis: a.wait[req.GetEndpoint()]}, nil
}

func (a *fakeAgents) ReportUnresponsive(endpoint string) {
	a.reported <- endpoint
}

func newBalancer(a *fakeAgents) *balancer.Balancer {
	a.reported = make(chan string, 64)
	return balancer.New(balancer.Config{
		Policy:       picker.DefaultProbePolicy,
		Prober:       a,
		ProbeTimeout: balancer.DefaultProbeTimeout,
		Observer:     a,
		Rand:         rand.New(rand.NewPCG(1, 1)),
	})
}

// workers returns a deployment of n endpoints of one service.
func workers(n int) *deployment.Deployment {
	d := &deployment.Deployment{}
	for i := range n {
		name := "w-" + strconv.Itoa(i)
		d.Endpoints = append(d.Endpoints, deployment.Endpoint{
			Name: name, Kind: deployment.KindService, Service: "register", Agent: name + ":1", Concurrency: 4, Weight: 100,
		})
	}
	return d
}

func TestPickWithoutDeployment(t *testing.T) {
	_, err := newBalancer(&fakeAgents{}).Pick(t.Context(), "r", &picker.Request{Service: "register"})
	var missing *balancer.NotConfiguredError
	assert.Assert(t, errors.As(err, &missing))
}

func TestPickAvoidsUnresponsiveAndBusyEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgents{unresponsive: map[string]bool{"w-0": true}, wait: map[string]uint32{"w-1": 900}}
		b := newBalancer(a)
		b.SetDeployment(workers(3), 7)
		for range 20 {
			pick, err := b.Pick(t.Context(), "r", &picker.Request{Service: "register"})
			assert.NilError(t, err)
			assert.Equal(t, pick.Endpoint, "w-2")
			assert.Equal(t, pick.Agent, "w-2:1")
			assert.Equal(t, pick.Version, uint64(7))
		}
		assert.Equal(t, <-a.reported, "w-0")
	})
}

func TestPickWithoutRepliesUsesHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgents{unresponsive: map[string]bool{"w-0": true, "w-1": true}}
		b := newBalancer(a)
		b.SetDeployment(workers(2), 1)
		b.RecordLoad(&cyclamenpointv1.ProbeResponse{Endpoint: "w-0", Slots: 4, WaitMillis: 400})
		b.RecordLoad(&cyclamenpointv1.ProbeResponse{Endpoint: "w-1", Slots: 4, WaitMillis: 5})
		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)
		time.Sleep(2 * time.Second)
		pick, err := b.Pick(t.Context(), "r", &picker.Request{Service: "register"})
		assert.NilError(t, err)
		assert.Equal(t, pick.Endpoint, "w-1")
		assert.Equal(t, pick.Reason, picker.ReasonHint)
		cancel()
	})
}

func TestStatesOfMembers(t *testing.T) {
	started := time.Unix(1000, 0)
	member := func(name string, health membership.Health, leaving bool, since time.Time) membership.Member {
		return membership.Member{FirstSeen: since, Record: membership.Record{Name: name, Kind: membership.KindAgent, Health: health, Leaving: leaving}}
	}
	late := started.Add(time.Minute)
	got := balancer.States([]membership.Member{
		member("old", membership.Alive, false, started),
		member("new", membership.Alive, false, late),
		member("suspect", membership.Suspect, false, started),
		member("leaving", membership.Dead, true, started),
	}, started)
	assert.DeepEqual(t, got, map[string]picker.State{
		"old":     {},
		"new":     {Since: late},
		"suspect": {Health: picker.HealthSuspect},
		"leaving": {Health: picker.HealthLeaving},
	})
}

// TestUnknownEndpointsAreAvoided checks that endpoints without a state are not probed,
// unless no endpoint has one.
func TestUnknownEndpointsAreAvoided(t *testing.T) {
	for _, c := range []struct {
		name   string
		states map[string]picker.State
		probed int
	}{
		{"one missing", map[string]picker.State{"w-0": {}, "w-1": {}}, 2},
		{"all missing", map[string]picker.State{}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(&fakeAgents{})
			b.SetDeployment(workers(3), 1)
			b.SetStates(c.states)
			pick, err := b.Pick(t.Context(), "r", &picker.Request{Service: "register"})
			assert.NilError(t, err)
			assert.Equal(t, pick.Probed, c.probed)
		})
	}
}

func TestEjectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(&fakeAgents{})
		b.SetDeployment(workers(3), 1)
		go b.Run(t.Context())
		probed := func() int {
			pick, err := b.Pick(t.Context(), "r", &picker.Request{Service: "register"})
			assert.NilError(t, err)
			return pick.Probed
		}
		b.Eject("w-1", 10*time.Second, "engine down")
		assert.Equal(t, probed(), 2)
		b.Eject("w-2", 10*time.Second, "engine down")
		assert.Equal(t, probed(), 3, "ejected endpoints are excluded although most are ejected")
		time.Sleep(12 * time.Second)
		b.Eject("w-0", 10*time.Second, "engine down")
		assert.Equal(t, probed(), 2, "the other endpoints are still ejected")
	})
}
