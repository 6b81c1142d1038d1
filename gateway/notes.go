package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/pacing"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

const (
	// askInterval is the time between two questions of a node that has just started, and
	// startPeriod the time after which it serves without an answer.
	askInterval = 40 * time.Millisecond
	startPeriod = time.Second
)

// note is a message between entry nodes about endpoints.
type note struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Digest is that of the sender's facts about crashes, zero if it need not be compared.
	Digest uint64
	// Starting is true if the sender has just started; it gets an answer in any case.
	// Answer is true for that answer.
	Starting, Answer bool
	Facts            quarantine.Facts
	Limits           []pacing.Limit
	// Leaving holds endpoints that have stated that they are about to stop.
	Leaving []discovery.Incarnation
	// Cold holds endpoints that have stated in an answer that they are cold.
	Cold []pacing.ColdStatement
}

// notes exchanges what the entry nodes learn about endpoints from answers: crashes, rate
// limits, departures and cold starts.
type notes struct {
	address  string
	gossip   *gossip.Gossiper
	registry *gossip.Registry
	log      *slog.Logger
	// handlers are called with each note. They are set before the gossip runs.
	handlers []func(note)
	// synced is true once another node has answered, or none has for startPeriod.
	synced atomic.Bool
}

func newNotes(address string, g *gossip.Gossiper, registry *gossip.Registry, log *slog.Logger) *notes {
	n := &notes{address: address, gossip: g, registry: registry, log: log}
	g.OnNote(n.receive)
	return n
}

// askAtStart requests the facts and limits of other entry nodes until one answers or
// startPeriod is over. Otherwise a restarted node would send on requests that are
// quarantined everywhere else.
func (n *notes) askAtStart(ctx context.Context) {
	defer n.synced.Store(true)
	ask := time.NewTicker(askInterval)
	defer ask.Stop()
	ctx, cancel := context.WithTimeout(ctx, startPeriod)
	defer cancel()
	for !n.synced.Load() {
		to := n.gossip.RandomEntry()
		if to == "" && n.registry.Follower().AwaitCopy(ctx, askInterval) && n.gossip.RandomEntry() == "" {
			// There is no other entry node.
			return
		}
		if to != "" {
			n.send(to, note{Starting: true})
		}
		select {
		case <-ask.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *notes) broadcast(m note) {
	if data, ok := n.encode(m); ok {
		n.gossip.BroadcastNote(data)
	}
}

func (n *notes) send(to string, m note) {
	if data, ok := n.encode(m); ok {
		n.gossip.SendNote(to, data)
	}
}

func (n *notes) encode(m note) ([]byte, bool) {
	m.From = n.address
	data, err := cbor.Marshal(m)
	if err != nil {
		n.log.Error("cannot encode a note to another node", "error", err.Error())
	}
	return data, err == nil
}

func (n *notes) receive(data []byte) {
	var m note
	if err := cbor.Unmarshal(data, &m); err != nil {
		n.log.Warn("cannot decode a note of another node", "error", err.Error())
		return
	}
	for _, handle := range n.handlers {
		handle(m)
	}
	if m.Answer {
		n.synced.Store(true)
	}
	if m.Starting {
		n.send(m.From, note{Answer: true})
	}
}
