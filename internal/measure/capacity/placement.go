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
	learnWindows   = 20
	slotsOfRank    = 6
	expertBytes    = 44e6
	freeStore      = 1e12
	decisions      = 3
	batchOfCrash   = 64
	fingerprintLen = 16
)

// measurePlacement measures a decision that searches every layer, against the
// layers, with the largest group's ranks and experts.
func measurePlacement(_ context.Context, _ *options) ([]*series, error) {
	millis := &series{name: "placement-time", x: "layers of 128 experts on 32 ranks", y: "core milliseconds for a decision", at: largestLayers}
	memory := &series{name: "placement-memory", x: "layers of 128 experts on 32 ranks", y: "MB allocated by a decision", at: largestLayers, limit: limitHeapKB / 1024}
	size := &series{name: "placement-map", x: "layers of 128 experts on 32 ranks", y: "bytes of the encoded map", at: largestLayers}
	for _, layers := range []int{4, 15, 30, largestLayers} {
		in, err := placementInput(layers)
		if err != nil {
			return nil, err
		}
		policy := placement.NewPolicy(deployment.Group{Objective: deployment.Objective{Skew: 1, Move: 0.05}, ExpertBytes: expertBytes})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		used := cpu()
		var d placement.Decision
		for range decisions {
			if d, err = policy.Decide(in); err != nil {
				return nil, err
			}
		}
		millis.add(float64(layers), float64((cpu()-used).Microseconds())/1e3/decisions)
		runtime.ReadMemStats(&after)
		memory.add(float64(layers), float64(after.TotalAlloc-before.TotalAlloc)/decisions/(1<<20))
		size.add(float64(layers), float64(len(d.Map.Marshal())))
	}
	return []*series{millis, memory, size}, nil
}

// placementInput is a group on its static map that knows its demand.
func placementInput(layers int) (placement.Input, error) {
	c := drift.Config{Shape: drift.Slow, Layers: layers, Experts: layerExperts, Ranks: groupRanks, Seed: 1}
	static, err := expertmap.Static(expertmap.Shape{Layers: layers, Experts: layerExperts, Ranks: groupRanks, Slots: slotsOfRank})
	if err != nil {
		return placement.Input{}, err
	}
	demand := drift.New(c)
	e := placement.NewEstimator(layers, layerExperts, groupRanks, -1)
	var load drift.Load
	for w := range int64(learnWindows) {
		demand.Next(&load)
		if err := e.Observe(placement.Report{Rank: int(w) % groupRanks, Window: w, Counts: load.Counts}); err != nil {
			return placement.Input{}, err
		}
		e.CloseWindow(w)
	}
	ranks := make([]placement.Rank, groupRanks)
	for i := range ranks {
		ranks[i].FailureDomain = "domain-" + strconv.Itoa(i%domainsByRegion)
	}
	return placement.Input{InForce: static, Loaded: static, Ranks: ranks, Loads: e.Estimates(), Store: placement.WeightStore{BytesPerSecond: freeStore}}, nil
}

// measureQuarantine measures the news of a crash: its bytes as membership
// carries them to one node, and the time to take it in.
func measureQuarantine(_ context.Context, _ *options) ([]*series, error) {
	bytes := &series{name: "crash-news", x: "requests in flight at the crash", y: "bytes of the news, once", at: batchOfCrash}
	merge := &series{name: "crash-merge", x: "crashes known", y: "microseconds to take all of them in again", at: 100}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, batch := range []int{1, 16, 32, batchOfCrash} {
		value := make([]byte, batch*fingerprintLen)
		for i := range value {
			value[i] = byte(rng.Uint32())
		}
		item := &pb.Item{Kind: "crash", Key: "engine-128 1718000000000000000 3 0 1", Version: 1, Value: value, RemainingSeconds: 3600}
		if len(value) > membership.MaxItemBytes {
			return nil, &membership.ItemTooLargeError{Size: len(value)}
		}
		bytes.add(float64(batch), float64(proto.Size(item)))
	}
	for _, count := range []int{1, 10, 50, 100} {
		list, err := quarantine.NewList(quarantine.Config{
			Keep: quarantine.DefaultKeep, MaxCrashes: quarantine.DefaultMaxCrashes, MaxClears: quarantine.DefaultMaxClears,
		})
		if err != nil {
			return nil, err
		}
		news := crashes(count)
		merge.add(float64(count), perOperation(100*time.Millisecond, func(int) { list.Merge(news) }).Seconds()*1e6)
	}
	return []*series{bytes, merge}, nil
}

func crashes(count int) quarantine.Facts {
	var news quarantine.Facts
	for i := range count {
		c := quarantine.Crash{ID: quarantine.CrashID{Endpoint: "engine-" + strconv.Itoa(i), Incarnation: 1, Number: 1}, Remaining: time.Hour}
		for k := range batchOfCrash {
			c.Fingerprints = append(c.Fingerprints, quarantine.Fingerprint(strconv.Itoa(i*batchOfCrash+k)))
		}
		news.Crashes = append(news.Crashes, c)
	}
	return news
}
