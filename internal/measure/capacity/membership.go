package main

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/rollout"
)

const (
	// callOverheadBytes is the number of bytes that a call adds to its two messages:
	// HTTP/2 frames and headers, and IP and TCP headers, in both directions.
	// TestHTTPTransport of package membership logs the bytes of a call without IP
	// and TCP headers.
	callOverheadBytes    = 600
	convergeTimeout      = 40 * time.Second
	convergePollInterval = time.Second
	memberMeasureTime    = 5 * time.Second
)

func membershipSizes(o *options) []int {
	if o.Large {
		return []int{16, 64, 256, 600, processes}
	}
	return []int{16, 64, 256}
}

// memberCost is the mean cost of one member per second.
type memberCost struct {
	corePercent, bytes, messages float64
}

// measureCost returns the mean cost of one of count members while work runs.
func (n *network) measureCost(count int, work func()) memberCost {
	bytesBefore, messagesBefore, usedBefore, start := n.bytes.Load(), n.messages.Load(), processorTime(), time.Now()
	work()
	memberSeconds := time.Since(start).Seconds() * float64(count)
	sent := float64(n.messages.Load() - messagesBefore)
	// Every message counts twice, for the member that sends it and for the member
	// that receives it.
	return memberCost{
		corePercent: 100 * (processorTime() - usedBefore).Seconds() / memberSeconds,
		bytes:       2 * (float64(n.bytes.Load()-bytesBefore) + sent*callOverheadBytes/2) / memberSeconds,
		messages:    2 * sent / memberSeconds,
	}
}

// waitConverged waits until all members see each other as alive or convergeTimeout
// has passed, and then for another convergePollInterval.
func (n *network) waitConverged(ctx context.Context) {
	for start := time.Now(); !n.converged() && time.Since(start) < convergeTimeout; {
		sleep(ctx, convergePollInterval)
	}
	sleep(ctx, convergePollInterval)
}

// measureMembership measures members while nothing changes.
func measureMembership(ctx context.Context, o *options) ([]*series, error) {
	cores := &series{name: "membership-cpu", x: "processes", y: "percent of a core", designSize: processes, limit: limitCorePercent}
	bytes := &series{name: "membership-bytes", x: "processes", y: "bytes a second, both ways", designSize: processes, limit: limitBytesPerSecond}
	messages := &series{name: "membership-messages", x: "processes", y: "messages a second, both ways", designSize: processes}
	heap := &series{name: "membership-memory", x: "processes", y: "KB", designSize: processes, limit: limitHeapKB}
	for _, size := range membershipSizes(o) {
		memoryBefore := liveMemory()
		runCtx, cancel := context.WithCancel(ctx)
		n := startNetwork(runCtx, size)
		n.waitConverged(ctx)
		cost := n.measureCost(size, func() { sleep(ctx, memberMeasureTime) })
		cores.add(float64(size), cost.corePercent)
		bytes.add(float64(size), cost.bytes)
		messages.add(float64(size), cost.messages)
		heap.add(float64(size), (liveMemory()-memoryBefore)/float64(size)/1024)
		cancel()
		sleep(ctx, convergePollInterval)
	}
	return []*series{cores, bytes, messages, heap}, nil
}

// heldConfig describes the configuration that a node holds. It has the format
// of the items that package node publishes.
type heldConfig struct {
	Digest      rollout.Digest `json:"digest"`
	Ready       bool           `json:"ready"`
	Incarnation uint64         `json:"incarnation"`
}

// maxAnnouncers is the largest number of members with which each node publishes
// an item about the configuration that it holds itself. It equals the constant
// of package node.
const maxAnnouncers = 64

// announce publishes a version as node i: the item that all nodes publish alike
// and, in a small network, the node's own item.
func (n *network) announce(i int, version uint64) error {
	digest := rollout.Digest{Number: version, Hash: rollout.HashOf([]byte(strconv.FormatUint(version, 10)))}
	if err := n.publish(i, "(newest)", version, heldConfig{Digest: digest}); err != nil {
		return err
	}
	if len(n.members) > maxAnnouncers {
		return nil
	}
	now := uint64(time.Now().UnixNano())
	own := heldConfig{Digest: digest, Ready: true, Incarnation: now}
	return n.publish(i, "endpoint-"+strconv.Itoa(i), now, own)
}

func (n *network) publish(i int, key string, version uint64, held heldConfig) error {
	value, err := json.Marshal(held)
	if err != nil {
		return err
	}
	return n.members[i].Publish(membership.Item{
		ItemKey: membership.ItemKey{Kind: "config", Key: key}, Version: version, Value: value,
	})
}

// measureAnnounce measures the cost of members while each of them announces a
// version as package node does, at sizes above maxAnnouncers. It also measures
// how much processor time a node uses to read membership items.
func measureAnnounce(ctx context.Context, o *options) ([]*series, error) {
	bytes := &series{name: "announce-bytes", x: "processes", y: "KB for each node and change of configuration", designSize: processes}
	cores := &series{name: "announce-cpu", x: "processes", y: "core milliseconds for each node and change", designSize: processes}
	itemReads := &series{name: "census-look", x: "processes", y: "percent of a core for the looks at the news", designSize: processes, limit: limitCorePercent}
	sizes := []int{128, 256, 384}
	if o.Large {
		sizes = []int{128, 256, 600}
	}
	for _, size := range sizes {
		runCtx, cancel := context.WithCancel(ctx)
		n := startNetwork(runCtx, size)
		n.waitConverged(ctx)
		idle := n.measureCost(size, func() { sleep(ctx, memberMeasureTime) })
		var announceErr error
		start := time.Now()
		changing := n.measureCost(size, func() { announceErr = n.announceAll(ctx) })
		if announceErr != nil {
			cancel()
			return nil, announceErr
		}
		seconds := time.Since(start).Seconds()
		bytes.add(float64(size), (changing.bytes-idle.bytes)*seconds/1024)
		cores.add(float64(size), (changing.corePercent-idle.corePercent)*seconds*10)
		itemReads.add(float64(size), itemReadCost(n.members[0]))
		cancel()
		sleep(ctx, convergePollInterval)
	}
	return []*series{bytes, cores, itemReads}, nil
}

// announceAll announces a version as every member, and waits memberMeasureTime for
// the items to spread.
func (n *network) announceAll(ctx context.Context) error {
	for i := range n.members {
		if err := n.announce(i, 2); err != nil {
			return err
		}
	}
	sleep(ctx, memberMeasureTime)
	return nil
}

// The rates at which package node reads membership items, in reads per second.
// It reads items of two kinds for crashes.
const (
	configItemReadRate = 5
	crashItemReadRate  = 2 * 10
)

// itemReadCost returns the processor time that a node uses to read membership
// items, in percent of a core.
func itemReadCost(node *membership.Node) float64 {
	config := timePerCall(200*time.Millisecond, func(int) {
		for _, item := range node.Items("config") {
			var held heldConfig
			// The items were encoded by publish, so decoding cannot fail.
			_ = json.Unmarshal(item.Value, &held)
		}
	})
	crashes := timePerCall(100*time.Millisecond, func(int) { node.Items("crash") })
	return 100 * (configItemReadRate*config.Seconds() + crashItemReadRate*crashes.Seconds())
}
