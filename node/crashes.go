package node

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

// Kinds and limits of the membership items that distribute quarantine facts.
const (
	crashItem = "crash"
	clearItem = "clear"
	// factSyncInterval is the interval at which facts are published and merged.
	factSyncInterval = 100 * time.Millisecond
	// fingerprintBytes is the size of a fingerprint in binary.
	fingerprintBytes = 16
	// fingerprintsPerItem is how many fingerprints fit into one item.
	fingerprintsPerItem = membership.MaxItemBytes / fingerprintBytes
	// factVersion is the version of all items, since facts never change.
	factVersion = 1
)

// syncFacts publishes this node's quarantine facts and merges those of the
// other nodes, until ctx ends.
func (c *core) syncFacts(ctx context.Context) {
	ticker := time.NewTicker(factSyncInterval)
	defer ticker.Stop()
	published := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mergeFacts()
		if version := c.suspects.Version(); version != published {
			published = version
			c.publishFacts()
		}
	}
}

// publishFacts publishes the facts that are in no item yet.
func (c *core) publishFacts() {
	known := make(map[membership.ItemKey]bool)
	for _, kind := range []string{crashItem, clearItem} {
		for _, item := range c.members.Items(kind) {
			known[item.ItemKey] = true
		}
	}
	for _, item := range encodeFacts(c.suspects.Facts()) {
		if known[item.ItemKey] {
			continue
		}
		if err := c.members.Publish(item); err != nil {
			klog.Warningf("quarantine: cannot publish a fact: %s.", err)
		}
	}
}

// encodeFacts encodes quarantine facts as items. A crash with many fingerprints
// needs several items.
func encodeFacts(facts quarantine.Facts) []membership.Item {
	var items []membership.Item
	for _, crash := range facts.Crashes {
		parts := slices.Collect(slices.Chunk(crash.Fingerprints, fingerprintsPerItem))
		for i, fps := range parts {
			items = append(items, membership.Item{
				ItemKey: membership.ItemKey{Kind: crashItem, Key: crashKey(crash.ID, i, len(parts))},
				Version: factVersion,
				Value:   packFingerprints(fps),
				Expires: time.Now().Add(crash.Remaining),
			})
		}
	}
	for _, clearance := range facts.Clears {
		value, err := json.Marshal(clearance)
		if err != nil {
			// A clearance holds only strings and numbers, which can always be
			// encoded.
			panic(err)
		}
		items = append(items, membership.Item{
			ItemKey: membership.ItemKey{Kind: clearItem, Key: string(clearance.Fingerprint) + "/" + clearance.Crash.String()},
			Version: factVersion,
			Value:   value,
			Expires: time.Now().Add(clearance.Remaining),
		})
	}
	return items
}

// crashKey returns the key of the item with one of total parts of a crash.
func crashKey(id quarantine.CrashID, index, total int) string {
	return fmt.Sprintf("%s %d %d %d %d", id.Endpoint, id.Incarnation, id.Number, index, total)
}

// crashPart is one part of a crash, decoded from an item.
type crashPart struct {
	id        quarantine.CrashID
	index     int
	total     int
	fps       []quarantine.Fingerprint
	remaining time.Duration
}

// decodeCrashPart decodes an item. It returns false if the item is malformed.
func decodeCrashPart(item membership.Item) (crashPart, bool) {
	p := crashPart{remaining: time.Until(item.Expires)}
	n, err := fmt.Sscanf(item.Key, "%s %d %d %d %d", &p.id.Endpoint, &p.id.Incarnation, &p.id.Number, &p.index, &p.total)
	if err != nil || n != 5 || len(item.Value)%fingerprintBytes != 0 {
		return p, false
	}
	for fp := range slices.Chunk(item.Value, fingerprintBytes) {
		p.fps = append(p.fps, quarantine.Fingerprint(hex.EncodeToString(fp)))
	}
	return p, true
}

// mergeFacts merges the facts of the published items into this node's list. A
// crash is merged once all of its parts have arrived.
func (c *core) mergeFacts() {
	var facts quarantine.Facts
	crashes := make(map[quarantine.CrashID]quarantine.Crash)
	missing := make(map[quarantine.CrashID]int)
	for _, item := range c.members.Items(crashItem) {
		p, ok := decodeCrashPart(item)
		if !ok {
			continue
		}
		crash, found := crashes[p.id]
		if !found {
			crash = quarantine.Crash{ID: p.id, Remaining: p.remaining}
			missing[p.id] = p.total
		}
		crash.Fingerprints = append(crash.Fingerprints, p.fps...)
		crashes[p.id] = crash
		missing[p.id]--
	}
	for id, crash := range crashes {
		if missing[id] == 0 {
			facts.Crashes = append(facts.Crashes, crash)
		}
	}
	facts.Clears = c.readClears()
	if len(facts.Crashes)+len(facts.Clears) > 0 {
		c.suspects.Merge(facts)
	}
}

// readClears decodes the published clearances.
func (c *core) readClears() []quarantine.Clear {
	var clears []quarantine.Clear
	for _, item := range c.members.Items(clearItem) {
		var clearance quarantine.Clear
		if json.Unmarshal(item.Value, &clearance) == nil {
			clearance.Remaining = time.Until(item.Expires)
			clears = append(clears, clearance)
		}
	}
	return clears
}

// packFingerprints returns fingerprints in binary and skips malformed ones.
func packFingerprints(fps []quarantine.Fingerprint) []byte {
	var packed []byte
	for _, fp := range fps {
		raw, err := hex.DecodeString(strings.ToLower(string(fp)))
		if err == nil && len(raw) == fingerprintBytes {
			packed = append(packed, raw...)
		}
	}
	return packed
}
