package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/config"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/rollout"
)

// Keys and limits of the exchange of configurations between peers.
const (
	// configItem is the kind of membership items that describe configurations.
	configItem = "config"
	// latestKey is the key of the item for the latest configuration, which all
	// nodes publish with the same content. No process has a name in parentheses.
	latestKey = "(newest)"
	// maxAnnouncers is the number of members up to which each node also publishes
	// an item about the configuration that it holds itself.
	maxAnnouncers        = 64
	heldConfigInterval   = 200 * time.Millisecond
	heldConfigTimeout    = 500 * time.Millisecond
	maxConcurrentQueries = 32
	maxFetchAttempts     = 3
)

// heldConfig describes the configuration that a process holds. Processes
// publish it to each other.
type heldConfig struct {
	Digest rollout.Digest `json:"digest"`
	Ready  bool           `json:"ready"`
	// Incarnation is that of the process. A later incarnation may hold an older
	// version.
	Incarnation uint64 `json:"incarnation"`
}

// configPeers records which configuration each peer holds. It implements
// rollout.Peers. A membership item is enough to show that a peer holds a version.
// It does not show that a starting node has the latest version, since the item may
// be older than the node's start, so a node that is not ready queries its peers.
type configPeers struct {
	core *core

	mu sync.Mutex
	// answers holds the last answer of each peer, by name.
	answers map[string]heldConfig
	// itemVersion is the version of the last item published about this node,
	// and announced its value.
	itemVersion uint64
	announced   heldConfig
}

func newConfigPeers(c *core) *configPeers {
	return &configPeers{core: c, answers: make(map[string]heldConfig)}
}

// run passes the versions that the peers publish to the follower, and queries the
// peers while this node is not ready, until ctx ends.
func (c *configPeers) run(ctx context.Context) {
	ticker := time.NewTicker(heldConfigInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.observeItems()
		if c.core.follower.Ready() != nil {
			c.query(ctx)
		}
	}
}

// observeItems passes the latest version among the membership items to the
// follower.
func (c *configPeers) observeItems() {
	var latest rollout.Digest
	for _, item := range c.core.members.Items(configItem) {
		if h, ok := decodeItem(item); ok && h.Digest.Number > latest.Number {
			latest = h.Digest
		}
	}
	if latest.Number > 0 {
		c.core.follower.Observe(latest)
	}
}

func decodeItem(item membership.Item) (heldConfig, bool) {
	var h heldConfig
	err := json.Unmarshal(item.Value, &h)
	return h, err == nil
}

// query queries the peers whose last answer is missing or out of date, at most
// maxConcurrentQueries at a time.
func (c *configPeers) query(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, m := range c.core.members.Members() {
		if !c.needsQuery(m) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c.queryPeer(ctx, m)
		})
	}
	wg.Wait()
}

// needsQuery reports whether a peer has not answered yet, was not ready when it
// answered, or has restarted since.
func (c *configPeers) needsQuery(m membership.Member) bool {
	if m.Name == c.core.members.Self().Name || m.Health == membership.Dead {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.answers[m.Name]
	return !ok || !last.Ready || last.Incarnation != m.Incarnation
}

func (c *configPeers) queryPeer(ctx context.Context, m membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, heldConfigTimeout)
	defer cancel()
	resp, err := c.client(m.Address).HeldConfig(ctx, connect.NewRequest(&pb.HeldConfigRequest{}))
	if err != nil {
		return
	}
	h := heldConfig{Digest: digestOf(resp.Msg.GetHeld()), Ready: resp.Msg.GetReady(), Incarnation: resp.Msg.GetIncarnation()}
	c.mu.Lock()
	c.answers[m.Name] = h
	c.mu.Unlock()
	if h.Digest.Number > 0 {
		c.core.follower.Observe(h.Digest)
	}
}

func (c *configPeers) client(address string) cyclamenpointv1connect.PeerServiceClient {
	return cyclamenpointv1connect.NewPeerServiceClient(c.core.client, c.core.security.BaseURL(address))
}

func digestOf(d *pb.ConfigDigest) rollout.Digest {
	return rollout.Digest{Number: d.GetNumber(), Hash: d.GetHash()}
}

