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

// Terms of spreading what is known of crashes.
const (
	crashItem = "crash"
	clearItem = "clear"
	// crashEvery bounds how long a fact waits before it is spread or taken in.
	crashEvery = 100 * time.Millisecond
	// fingerprintBytes is the size of a fingerprint in binary.
	fingerprintBytes = 16
	// piece is how many fingerprints fit into one item.
	piece = membership.MaxItemBytes / fingerprintBytes
	// factVersion is the only version of a fact: facts never change.
	factVersion = 1
)

// shareCrashes spreads this node's facts about crashes and takes in the others',
// until ctx ends.
func (c *core) shareCrashes(ctx context.Context) {
	ticker := time.NewTicker(crashEvery)
	defer ticker.Stop()
	published := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.takeCrashes()
		if version := c.suspects.Version(); version != published {
			published = version
			c.publishCrashes()
		}
	}
}

// publishCrashes publishes the facts that no item tells of yet.
func (c *core) publishCrashes() {
	known := make(map[membership.ItemKey]bool)
	for _, kind := range []string{crashItem, clearItem} {
		for _, item := range c.members.Items(kind) {
			known[item.ItemKey] = true
		}
	}
	for _, item := range itemsOf(c.suspects.Facts()) {
		if known[item.ItemKey] {
			continue
		}
		if err := c.members.Publish(item); err != nil {
			klog.Warningf("quarantine: a fact cannot be spread: %s.", err)
		}
	}
}

// itemsOf turns facts into items. A crash with many fingerprints takes several.
func itemsOf(news quarantine.Facts) []membership.Item {
	var items []membership.Item
	for _, crash := range news.Crashes {
		pieces := slices.Collect(slices.Chunk(crash.Fingerprints, piece))
		for i, fps := range pieces {
			items = append(items, membership.Item{
				ItemKey: membership.ItemKey{Kind: crashItem, Key: crashKey(crash.ID, i, len(pieces))},
				Version: factVersion,
				Value:   pack(fps),
				Expires: time.Now().Add(crash.Remaining),
			})
		}
	}
	for _, cleared := range news.Clears {
		value, err := json.Marshal(cleared)
		if err != nil {
			// Strings and numbers always encode.
			panic(err)
		}
		items = append(items, membership.Item{
			ItemKey: membership.ItemKey{Kind: clearItem, Key: string(cleared.Fingerprint) + "/" + cleared.Crash.String()},
			Version: factVersion,
			Value:   value,
			Expires: time.Now().Add(cleared.Remaining),
		})
	}
	return items
}

// crashKey names one of several pieces of a crash.
func crashKey(id quarantine.CrashID, i, of int) string {
	return fmt.Sprintf("%s %d %d %d %d", id.Endpoint, id.Incarnation, id.Number, i, of)
}

// crashPiece is one piece of a crash, decoded from an item.
type crashPiece struct {
	id    quarantine.CrashID
	index int
	of    int
	fps   []quarantine.Fingerprint
	left  time.Duration
}

func pieceOf(item membership.Item) (crashPiece, bool) {
	p := crashPiece{left: time.Until(item.Expires)}
	n, err := fmt.Sscanf(item.Key, "%s %d %d %d %d", &p.id.Endpoint, &p.id.Incarnation, &p.id.Number, &p.index, &p.of)
	if err != nil || n != 5 || len(item.Value)%fingerprintBytes != 0 {
		return p, false
	}
	for fp := range slices.Chunk(item.Value, fingerprintBytes) {
		p.fps = append(p.fps, quarantine.Fingerprint(hex.EncodeToString(fp)))
	}
	return p, true
}

// takeCrashes takes in the facts that the items tell of. A crash counts once
// all of its pieces are here.
func (c *core) takeCrashes() {
	var news quarantine.Facts
	crashes := make(map[quarantine.CrashID]quarantine.Crash)
	missing := make(map[quarantine.CrashID]int)
	for _, item := range c.members.Items(crashItem) {
		p, ok := pieceOf(item)
		if !ok {
			continue
		}
		crash, begun := crashes[p.id]
		if !begun {
			crash = quarantine.Crash{ID: p.id, Remaining: p.left}
			missing[p.id] = p.of
		}
		crash.Fingerprints = append(crash.Fingerprints, p.fps...)
		crashes[p.id] = crash
		missing[p.id]--
	}
	for id, crash := range crashes {
		if missing[id] == 0 {
			news.Crashes = append(news.Crashes, crash)
		}
	}
	news.Clears = c.takeClears()
	if len(news.Crashes)+len(news.Clears) > 0 {
		c.suspects.Merge(news)
	}
}

func (c *core) takeClears() []quarantine.Clear {
	var clears []quarantine.Clear
	for _, item := range c.members.Items(clearItem) {
		var cleared quarantine.Clear
		if json.Unmarshal(item.Value, &cleared) == nil {
			cleared.Remaining = time.Until(item.Expires)
			clears = append(clears, cleared)
		}
	}
	return clears
}

// pack writes fingerprints in binary; those that are none are left out.
func pack(fps []quarantine.Fingerprint) []byte {
	var packed []byte
	for _, fp := range fps {
		raw, err := hex.DecodeString(strings.ToLower(string(fp)))
		if err == nil && len(raw) == fingerprintBytes {
			packed = append(packed, raw...)
		}
	}
	return packed
}
