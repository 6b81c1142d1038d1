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
	// minMeasureTime is the least time over which repeated calls are measured.
	minMeasureTime = 200 * time.Millisecond
	// maxSnapshotAgeSeconds is the age of a snapshot from which on a request is
	// assumed to cause a new one. Package balancer builds a snapshot at each change
	// and, during slow starts and ejections, once a second.
	maxSnapshotAgeSeconds = 0.1
)

// engineDeployment returns a deployment with one model and count engines.
func engineDeployment(count int) *deployment.Deployment {
	d := &deployment.Deployment{
		Models: []deployment.Model{{Name: "model", MaxTokens: 1000}},
		Groups: []deployment.Group{{Name: "group", Model: "model"}},
	}
	for i := range count {
		domain := i % failureDomains
		d.Endpoints = append(d.Endpoints, deployment.Endpoint{
			Name: "engine-" + strconv.Itoa(i), Kind: deployment.KindEngine, Group: "group", Rank: i, VM: "vm-" + strconv.Itoa(i),
			FailureDomain: "domain-" + strconv.Itoa(domain), Region: "region-" + strconv.Itoa(domain/domainsPerRegion),
			Concurrency: 64, Weight: 100,
		})
	}
	return d
}

// measurePicks measures the choice of an endpoint and the building of a
// snapshot, by the number of endpoints. It also computes the processor time of
// the snapshots that an entry node builds at its request rate.
func measurePicks(_ context.Context, _ *options) ([]*series, error) {
	pick := &series{name: "pick-time", x: "endpoints", y: "nanoseconds for a pick", designSize: endpoints, limit: limitPickNanoseconds}
	build := &series{name: "snapshot-time", x: "endpoints", y: "microseconds for a snapshot", designSize: endpoints}
	cores := &series{name: "snapshot-cpu", x: "endpoints", y: "percent of a core for an entry node's snapshots", designSize: endpoints, limit: limitCorePercent}
	locality := picker.Locality{FailureDomain: "domain-0", Region: "region-0"}
	// The first request after the snapshot has reached its maximum age causes a
	// rebuild.
	rebuildsPerSecond := 1 / (maxSnapshotAgeSeconds + entryNodes/requestRate)
	for _, size := range []int{16, 64, 256, endpoints} {
		d := engineDeployment(size)
		snap := picker.NewSnapshot(d, 1, locality, nil, time.Now())
		req := &picker.Request{Model: "model", Prefill: 200 * time.Millisecond, Now: time.Now(), Prefixes: []picker.Prefix{{}, {Hash: 7}, {Hash: 9}}}
		rng, buffer := rand.New(rand.NewPCG(1, 1)), make([]picker.Candidate, 0, 16)
		var lastErr error
		elapsed := timePerCall(minMeasureTime, func(i int) {
			req.Prefixes[0].Hash = uint64(i)
			cands, err := picker.DefaultProbePolicy.Candidates(snap, req, rng, buffer)
			if err == nil {
				_, err = picker.DefaultProbePolicy.Choose(snap, req, cands)
			}
			if err != nil {
				lastErr = err
			}
		})
		if lastErr != nil {
			return nil, lastErr
		}
		pick.add(float64(size), float64(elapsed.Nanoseconds()))
		usedBefore, count := processorTime(), 0
		timePerCall(minMeasureTime, func(int) {
			count++
			picker.NewSnapshot(d, 1, locality, nil, time.Now())
		})
		seconds := (processorTime() - usedBefore).Seconds() / float64(count)
		build.add(float64(size), 1e6*seconds)
		cores.add(float64(size), 100*seconds*rebuildsPerSecond)
	}
	return []*series{pick, build, cores}, nil
}

// measureAdmission measures the time of a refusal by the number of organisations
// that wait in an agent's queue. From the time of an admission with its release it
// computes their share of a core by the request rate.
func measureAdmission(ctx context.Context, _ *options) ([]*series, error) {
	refuse := &series{name: "admission-refusal", x: "organisations that wait", y: "nanoseconds for a refusal", designSize: organisations}
	for _, size := range []int{1, 32, 128, organisations} {
		elapsed, err := measureRefusal(ctx, size)
		if err != nil {
			return nil, err
		}
		refuse.add(float64(size), float64(elapsed.Nanoseconds()))
	}
	admit := &series{name: "admission-turn", x: "requests a second of an agent", y: "percent of a core", designSize: requestRate / endpoints, limit: limitCorePercent}
	queue, err := admission.New(admission.Config{Endpoint: "e", Slots: 64, MaxQueued: admission.DefaultMaxQueued, TimePerCost: time.Millisecond})
	if err != nil {
		return nil, err
	}
	var lastErr error
	perRequest := timePerCall(minMeasureTime, func(int) {
		release, err := queue.Admit(ctx, admission.Request{Organisation: "a"})
		if err != nil {
			lastErr = err
			return
		}
		release()
	})
	for _, rate := range []float64{1, 2, 4} {
		admit.add(rate, 100*rate*perRequest.Seconds())
	}
	return []*series{refuse, admit}, lastErr
}

// measureRefusal returns the time of a refusal while one request of each of size
// organisations waits.
func measureRefusal(ctx context.Context, size int) (time.Duration, error) {
	queue, err := admission.New(admission.Config{Endpoint: "e", Slots: 1, MaxQueued: 2 * organisations, TimePerCost: time.Second})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// One request takes the only slot and keeps it, so that size requests wait.
	for i := range size + 1 {
		go func() {
			// Admit returns an error when ctx ends.
			_, _ = queue.Admit(ctx, admission.Request{Organisation: "waits-" + strconv.Itoa(i)})
		}()
	}
	for queue.Load().Queued < size {
		sleep(ctx, time.Millisecond)
	}
	return timePerCall(minMeasureTime, func(int) {
		// Admit refuses the request: its remaining time is shorter than its wait.
		_, _ = queue.Admit(ctx, admission.Request{Organisation: "late", Remaining: time.Millisecond})
	}), nil
}
