package main

import (
	"context"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

const (
	// estimateWindows is the number of windows of demand from which the loads are
	// estimated.
	estimateWindows = 20
	slotsPerRank    = 6
	expertBytes     = 44e6
	// unlimitedStoreRate is so high, in bytes per second, that the weight store
	// does not limit a decision.
	unlimitedStoreRate = 1e12
	// measuredDecisions is the number of decisions that a cost is averaged over.
	measuredDecisions = 3
	// maxRequestsPerCrash is the highest number of requests in flight at a crash.
	maxRequestsPerCrash = 64
	fingerprintBytes    = 16
)

// measurePlacement measures a placement decision that searches every layer, by
// the number of layers, with the ranks and the experts of the largest group.
func measurePlacement(_ context.Context, _ *options) ([]*series, error) {
	millis := &series{name: "placement-time", x: "layers of 128 experts on 32 ranks", y: "core milliseconds for a decision", designSize: largestLayers}
	memory := &series{name: "placement-memory", x: "layers of 128 experts on 32 ranks", y: "MB allocated by a decision", designSize: largestLayers, limit: limitHeapKB / 1024}
	mapBytes := &series{name: "placement-map", x: "layers of 128 experts on 32 ranks", y: "bytes of the encoded map", designSize: largestLayers}
	for _, layers := range []int{4, 15, 30, largestLayers} {
		in, err := placementInput(layers)
		if err != nil {
			return nil, err
		}
		policy := placement.NewPolicy(deployment.Group{Objective: deployment.Objective{Skew: 1, Move: 0.05}, ExpertBytes: expertBytes})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		usedBefore := processorTime()
		var d placement.Decision
		for range measuredDecisions {
			if d, err = policy.Decide(in); err != nil {
				return nil, err
			}
		}
		millis.add(float64(layers), float64((processorTime()-usedBefore).Microseconds())/1e3/measuredDecisions)
		runtime.ReadMemStats(&after)
		memory.add(float64(layers), float64(after.TotalAlloc-before.TotalAlloc)/measuredDecisions/(1<<20))
		mapBytes.add(float64(layers), float64(len(d.Map.Marshal())))
	}
	return []*series{millis, memory, mapBytes}, nil
}

// placementInput returns the input of a decision for a group that runs its
// static map and has estimates of its loads.
func placementInput(layers int) (placement.Input, error) {
	c := drift.Config{Shape: drift.Slow, Layers: layers, Experts: expertsPerLayer, Ranks: ranksPerGroup, Seed: 1}
	static, err := expertmap.Static(expertmap.Shape{Layers: layers, Experts: expertsPerLayer, Ranks: ranksPerGroup, Slots: slotsPerRank})
	if err != nil {
		return placement.Input{}, err
	}
	demand := drift.New(c)
	estimator := placement.NewEstimator(layers, expertsPerLayer, ranksPerGroup, -1)
	var load drift.Load
	for w := range int64(estimateWindows) {
		demand.Next(&load)
		if err := estimator.Observe(placement.Report{Rank: int(w) % ranksPerGroup, Window: w, Counts: load.Counts}); err != nil {
			return placement.Input{}, err
		}
		estimator.CloseWindow(w)
	}
	ranks := make([]placement.Rank, ranksPerGroup)
	for i := range ranks {
		ranks[i].FailureDomain = "domain-" + strconv.Itoa(i%domainsPerRegion)
	}
	return placement.Input{InForce: static, Loaded: static, Ranks: ranks, Loads: estimator.Estimates(), Store: placement.WeightStore{BytesPerSecond: unlimitedStoreRate}}, nil
}

// measureQuarantine measures the cost of facts about crashes: the bytes of the
// membership item for one crash, by the number of requests in flight, and the time
// in which a node merges a list of crashes that it already has, by their number.
func measureQuarantine(_ context.Context, _ *options) ([]*series, error) {
	bytes := &series{name: "crash-news", x: "requests in flight at the crash", y: "bytes of the news, once", designSize: maxRequestsPerCrash}
	merge := &series{name: "crash-merge", x: "crashes known", y: "microseconds to take all of them in again", designSize: 100}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, requests := range []int{1, 16, 32, maxRequestsPerCrash} {
		value := make([]byte, requests*fingerprintBytes)
		for i := range value {
			value[i] = byte(rng.Uint32())
		}
		item := &pb.Item{Kind: "crash", Key: "engine-128 1718000000000000000 3 0 1", Version: 1, Value: value, RemainingSeconds: 3600}
		if len(value) > membership.MaxItemBytes {
			return nil, &membership.ItemTooLargeError{Size: len(value)}
		}
		bytes.add(float64(requests), float64(proto.Size(item)))
	}
	for _, count := range []int{1, 10, 50, 100} {
		list, err := quarantine.NewList(quarantine.Config{
			Keep: quarantine.DefaultKeep, MaxCrashes: quarantine.DefaultMaxCrashes, MaxClears: quarantine.DefaultMaxClears,
		})
		if err != nil {
			return nil, err
		}
		facts := crashFacts(count)
		merge.add(float64(count), timePerCall(100*time.Millisecond, func(int) { list.Merge(facts) }).Seconds()*1e6)
	}
	return []*series{bytes, merge}, nil
}

// crashFacts returns the facts about count crashes, each with maxRequestsPerCrash
// fingerprints.
func crashFacts(count int) quarantine.Facts {
	var facts quarantine.Facts
	for i := range count {
		c := quarantine.Crash{ID: quarantine.CrashID{Endpoint: "engine-" + strconv.Itoa(i), Incarnation: 1, Number: 1}, Remaining: time.Hour}
		for k := range maxRequestsPerCrash {
			c.Fingerprints = append(c.Fingerprints, quarantine.Fingerprint(strconv.Itoa(i*maxRequestsPerCrash+k)))
		}
		facts.Crashes = append(facts.Crashes, c)
	}
	return facts
}
