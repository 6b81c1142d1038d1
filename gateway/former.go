package gateway

import (
	"slices"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
)

const (
	// formerKeep is how long an incarnation is kept that is no longer listed. It exceeds the
	// age of the copies from which the store is restored.
	formerKeep = time.Minute
	// formerHidden is how long a former incarnation stays out of use that a restored store lists
	// again. If it has ended, the store removes its entry again within that time.
	formerHidden = 5 * time.Second
)

// formerEndpoints holds the incarnations of endpoints that are no longer listed. A restored store
// may list them again, although nothing has been heard of them since. The caller serializes the
// calls.
type formerEndpoints struct {
	// removed holds them with the time of their removal.
	removed map[discovery.Incarnation]formerEndpoint
	// era is that of the latest list, zero before the first one.
	era uint64
	// hidden holds the revisions of the entries that were listed again, until hiddenUntil.
	hidden      map[discovery.Incarnation]uint64
	hiddenUntil time.Time
}

type formerEndpoint struct {
	removedAt time.Time
	draining  bool
}

func newFormerEndpoints() *formerEndpoints {
	return &formerEndpoints{removed: make(map[discovery.Incarnation]formerEndpoint)}
}

// restored reports whether a list is the first one of another era of the store.
func (f *formerEndpoints) restored(era uint64) bool {
	restored := f.era != 0 && era > f.era
	f.era = max(f.era, era)
	return restored
}

// hide begins to hide the former incarnations in the first list of an era.
func (f *formerEndpoints) hide(list []discovery.Endpoint, now time.Time) {
	f.hidden, f.hiddenUntil = make(map[discovery.Incarnation]uint64), now.Add(formerHidden)
	for _, e := range list {
		if _, former := f.removed[e.Incarnation()]; former {
			f.hidden[e.Incarnation()] = e.Revision
		}
	}
}

// visible returns the endpoints of a list without the hidden ones. An entry that has been
// written since the restore is not hidden.
func (f *formerEndpoints) visible(list []discovery.Endpoint, now time.Time) []discovery.Endpoint {
	if now.After(f.hiddenUntil) {
		f.hidden = nil
	}
	if len(f.hidden) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(e discovery.Endpoint) bool {
		revision, hidden := f.hidden[e.Incarnation()]
		return hidden && revision == e.Revision
	})
}

// leaving returns the incarnations that were draining when they were listed last.
func (f *formerEndpoints) leaving(last *discovery.Set) []discovery.Incarnation {
	var leaving []discovery.Incarnation
	for _, e := range last.All() {
		if e.Draining {
			leaving = append(leaving, e.Incarnation())
		}
	}
	for i, former := range f.removed {
		if former.draining {
			leaving = append(leaving, i)
		}
	}
	return leaving
}

// update records which incarnations are not listed any more.
func (f *formerEndpoints) update(last, next *discovery.Set, now time.Time) {
	for _, e := range next.All() {
		delete(f.removed, e.Incarnation())
	}
	for id, e := range last.All() {
		if current, listed := next.Find(id); !listed || current.Incarnation() != e.Incarnation() {
			f.removed[e.Incarnation()] = formerEndpoint{removedAt: now, draining: e.Draining}
		}
	}
	for i, former := range f.removed {
		if now.Sub(former.removedAt) > formerKeep {
			delete(f.removed, i)
		}
	}
}
