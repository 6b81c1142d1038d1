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
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// agents answers probes; those in silent never do.
type agents struct {
	silent map[string]bool
	wait   map[string]uint32
	doubts chan string
}

func (a *agents) Probe(ctx context.Context, _ string, req *cyclamenpointv1.ProbeRequest) (*cyclamenpointv1.ProbeResponse, error) {
	if a.silent[req.GetEndpoint()] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &cyclamenpointv1.ProbeResponse{Endpoint: req.GetEndpoint(), Slots: 4, WaitMillis: a.wait[req.GetEndpoint()]}, nil
}

func (a *agents) ReportUnresponsive(endpoint string) {
	a.doubts <- endpoint
}

func newBalancer(a *agents) *balancer.Balancer {
	a.doubts = make(chan string, 64)
	return balancer.New(balancer.Config{
		Policy:       picker.DefaultProbePolicy,
		Prober:       a,
		ProbeTimeout: balancer.DefaultProbeTimeout,
		Observer:     a,
		Rand:         rand.New(rand.NewPCG(1, 1)),
	})
}

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
	_, err := newBalancer(&agents{}).Pick(t.Context(), "r", &picker.Request{Service: "register"})
	var missing *balancer.NotConfiguredError
	assert.Assert(t, errors.As(err, &missing))
}

func TestPickAvoidsSilentAndBusyEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &agents{silent: map[string]bool{"w-0": true}, wait: map[string]uint32{"w-1": 900}}
		b := newBalancer(a)
		b.SetDeployment(workers(3), 7)
		for range 20 {
			pick, err := b.Pick(t.Context(), "r", &picker.Request{Service: "register"})
			assert.NilError(t, err)
			assert.Equal(t, pick.Endpoint, "w-2")
			assert.Equal(t, pick.Agent, "w-2:1")
			assert.Equal(t, pick.Version, uint64(7))
		}
		assert.Equal(t, <-a.doubts, "w-0")
	})
}

func TestPickWithoutAnswersUsesHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &agents{silent: map[string]bool{"w-0": true, "w-1": true}}
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

func TestStatesFollowMembership(t *testing.T) {
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

// TestEndpointsNeverMetAreAvoided has two agents of three known, and then none.
func TestEndpointsNeverMetAreAvoided(t *testing.T) {
	for _, c := range []struct {
		name   string
		states map[string]picker.State
		probed int
	}{
		{"one missing", map[string]picker.State{"w-0": {}, "w-1": {}}, 2},
		{"all missing", map[string]picker.State{}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(&agents{})
			b.SetDeployment(workers(3), 1)
			b.SetStates(c.states)
			pick, err := b.Pick(t.Context(), "r", &picker.Request{Service: "register"})
			assert.NilError(t, err)
			assert.Equal(t, pick.Probed, c.probed)
		})
	}
}

func TestEjectedEndpointComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(&agents{})
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
		assert.Equal(t, probed(), 3, "the floor did not hold")
		time.Sleep(12 * time.Second)
		b.Eject("w-0", 10*time.Second, "engine down")
		assert.Equal(t, probed(), 2, "the others did not come back")
	})
}
