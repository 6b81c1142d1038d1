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

// Terms of asking the peers about their configuration.
const (
	configItem = "config"
	// newestKey is the item that all nodes share. No process has such a name.
	newestKey = "(newest)"
	// itemizedMembers is the largest deployment in which each node tells what it
	// holds itself.
	itemizedMembers = 64
	censusEvery     = 200 * time.Millisecond
	askTimeout      = 500 * time.Millisecond
	askAtOnce       = 32
	fetchHolders    = 3
)

// held is what one process holds, as it tells the others.
type held struct {
	Digest rollout.Digest `json:"digest"`
	Ready  bool           `json:"ready"`
	// Incarnation is the process's: a later one may hold less.
	Incarnation uint64 `json:"incarnation"`
}

// census knows which configuration the peers hold. News from the membership is
// good enough to know that a version is held; that a node that starts has heard
// of the newest one is only known by asking the peers themselves, since news
// may be older than the node. It implements rollout.Peers.
type census struct {
	core *core

	mu    sync.Mutex
	asked map[string]held
	last  uint64
	told  held
}

func newCensus(c *core) *census {
	return &census{core: c, asked: make(map[string]held)}
}

// run tells the follower of versions heard, and asks the peers while this node
// is not ready.
func (c *census) run(ctx context.Context) {
	ticker := time.NewTicker(censusEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.hear()
		if c.core.follower.Ready() != nil {
			c.ask(ctx)
		}
	}
}

// hear passes the newest version that the news tells of to the follower.
func (c *census) hear() {
	var newest rollout.Digest
	for _, item := range c.core.members.Items(configItem) {
		if h, ok := decodeHeld(item); ok && h.Digest.Number > newest.Number {
			newest = h.Digest
		}
	}
	if newest.Number > 0 {
		c.core.follower.Observe(newest)
	}
}

func decodeHeld(item membership.Item) (held, bool) {
	var h held
	err := json.Unmarshal(item.Value, &h)
	return h, err == nil
}

// ask asks the peers that were not asked yet, some at a time.
func (c *census) ask(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for _, m := range c.core.members.Members() {
		if !c.worthAsking(m) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c.askOne(ctx, m)
		})
	}
	wg.Wait()
}

func (c *census) worthAsking(m membership.Member) bool {
	if m.Name == c.core.members.Self().Name || m.Health == membership.Dead {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.asked[m.Name]
	return !ok || !known.Ready || known.Incarnation != m.Incarnation
}

func (c *census) askOne(ctx context.Context, m membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := c.client(m.Address).HeldConfig(ctx, connect.NewRequest(&pb.HeldConfigRequest{}))
	if err != nil {
		return
	}
	h := held{Digest: digestOf(resp.Msg.GetHeld()), Ready: resp.Msg.GetReady(), Incarnation: resp.Msg.GetIncarnation()}
	c.mu.Lock()
	c.asked[m.Name] = h
	c.mu.Unlock()
	if h.Digest.Number > 0 {
		c.core.follower.Observe(h.Digest)
	}
}

func (c *census) client(address string) cyclamenpointv1connect.PeerServiceClient {
	return cyclamenpointv1connect.NewPeerServiceClient(c.core.client, c.core.security.BaseURL(address))
}

func digestOf(d *pb.ConfigDigest) rollout.Digest {
	return rollout.Digest{Number: d.GetNumber(), Hash: d.GetHash()}
}

// Announce implements rollout.Peers. All nodes publish one and the same item for
// the newest version, so that a change costs one item however many they are. In
// a small deployment each node also tells what it holds itself, which lets a
// version come into force as soon as more than half hold it. Repeats cost
// nothing: the membership repairs what its pushes missed.
func (c *census) Announce(digest rollout.Digest, ready bool) {
	if digest.Number > 0 {
		c.publish(newestKey, digest.Number, held{Digest: digest})
	}
	if len(c.core.members.Members()) > itemizedMembers {
		return
	}
	self := c.core.members.Self()
	own := held{Digest: digest, Ready: ready, Incarnation: self.Incarnation}
	c.mu.Lock()
	if c.told == own {
		c.mu.Unlock()
		return
	}
	c.told = own
	c.last = max(c.last+1, uint64(time.Now().UnixNano()))
	version := c.last
	c.mu.Unlock()
	c.publish(self.Name, version, own)
}

// publish spreads one item about configurations.
func (c *census) publish(key string, version uint64, h held) {
	value, err := json.Marshal(h)
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	err = c.core.members.Publish(membership.Item{
		ItemKey: membership.ItemKey{Kind: configItem, Key: key}, Version: version, Value: value,
	})
	if err != nil {
		klog.Warningf("node: configuration %s cannot be announced: %s.", h.Digest, err)
	}
}

// Summary implements rollout.Peers.
func (c *census) Summary(d rollout.Digest) rollout.PeerSummary {
	self := c.core.members.Self().Name
	news := c.news()
	counted := rollout.PeerSummary{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.core.members.Members() {
		counted.Members++
		if m.Name == self {
			continue
		}
		asked, ok := c.asked[m.Name]
		ok = ok && asked.Ready
		if ok {
			counted.Ready++
		}
		if ok && asked.Digest.Number > counted.Newest.Number {
			counted.Newest = asked.Digest
		}
		told := news[m.Name]
		current := told.Incarnation == m.Incarnation && told.Digest.Number >= d.Number
		if ok && asked.Digest.Number >= d.Number || current {
			counted.Holding++
		}
	}
	return counted
}

// news returns what the membership tells that each process holds.
func (c *census) news() map[string]held {
	news := make(map[string]held)
	for _, item := range c.core.members.Items(configItem) {
		if h, ok := decodeHeld(item); ok {
			news[item.Key] = h
		}
	}
	return news
}

// NoHolderError tells that no peer gave a configuration's body.
type NoHolderError struct {
	Digest rollout.Digest
}

// Error says which.
func (e *NoHolderError) Error() string {
	return "no peer gave configuration " + e.Digest.String()
}

// Fetch implements rollout.Peers.
func (c *census) Fetch(ctx context.Context, d rollout.Digest) ([]byte, error) {
	tries := 0
	news := c.news()
	for _, m := range c.core.members.Members() {
		if tries == fetchHolders {
			break
		}
		if !c.holds(m, news[m.Name], d) {
			continue
		}
		tries++
		resp, err := c.client(m.Address).FetchConfig(ctx, connect.NewRequest(&pb.FetchConfigRequest{
			Digest: &pb.ConfigDigest{Number: d.Number, Hash: d.Hash},
		}))
		if err == nil && resp.Msg.GetFound() {
			return resp.Msg.GetBody(), nil
		}
	}
	return nil, &NoHolderError{Digest: d}
}

func (c *census) holds(m membership.Member, told held, d rollout.Digest) bool {
	if m.Name == c.core.members.Self().Name || m.Health != membership.Alive {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return told.Digest == d || c.asked[m.Name].Digest == d
}

// consumer puts accepted configurations in force. It implements
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
