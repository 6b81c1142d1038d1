package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/outstanding"
	"github.com/cyclamenpoint/cyclamenpoint/pacing"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

const (
	// compareInterval is the time between two comparisons of the facts with another entry
	// node.
	compareInterval = 500 * time.Millisecond
	// maxClearDelay bounds the random delay of a broadcast that clears only. Many nodes
	// clear the same part at the same time, and most need not say so once one has.
	maxClearDelay = 8 * time.Millisecond
	// checkTimeout bounds the check whether an endpoint still accepts connections.
	checkTimeout = 300 * time.Millisecond
	// maxNoteFingerprints bounds the fingerprints in one note, which has to fit a datagram.
	maxNoteFingerprints = 120
)

// quarantineConfig bounds the facts about crashes that a node keeps.
var quarantineConfig = quarantine.Config{
	Keep: quarantine.DefaultKeep, MaxCrashes: quarantine.DefaultMaxCrashes, MaxClears: quarantine.DefaultMaxClears,
	SuspectFromSecondCrash: true,
}

// crashes detects crashes of endpoints and exchanges the facts about them with the other
// entry nodes.
type crashes struct {
	list     *quarantine.List
	attempts *quarantine.Attempts
	notes    *notes
	loads    *outstanding.Tracker
	log      *slog.Logger
	// changed holds a value while facts of this node wait to be broadcast.
	changed chan struct{}
	// unsaved holds a value while the facts may differ from those in the store.
	unsaved chan struct{}
}

func newCrashes(node string, n *notes, loads *outstanding.Tracker, log *slog.Logger) *crashes {
	list, err := quarantine.NewList(quarantineConfig)
	if err != nil {
		// The configuration is constant and valid.
		panic(err)
	}
	c := &crashes{list: list, notes: n, loads: loads, log: log, changed: make(chan struct{}, 1), unsaved: make(chan struct{}, 1)}
	c.attempts = quarantine.NewAttempts(list, node, c.wake)
	n.handlers = append(n.handlers, c.handle)
	return c
}

// wake causes a broadcast of the facts that the other nodes may not have, and a write to the
// store.
func (c *crashes) wake() {
	notify(c.changed)
	notify(c.unsaved)
}

// notify puts a value into a channel unless there is one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
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
	if to := c.notes.gossip.RandomEntry(); to != "" {
		c.notes.send(to, note{Digest: c.list.Digest()})
	}
}

func (c *crashes) broadcast(facts quarantine.Facts) {
	for _, part := range facts.Split(maxNoteFingerprints) {
		c.notes.broadcast(note{Facts: part})
	}
}

// handle merges the facts of another node's note, and sends the node all facts if it has
// others or has just started.
func (c *crashes) handle(m note) {
	hasFacts := len(m.Facts.Crashes)+len(m.Facts.Clears) > 0
	if hasFacts {
		c.merge(m.Facts)
	}
	if !m.Starting && (m.Digest == 0 || m.Digest == c.list.Digest()) {
		return
	}
	digest := uint64(0)
	if !hasFacts {
		// The other node has not sent its facts yet; the digest makes it do so.
		digest = c.list.Digest()
	}
	for _, part := range c.list.Facts().Split(maxNoteFingerprints) {
		c.notes.send(m.From, note{Digest: digest, Facts: part})
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
	// slot is that of the request at a cold endpoint, nil for none.
	slot   *pacing.ColdSlot
	sentAt time.Time
}

// Begin implements forward.Picker.
func (p *endpointPicker) Begin(req *forward.Request, target forward.Target, withdraw func()) forward.Watch {
	p.g.loads.Begin(target.ID)
	slot, _ := target.Reservation.(*pacing.ColdSlot)
	return &watch{g: p.g, req: req, target: target, withdraw: withdraw, slot: slot}
}

func (w *watch) site() quarantine.Site {
	return quarantine.Site{
		Endpoint: w.target.ID, Incarnation: uint64(w.target.Started.UnixMilli()), Group: w.g.loads.Group(w.target.ID),
	}
}

// Sent implements forward.Watch.
func (w *watch) Sent() {
	w.sentAt = time.Now()
	w.slot.Sent()
	w.attempt = w.g.crashes.attempts.Begin(w.site(), w.req.Identity, func() {
		if w.req.Match.Route.Repeat != deployment.RepeatAlways {
			// It must not run elsewhere, so its answer here is the only one.
			return
		}
		metric.AttemptsWithdrawn.Inc()
		w.g.log.Info("attempt withdrawn, the request may crash endpoints", "request", w.req.ID, "endpoint", w.target.ID, "prompt_parts", w.req.PromptParts)
		w.withdraw()
	})
}

// Answered implements forward.Watch.
func (w *watch) Answered(ran bool) { w.attempt.Answered(ran) }

// Completed implements forward.Watch.
func (w *watch) Completed() { w.attempt.Completed() }

// ConnectionLost implements forward.Watch. An endpoint that no longer accepts connections
// has crashed. An answer past its beginning is not the cause of a crash and continues at
// another endpoint without the delay of a check.
func (w *watch) ConnectionLost() {
	if !w.attempt.AtBeginning() || !refusesConnections(w.target.Address) {
		return
	}
	site := w.site()
	metric.EndpointCrashes(w.target.Service).Inc()
	w.g.log.Warn("endpoint crashed", "request", w.req.ID, "endpoint", w.target.ID, "group", site.Group, "prompt_parts", w.req.PromptParts)
	if site.Group != "" {
		w.g.loads.GroupStopped(site.Group)
	}
	w.g.crashes.attempts.RecordCrash(site)
}

// Stated implements forward.Watch.
func (w *watch) Stated(a forward.Answer) {
	w.slot.Answered(time.Now())
	w.g.cold.observe(w.req.Match.Service, w.target.Endpoint, w.req.ID, w.sentAt, a.Cold)
	w.g.limits.observe(w.target.Endpoint, w.req.ID, a.RateLimit)
	w.g.limits.observeCooldown(w.target.Endpoint, w.req.ID, a)
	if a.Leaving {
		w.g.departures.observe(w.target.Endpoint, w.req.ID)
	}
}

// End implements forward.Watch.
func (w *watch) End() {
	w.g.loads.End(w.target.ID)
	w.slot.End(time.Now())
	if w.attempt != nil {
		w.attempt.End()
	}
}
