package resource

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPlan guards against plans that exceed what the settings state, or that leave too
// little for a request of the largest legal size.
func TestPlan(t *testing.T) {
	const connectionBytes = 20 << 10
	for _, vm := range []struct {
		memory      int64
		descriptors int
	}{{136e6, 2940}, {206e6, 4096}, {536e6, 8192}, {136e6, 900}, {136e6, 65536}, {0, 0}, {64e6, 256}, {64e6, 100}} {
		p := NewPlan(vm.memory, vm.descriptors, connectionBytes)
		memory, descriptors := vm.memory, vm.descriptors
		if memory == 0 {
			memory, descriptors = DefaultMemoryBytes, DefaultDescriptors
		}
		// The rest of the descriptors is for the store, other processes and listeners.
		const others = 20
		connections := p.Callers + p.Endpoints + p.Peers + 2*p.Probes
		if descriptors >= 900 {
			assert.Assert(t, connections+others <= descriptors-fileDescriptors, "%+v: %+v", vm, p)
		}
		assert.Assert(t, connections <= descriptors, "%+v: %+v", vm, p)
		assert.Assert(t, p.Callers > 0 && p.Endpoints > 0 && p.Peers > 0, "%+v: %+v", vm, p)
		// Twice 4 MiB and the same for small requests.
		assert.Assert(t, p.RequestBytes >= 12<<20, "%+v: %+v", vm, p)
		total := p.RequestBytes + int64(p.Callers)*connectionBytes
		assert.Assert(t, total*14/10+25e6 <= max(memory, 66e6), "%+v: %+v", vm, p)
	}
}
