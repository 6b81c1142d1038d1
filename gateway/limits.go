package gateway

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/pacing"
)

// maxNoteLimits bounds the limits in one note, which has to fit a datagram.
const maxNoteLimits = 40

// limits applies the rate limits that endpoints state, and exchanges them with the other
// entry nodes.
type limits struct {
	pacer *pacing.Pacer
	notes *notes
	log   *slog.Logger
}

func newLimits(n *notes, log *slog.Logger) *limits {
	l := &limits{pacer: pacing.New(rand.IntN(unknownNodes), unknownNodes), notes: n, log: log}
	n.handlers = append(n.handlers, l.handle)
	return l
}

// pacedEndpoint returns the identity of an endpoint for rate limits.
func pacedEndpoint(e discovery.Endpoint) pacing.Endpoint {
	return pacing.Endpoint{ID: e.ID, Incarnation: uint64(e.Started.UnixMilli())}
}

// observe records what an answer of an endpoint states and broadcasts a change.
func (l *limits) observe(e discovery.Endpoint, request string, perSecond float64) {
	now := time.Now()
	if !l.pacer.Observe(pacedEndpoint(e), perSecond, now) {
		return
	}
	l.log.Info("endpoint states another rate limit", "request", request, "endpoint", e.ID, "service", e.Service, "requests_per_second", perSecond)
	changed := slices.DeleteFunc(l.pacer.Limits(now), func(limit pacing.Limit) bool { return limit.Endpoint != pacedEndpoint(e) })
	l.notes.broadcast(note{Limits: changed})
}

// observeCooldown records whether an endpoint has refused a request and asked for none from
// this node for some time.
func (l *limits) observeCooldown(e discovery.Endpoint, request string, a forward.Answer) {
	if a.Cooldown == 0 {
		l.pacer.EndCooldown(pacedEndpoint(e))
		return
	}
	if l.pacer.StartCooldown(pacedEndpoint(e), a.Cooldown, time.Now()) {
		l.log.Info("endpoint asks for a cooldown", "request", request, "endpoint", e.ID, "service", e.Service, "retry_after_ms", a.Cooldown.Milliseconds())
	}
}

// handle records the limits that another node has sent, and sends them to a node that has
// just started.
func (l *limits) handle(m note) {
	now := time.Now()
	if l.pacer.Merge(m.Limits, now) {
		l.log.Info("rate limits of endpoints received", "from", m.From, "limits", len(m.Limits))
	}
	if m.Starting {
		for part := range slices.Chunk(l.pacer.Limits(now), maxNoteLimits) {
			l.notes.send(m.From, note{Limits: part})
		}
	}
}
