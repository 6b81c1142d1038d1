package picker_test

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
	"github.com/cyclamenpoint/cyclamenpoint/picker/internal/queuesim"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// referenceEligible is a simple implementation of the rule for eligible endpoints: no
// drained, evacuated, leaving or tried endpoint, and an unhealthy one only if more than half of
// the active endpoints look unhealthy.
func referenceEligible(d *deployment.Deployment, states map[string]picker.State, tried []string) map[string]bool {
	active, unhealthy := 0, 0
	isActive := func(e *deployment.Endpoint) bool {
		return e.Weight > 0 && !slices.Contains(d.Evacuated, e.FailureDomain) && states[e.Name].Health != picker.HealthLeaving
	}
	isUnhealthy := func(e *deployment.Endpoint) bool {
		return states[e.Name].Health == picker.HealthSuspect || states[e.Name].Health == picker.HealthDead
	}
	for i := range d.Endpoints {
		if isActive(&d.Endpoints[i]) {
			active++
			if isUnhealthy(&d.Endpoints[i]) {
				unhealthy++
			}
		}
	}
	eligible := make(map[string]bool)
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		if isActive(e) && (!isUnhealthy(e) || unhealthy*2 > active) && !slices.Contains(tried, e.Name) {
			eligible[e.Name] = true
		}
	}
	return eligible
}

// TestCandidatesAreEligible compares the candidates of random deployments with the
// reference implementation.
func TestCandidatesAreEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := queuesim.Deployment(rapid.IntRange(1, 20).Draw(t, "endpoints"), 6)
		states := make(map[string]picker.State)
		var tried []string
		for i := range d.Endpoints {
			e := &d.Endpoints[i]
			e.Weight = rapid.SampledFrom([]int{0, 1, 50, 100, 100}).Draw(t, "weight")
			health := rapid.SampledFrom([]picker.Health{picker.HealthAlive, picker.HealthAlive, picker.HealthSuspect, picker.HealthDead, picker.HealthLeaving})
			states[e.Name] = picker.State{Health: health.Draw(t, "health")}
			if rapid.IntRange(0, 4).Draw(t, "tried") == 0 && len(tried) < 16 {
				tried = append(tried, e.Name)
			}
		}
		for _, e := range d.Endpoints[:rapid.IntRange(0, 2).Draw(t, "evacuated")%(len(d.Endpoints)+1)] {
			d.Evacuated = append(d.Evacuated, e.FailureDomain)
		}
		eligible := referenceEligible(d, states, tried)
		snap := picker.NewSnapshot(d, 1, locality, states, now)
		req := drafts()
		req.Tried = tried
		req.Holders = []string{"engine-0", "engine-5", "gone"}
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		cands, err := picker.DefaultProbePolicy.Candidates(snap, req, rng, nil)
		var none *picker.NoEndpointError
		if errors.As(err, &none) != (len(eligible) == 0) {
			t.Fatalf("error %v with %d eligible endpoints", err, len(eligible))
		}
		for _, c := range cands {
			if !eligible[snap.Name(c.Index)] {
				t.Fatalf("%s is a candidate but not eligible", snap.Name(c.Index))
			}
		}
	})
}
