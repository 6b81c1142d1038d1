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
	"github.com/cyclamenpoint/cyclamenpoint/picker/internal/queuefake"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// mayTakeWork is the naive rule: a drained or leaving endpoint never, an ill
// one only when more than half of the open ones look ill, a tried one never.
func mayTakeWork(d *deployment.Deployment, states map[string]picker.State, tried []string) map[string]bool {
	open, ill := 0, 0
	isOpen := func(e *deployment.Endpoint) bool {
		return e.Weight > 0 && states[e.Name].Health != picker.HealthLeaving
	}
	isIll := func(e *deployment.Endpoint) bool {
		return states[e.Name].Health == picker.HealthSuspect || states[e.Name].Health == picker.HealthDead
	}
	for i := range d.Endpoints {
		if isOpen(&d.Endpoints[i]) {
			open++
			if isIll(&d.Endpoints[i]) {
				ill++
			}
		}
	}
	may := make(map[string]bool)
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		if isOpen(e) && (!isIll(e) || ill*2 > open) && !slices.Contains(tried, e.Name) {
			may[e.Name] = true
		}
	}
	return may
}

// TestCandidatesFollowTheNaiveRule compares random cases with the naive rule.
func TestCandidatesFollowTheNaiveRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := queuefake.Deployment(rapid.IntRange(1, 20).Draw(t, "endpoints"), 6)
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
		may := mayTakeWork(d, states, tried)
		snap := picker.NewSnapshot(d, 1, here, states, now)
		req := drafts()
		req.Tried = tried
		req.Holders = []string{"engine-0", "engine-5", "gone"}
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		cands, err := picker.DefaultProbePolicy.Candidates(snap, req, rng, nil)
		var none *picker.NoEndpointError
		if errors.As(err, &none) != (len(may) == 0) {
			t.Fatalf("error %v with %d that may take work", err, len(may))
		}
		for _, c := range cands {
			if !may[snap.Name(c.Index)] {
				t.Fatalf("%s is a candidate", snap.Name(c.Index))
			}
		}
	})
}
