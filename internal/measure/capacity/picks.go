package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/admission"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

const (
	pickTime = 200 * time.Millisecond
	// snapshotAge is how old a router's snapshot may be when a request comes.
	snapshotAge = 0.1
)

// engines returns a deployment of one model over count engines.
func engines(count int) *deployment.Deployment {
	d := &deployment.Deployment{
		Models: []deployment.Model{{Name: "model", MaxTokens: 1000}},
		Groups: []deployment.Group{{Name: "group", Model: "model"}},
	}
	for i := range count {
		domain := i % failureDomains
		d.Endpoints = append(d.Endpoints, deployment.Endpoint{
			Name: "engine-" + strconv.Itoa(i), Kind: deployment.KindEngine, Group: "group", Rank: i, VM: "vm-" + strconv.Itoa(i),
			FailureDomain: "domain-" + strconv.Itoa(domain), Region: "region-" + strconv.Itoa(domain/domainsByRegion),
			Concurrency: 64, Weight: 100,
		})
	}
	return d
}

// measurePicks measures a pick and a snapshot against the endpoints, and what
// the snapshots take of a core at an entry node's request rate.
func measurePicks(_ context.Context, _ *options) ([]*series, error) {
	pick := &series{name: "pick-time", x: "endpoints", y: "nanoseconds for a pick", at: workers, limit: 5000}
	build := &series{name: "snapshot-time", x: "endpoints", y: "microseconds for a snapshot", at: workers}
	cores := &series{name: "snapshot-cpu", x: "endpoints", y: "percent of a core for an entry node's snapshots", at: workers, limit: limitCorePercent}
	here := picker.Locality{FailureDomain: "domain-0", Region: "region-0"}
	// A snapshot is built for the first request after the last one has aged.
	rebuilds := 1 / (snapshotAge + entries/requestRate)
	for _, size := range []int{16, 64, 256, workers} {
		d := engines(size)
		snap := picker.NewSnapshot(d, 1, here, nil, time.Now())
		req := &picker.Request{Model: "model", Prefill: 200 * time.Millisecond, Now: time.Now(), Prefixes: []picker.Prefix{{}, {Hash: 7}, {Hash: 9}}}
		rng, buffer := rand.New(rand.NewPCG(1, 1)), make([]picker.Candidate, 0, 16)
		var failed error
		took := perOperation(pickTime, func(i int) {
			req.Prefixes[0].Hash = uint64(i)
			cands, err := picker.DefaultProbePolicy.Candidates(snap, req, rng, buffer)
			if err == nil {
				_, err = picker.DefaultProbePolicy.Choose(snap, req, cands)
			}
			if err != nil {
				failed = err
			}
		})
		if failed != nil {
			return nil, failed
		}
		pick.add(float64(size), float64(took.Nanoseconds()))
		used, count := cpu(), 0
		perOperation(pickTime, func(int) {
			count++
			picker.NewSnapshot(d, 1, here, nil, time.Now())
		})
		seconds := (cpu() - used).Seconds() / float64(count)
		build.add(float64(size), 1e6*seconds)
		cores.add(float64(size), 100*seconds*rebuilds)
	}
	return []*series{pick, build, cores}, nil
}

// measureAdmission measures an admission with its release, and a refusal,
// against the organisations that wait in an agent's queue.
func measureAdmission(ctx context.Context, _ *options) ([]*series, error) {
	refuse := &series{name: "admission-refusal", x: "organisations that wait", y: "nanoseconds for a refusal", at: organisations}
	for _, size := range []int{1, 32, 128, organisations} {
		took, err := refusal(ctx, size)
		if err != nil {
			return nil, err
		}
		refuse.add(float64(size), float64(took.Nanoseconds()))
	}
	admit := &series{name: "admission-turn", x: "requests a second of an agent", y: "percent of a core", at: requestRate / workers, limit: limitCorePercent}
	q, err := admission.New(admission.Config{Endpoint: "e", Slots: 64, MaxQueued: admission.DefaultMaxQueued, TimePerCost: time.Millisecond})
	if err != nil {
		return nil, err
	}
	var failed error
	turn := perOperation(pickTime, func(int) {
		release, err := q.Admit(ctx, admission.Request{Organisation: "a"})
		if err != nil {
			failed = err
			return
		}
		release()
	})
	for _, rate := range []float64{1, 2, 4} {
		admit.add(rate, 100*rate*turn.Seconds())
	}
	return []*series{refuse, admit}, failed
}

// refusal returns the time of a refusal while size organisations wait.
func refusal(ctx context.Context, size int) (time.Duration, error) {
	q, err := admission.New(admission.Config{Endpoint: "e", Slots: 1, MaxQueued: 2 * organisations, TimePerCost: time.Second})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range size + 1 {
		go func() {
			// The queue refuses when the context ends.
			_, _ = q.Admit(ctx, admission.Request{Organisation: "waits-" + strconv.Itoa(i)})
		}()
	}
	for q.Load().Queued < size {
		pause(ctx, time.Millisecond)
	}
	return perOperation(pickTime, func(int) {
		// The refusal is what is measured.
		_, _ = q.Admit(ctx, admission.Request{Organisation: "late", Remaining: time.Millisecond})
	}), nil
}
