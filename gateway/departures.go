package gateway

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
)

const (
	// maxNoteDepartures bounds the endpoints in one note, which has to fit a datagram.
	maxNoteDepartures = 40
	// departureKeep is how long a departure is kept of an endpoint that is not listed.
	// Its entry may lapse in an outage of the store and come back.
	departureKeep = 5 * time.Minute
)

// departures holds the endpoints that have stated in an answer that they are about to
// stop. They get no further requests, like those that drain in the list of endpoints,
// which may say so later or not at all. It is safe for concurrent use.
type departures struct {
	notes *notes
	log   *slog.Logger

	mu sync.Mutex
	// leaving holds the time of the statement.
	leaving map[discovery.Incarnation]time.Time
}

func newDepartures(n *notes, log *slog.Logger) *departures {
	d := &departures{notes: n, log: log, leaving: make(map[discovery.Incarnation]time.Time)}
	n.handlers = append(n.handlers, d.handle)
	return d
}

// contains reports whether an incarnation of an endpoint is about to stop.
func (d *departures) contains(i discovery.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.leaving[i]
	return ok
}

// add records that an incarnation is about to stop and reports whether that is new.
func (d *departures) add(i discovery.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.leaving[i]; ok {
		return false
	}
	d.leaving[i] = time.Now()
	return true
}

// observe records the statement of an endpoint and broadcasts it to the other nodes.
func (d *departures) observe(e discovery.Endpoint, request string) {
	if !d.add(e.Incarnation()) {
		return
	}
	d.log.Info("endpoint states that it is about to stop", "request", request, "endpoint", e.ID, "service", e.Service)
	d.notes.broadcast(note{Leaving: []discovery.Incarnation{e.Incarnation()}})
}

// handle records the departures that another node has sent, and sends those that are
// known to a node that has just started.
func (d *departures) handle(m note) {
	for _, i := range m.Leaving {
		if d.add(i) {
			d.log.Info("endpoint is about to stop, another node says", "endpoint", i.ID, "from", m.From)
		}
	}
	if m.Starting {
		for part := range slices.Chunk(d.all(), maxNoteDepartures) {
			d.notes.send(m.From, note{Leaving: part})
		}
	}
}

func (d *departures) all() []discovery.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]discovery.Incarnation, 0, len(d.leaving))
	for i := range d.leaving {
		all = append(all, i)
	}
	return all
}

// retain forgets incarnations that another one has replaced, and those that have not been
// listed for long.
func (d *departures) retain(set *discovery.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, at := range d.leaving {
		e, listed := set.Find(i.ID)
		if listed && e.Incarnation() != i || !listed && time.Since(at) > departureKeep {
			delete(d.leaving, i)
		}
	}
}
