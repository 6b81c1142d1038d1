package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/outstanding"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

const (
	// compareInterval is the time between two comparisons of the facts with another entry
	// node.
	compareInterval = 500 * time.Millisecond
	// askInterval is the time between two questions of a node that has just started, and
	// startPeriod the time after which it serves without an answer.
	askInterval = 40 * time.Millisecond
	startPeriod = time.Second
	// maxClearDelay bounds the random delay of a broadcast that clears only. Many nodes
	// clear the same part at the same time, and most need not say so once one has.
	maxClearDelay = 8 * time.Millisecond
	// checkTimeout bounds the check whether an endpoint still accepts connections.
	checkTimeout = 300 * time.Millisecond
	// maxNoteFacts bounds the facts in one note, which has to fit a datagram.
	maxNoteFacts = 12
)

// quarantineConfig bounds the facts about crashes that a node keeps.
var quarantineConfig = quarantine.Config{
	Keep: quarantine.DefaultKeep, MaxCrashes: quarantine.DefaultMaxCrashes, MaxClears: quarantine.DefaultMaxClears,
	SuspectFromSecondCrash: true,
}

// crashes detects crashes of endpoints and exchanges the facts about them with the other
// entry nodes.
type crashes struct {
	address  string
	list     *quarantine.List
	attempts *quarantine.Attempts
	gossip   *gossip.Gossiper
	registry *gossip.Registry
	loads    *outstanding.Tracker
	log      *slog.Logger
	// changed holds a value while facts of this node wait to be broadcast.
	changed chan struct{}
	// synced is true once the facts of another node have arrived, or did not for long.
	synced atomic.Bool
}

func newCrashes(node, address string, g *gossip.Gossiper, registry *gossip.Registry, loads *outstanding.Tracker, log *slog.Logger) *crashes {
	list, err := quarantine.NewList(quarantineConfig)
	if err != nil {
		// The configuration is constant and valid.
		panic(err)
	}
	c := &crashes{address: address, list: list, gossip: g, registry: registry, loads: loads, log: log, changed: make(chan struct{}, 1)}
	c.attempts = quarantine.NewAttempts(list, node, c.wake)
	g.OnNote(c.receive)
	return c
}

// wake causes a broadcast of the facts that the other nodes may not have.
func (c *crashes) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// note is a message between entry nodes about crashes.
type note struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Digest is that of the sender's facts, zero if it need not be compared.
	Digest uint64
	// Starting is true if the sender has just started; it gets an answer in any case.
	// Answer is true for that answer.
	Starting, Answer bool
	Facts            quarantine.Facts
}

// askAtStart asks other entry nodes for their facts until one answers or startPeriod is
// over. A node that starts again must not send a request to endpoints that the others
// know to crash them.
func (c *crashes) askAtStart(ctx context.Context) {
	defer c.synced.Store(true)
	ask := time.NewTicker(askInterval)
	defer ask.Stop()
	ctx, cancel := context.WithTimeout(ctx, startPeriod)
	defer cancel()
	for !c.synced.Load() {
		to := c.gossip.RandomEntry()
		if to == "" && c.registry.Follower().AwaitCopy(ctx, askInterval) && c.gossip.RandomEntry() == "" {
			// There is no other entry node.
			return
		}
		if to != "" {
			c.send(to, note{From: c.address, Digest: c.list.Digest(), Starting: true})
		}
		select {
		case <-ask.C:
		case <-ctx.Done():
			return
		}
	}
}

// run broadcasts new facts and compares the facts with other nodes until ctx ends.
func (c *crashes) run(ctx context.Context) {
	compare := time.NewTicker(compareInterval)
	defer compare.Stop()
	for {
		select {
		case <-c.changed:
			if !c.list.HasNewCrash() {
				c.pause(ctx)
			}
			c.broadcast(c.list.TakeNew())
		case <-compare.C:
			if !c.list.Empty() {
				c.compare()
			}
		case <-ctx.Done():
			return
		}
	}
}

