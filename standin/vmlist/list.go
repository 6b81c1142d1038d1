// Package vmliststandin is an in-memory stand-in for the platform's list of VMs,
// used by tests and the demo. Changes become visible after a lag, and outages
// can be simulated.
package vmliststandin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/vmlist"
)

// List holds the VMs. It can be used over HTTP, through Handler, or directly in
// place of a client. It is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	visible map[string]vmlist.VM
	pending []change
}

// change is a change to the list that becomes visible at visibleAt.
type change struct {
	visibleAt time.Time
	vm        vmlist.VM
	remove    bool
}

// New returns an empty List whose changes become visible after lag.
func New(lag time.Duration) *List { return &List{lag: lag, visible: map[string]vmlist.VM{}} }

// SetDown sets whether all requests fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set adds or changes a VM.
func (l *List) Set(vm vmlist.VM) { l.add(change{vm: vm}) }

// Remove removes a VM.
func (l *List) Remove(name string) { l.add(change{vm: vmlist.VM{Name: name}, remove: true}) }

// add queues a change until its lag has passed.
func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.visibleAt = time.Now().Add(l.lag)
	l.pending = append(l.pending, c)
}

// VMs returns the visible VMs, sorted by name.
func (l *List) VMs(context.Context) ([]vmlist.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, vmlist.UnavailableError{Reason: "down"}
	}
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	vms := make([]vmlist.VM, 0, len(l.visible))
	for _, name := range slices.Sorted(maps.Keys(l.visible)) {
		vms = append(vms, l.visible[name])
	}
	return vms, nil
}

// apply makes a change visible.
func (l *List) apply(c change) {
	if c.remove {
		delete(l.visible, c.vm.Name)
		return
	}
	l.visible[c.vm.Name] = c.vm
}

// Handler serves the list over HTTP.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.VMs(r.Context())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the caller has disconnected.
		_ = json.NewEncoder(w).Encode(vms)
	})
	return mux
}