// Announce implements rollout.Peers. All nodes publish the same item for the
// latest version, so that a change costs one item regardless of the number of
// nodes. In a deployment of at most maxAnnouncers members each node also publishes
// what it holds itself, so that a version can come into force as soon as more than
// half of them hold it. An unchanged item need not be published again, since the
// membership delivers items that its pushes missed.
func (c *configPeers) Announce(digest rollout.Digest, ready bool) {
	if digest.Number > 0 {
		c.publish(latestKey, digest.Number, heldConfig{Digest: digest})
	}
	if len(c.core.members.Members()) > maxAnnouncers {
		return
	}
	self := c.core.members.Self()
	own := heldConfig{Digest: digest, Ready: ready, Incarnation: self.Incarnation}
	c.mu.Lock()
	if c.announced == own {
		c.mu.Unlock()
		return
	}
	c.announced = own
	c.itemVersion = max(c.itemVersion+1, uint64(time.Now().UnixNano()))
	version := c.itemVersion
	c.mu.Unlock()
	c.publish(self.Name, version, own)
}

// publish publishes one item about a configuration.
func (c *configPeers) publish(key string, version uint64, h heldConfig) {
	value, err := json.Marshal(h)
	if err != nil {
		// A heldConfig holds only strings and numbers, which can always be encoded.
		panic(err)
	}
	err = c.core.members.Publish(membership.Item{
		ItemKey: membership.ItemKey{Kind: configItem, Key: key}, Version: version, Value: value,
	})
	if err != nil {
		klog.Warningf("node: cannot publish configuration %s: %s.", h.Digest, err)
	}
}

// Summary implements rollout.Peers.
func (c *configPeers) Summary(d rollout.Digest) rollout.PeerSummary {
	self := c.core.members.Self().Name
	items := c.items()
	summary := rollout.PeerSummary{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.core.members.Members() {
		summary.Members++
		if m.Name == self {
			continue
		}
		answer, ok := c.answers[m.Name]
		ok = ok && answer.Ready
		if ok {
			summary.Ready++
		}
		if ok && answer.Digest.Number > summary.Newest.Number {
			summary.Newest = answer.Digest
		}
		published := items[m.Name]
		current := published.Incarnation == m.Incarnation && published.Digest.Number >= d.Number
		if ok && answer.Digest.Number >= d.Number || current {
			summary.Holding++
		}
	}
	return summary
}

// items returns the published items about configurations, by key.
func (c *configPeers) items() map[string]heldConfig {
	items := make(map[string]heldConfig)
	for _, item := range c.core.members.Items(configItem) {
		if h, ok := decodeItem(item); ok {
			items[item.Key] = h
		}
	}
	return items
}

// ConfigUnavailableError reports that no peer returned the body of a
// configuration.
type ConfigUnavailableError struct {
	Digest rollout.Digest
}

// Error names the configuration.
func (e *ConfigUnavailableError) Error() string {
	return "no peer gave configuration " + e.Digest.String()
}

// Fetch implements rollout.Peers. It queries at most maxFetchAttempts peers.
func (c *configPeers) Fetch(ctx context.Context, d rollout.Digest) ([]byte, error) {
	attempts := 0
	items := c.items()
	for _, m := range c.core.members.Members() {
		if attempts == maxFetchAttempts {
			break
		}
		if !c.holds(m, items[m.Name], d) {
			continue
		}
		attempts++
		resp, err := c.client(m.Address).FetchConfig(ctx, connect.NewRequest(&pb.FetchConfigRequest{
			Digest: &pb.ConfigDigest{Number: d.Number, Hash: d.Hash},
		}))
		if err == nil && resp.Msg.GetFound() {
			return resp.Msg.GetBody(), nil
		}
	}
	return nil, &ConfigUnavailableError{Digest: d}
}

// holds reports whether an alive peer holds d, by its published item or by its
// last answer.
func (c *configPeers) holds(m membership.Member, published heldConfig, d rollout.Digest) bool {
	if m.Name == c.core.members.Self().Name || m.Health != membership.Alive {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return published.Digest == d || c.answers[m.Name].Digest == d
}

// consumer puts accepted configurations in force at this node. It implements
// rollout.Consumer.
type consumer struct {
	holder   *config.Holder
	registry *rollout.Registry
}

// Check implements rollout.Consumer.
func (c *consumer) Check(d rollout.Digest, body []byte) (func(), error) {
	snap, err := config.NewSnapshot(d.Number, "", body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return func() {
		snap.InForceSince = time.Now()
		if c.holder.Advance(snap) {
			klog.Infof("config: version %d, hash %.12s, is in force.", snap.Version, snap.Hash)
		}
	}, nil
}