// pause waits for a random part of maxClearDelay.
func (c *crashes) pause(ctx context.Context) {
	timer := time.NewTimer(rand.N(maxClearDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// compare sends the digest of the facts to another entry node, which answers with its
// facts if they differ.
func (c *crashes) compare() {
	if to := c.gossip.RandomEntry(); to != "" {
		c.send(to, note{From: c.address, Digest: c.list.Digest()})
	}
}

func (c *crashes) broadcast(facts quarantine.Facts) {
	for _, part := range facts.Split(maxNoteFacts) {
		if data, ok := c.encode(note{From: c.address, Facts: part}); ok {
			c.gossip.BroadcastNote(data)
		}
	}
}

func (c *crashes) send(to string, n note) {
	if data, ok := c.encode(n); ok {
		c.gossip.SendNote(to, data)
	}
}

func (c *crashes) encode(n note) ([]byte, bool) {
	data, err := cbor.Marshal(n)
	if err != nil {
		c.log.Error("cannot encode facts about crashes", "error", err.Error())
	}
	return data, err == nil
}

// receive handles a note of another entry node.
func (c *crashes) receive(data []byte) {
	var n note
	if err := cbor.Unmarshal(data, &n); err != nil {
		c.log.Warn("cannot decode facts about crashes", "error", err.Error())
		return
	}
	if len(n.Facts.Crashes)+len(n.Facts.Clears) > 0 {
		c.merge(n.Facts)
	}
	if n.Answer {
		c.synced.Store(true)
	}
	if n.Starting && n.Digest == c.list.Digest() {
		c.send(n.From, note{From: c.address, Answer: true})
	}
	if n.Digest == 0 || n.Digest == c.list.Digest() {
		return
	}
	digest := uint64(0)
	if len(n.Facts.Crashes)+len(n.Facts.Clears) == 0 {
		// The other node has not sent its facts yet; the digest makes it do so.
		digest = c.list.Digest()
	}
	for _, part := range c.list.Facts().Split(maxNoteFacts) {
		c.send(n.From, note{From: c.address, Digest: digest, Answer: n.Starting, Facts: part})
	}
}

// merge adds facts of another node. The groups of endpoints that crashed just now count
// as stopped.
func (c *crashes) merge(facts quarantine.Facts) {
	if !c.attempts.Merge(facts) {
		return
	}
	c.log.Info("facts about crashes received", "crashes", len(facts.Crashes), "clears", len(facts.Clears))
	for _, crash := range facts.Crashes {
		if crash.Group != "" && quarantineConfig.Keep-crash.Remaining < factDelay {
			c.loads.GroupStopped(crash.Group)
		}
	}
}

// refusesConnections reports whether nothing listens at an address.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, checkTimeout)
	if err == nil {
		// Only whether the endpoint accepts matters.
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// watch is the gateway's forward.Watch.
type watch struct {
	g        *Gateway
	req      *forward.Request
	target   forward.Target
	withdraw func()
	attempt  *quarantine.Attempt
}

// Begin implements forward.Picker.
func (p *endpointPicker) Begin(req *forward.Request, target forward.Target, withdraw func()) forward.Watch {
	p.g.loads.Begin(target.ID)
	if req.Match.Route.Repeat != deployment.RepeatAlways {
		// It must not run elsewhere, so its answer here is the only one.
		withdraw = func() {}
	}
	return &watch{g: p.g, req: req, target: target, withdraw: withdraw}
}

func (w *watch) site() quarantine.Site {
	return quarantine.Site{
		Endpoint: w.target.ID, Incarnation: uint64(w.target.Started.UnixMilli()), Group: w.g.loads.Group(w.target.ID),
	}
}

// Sent implements forward.Watch.
func (w *watch) Sent() {
	w.attempt = w.g.crashes.attempts.Begin(w.site(), w.req.Identity, w.withdraw)
}

// Answered implements forward.Watch.
func (w *watch) Answered(ran bool) { w.attempt.Answered(ran) }

// ConnectionLost implements forward.Watch. An endpoint that no longer accepts connections
// has crashed.
func (w *watch) ConnectionLost() {
	if !refusesConnections(w.target.Address) {
		return
	}
	site := w.site()
	w.g.log.Warn("endpoint crashed", "request", w.req.ID, "endpoint", w.target.ID, "group", site.Group, "prompt_parts", w.req.PromptParts)
	if site.Group != "" {
		w.g.loads.GroupStopped(site.Group)
	}
	w.g.crashes.attempts.RecordCrash(site)
}

// RateLimit implements forward.Watch.
func (w *watch) RateLimit(perSecond float64) {
	if w.g.pacer.Observe(pacedEndpoint(w.target.Endpoint), perSecond, time.Now()) {
		w.g.log.Info("endpoint states another rate limit", "request", w.req.ID, "endpoint", w.target.ID, "service", w.target.Service, "requests_per_second", perSecond)
	}
}

// End implements forward.Watch.
func (w *watch) End() {
	w.g.loads.End(w.target.ID)
	if w.attempt != nil {
		w.attempt.End()
	}
}
