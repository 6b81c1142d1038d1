// Package vmliststandin is an in-memory stand-in for the platform's list of
// VMs, for tests and the demo. Changes show after a lag, and the list can be
// down.
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

// List holds the VMs. It serves as the service itself, through Handler, and as
// an in-process client of its own. All methods may be called concurrently.
type List struct {
	mu     sync.Mutex
	lag    time.Duration
	down   bool
	shown  map[string]vmlist.VM
	future []change
}

// change is a change that shows at a time.
type change struct {
	at     time.Time
	vm     vmlist.VM
	remove bool
}

// New returns an empty List whose changes show after lag.
func New(lag time.Duration) *List { return &List{lag: lag, shown: map[string]vmlist.VM{}} }

// SetDown makes the list refuse everything, or answer again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set adds or changes a VM.
func (l *List) Set(vm vmlist.VM) { l.add(change{vm: vm}) }

// Remove takes a VM off the list.
func (l *List) Remove(name string) { l.add(change{vm: vmlist.VM{Name: name}, remove: true}) }

// add queues a change.
func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now().Add(l.lag)
	l.future = append(l.future, c)
}

// VMs returns the VMs that the list shows now, sorted by name.
func (l *List) VMs(context.Context) ([]vmlist.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, vmlist.UnavailableError{Reason: "down"}
	}
	now := time.Now()
	for len(l.future) > 0 && !l.future[0].at.After(now) {
		l.show(l.future[0])
		l.future = l.future[1:]
	}
	vms := make([]vmlist.VM, 0, len(l.shown))
	for _, name := range slices.Sorted(maps.Keys(l.shown)) {
		vms = append(vms, l.shown[name])
	}
	return vms, nil
}

// show applies a change whose time has come.
func (l *List) show(c change) {
	if c.remove {
		delete(l.shown, c.vm.Name)
		return
	}
	l.shown[c.vm.Name] = c.vm
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
		// A reader that has gone is of no interest.
		_ = json.NewEncoder(w).Encode(vms)
	})
	return mux
}
