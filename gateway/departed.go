package gateway

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
)

// departed keeps endpoints that left the list while the store was away for as
// long as live ones may take to come back to it.
type departed struct {
	until map[string]time.Time
	kept  map[string]discovery.Endpoint
}

func newDeparted() *departed {
	return &departed{until: make(map[string]time.Time), kept: make(map[string]discovery.Endpoint)}
}

// keep returns the list with the endpoints of old that are missing from it
// after an outage.
func (d *departed) keep(list []discovery.Endpoint, old *discovery.Set, afterOutage bool, now time.Time) []discovery.Endpoint {
	listed := make(map[string]bool, len(list))
	taken := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID], taken[e.Address] = true, true
	}
	if !afterOutage {
		clear(d.kept)
		return list
	}
	for id, e := range old.All() {
		if !listed[id] && !taken[e.Address] && !e.Draining {
			list = append(list, e)
			d.kept[id] = e
		}
	}
	return list
}
