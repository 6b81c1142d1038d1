// Package resource divides the memory and the descriptors that a VM gives a process among
// the uses that it has for them.
package resource

// Defaults for settings that state no limits.
const (
	// DefaultMemoryBytes is the memory of a process.
	DefaultMemoryBytes = 256e6
	// DefaultDescriptors is the number of descriptors of a process.
	DefaultDescriptors = 4096
)

const (
	// fileDescriptors is the part of the descriptors that is not for connections.
	fileDescriptors = 200
	// Shares of the descriptors for connections. What is left, a thirty-second, is for the
	// store, connections to peers and the listeners themselves.
	callerShare, endpointShare, peerShare, probeShare = 3. / 8, 1. / 2, 1. / 16, 1. / 64
	// minProbes is the least number of connections for readiness checks and for metrics:
	// a platform's balancer and an operator keep a few.
	minProbes = 8
	// requestShare is the share of the memory for callers: their connections, heads,
	// bodies and answers. The garbage collector lets the heap grow by 40%, and a process
	// without callers takes some 20 MB.
	requestShare = 0.45
	// softShare is the share of the memory from which the garbage collector works harder.
	softShare = 0.8
)

// Plan is the division of a process's memory and descriptors.
type Plan struct {
	// Callers, Endpoints and Peers are the largest numbers of connections of each kind.
	// Probes is that of readiness checks, and also that of readers of the metrics.
	Callers, Endpoints, Peers, Probes int
	// RequestBytes is the memory for heads, bodies and answers of callers.
	RequestBytes int64
	// SoftLimitBytes is the limit for the garbage collector.
	SoftLimitBytes int64
}

// NewPlan returns the division of memory and descriptors; zero means the default.
// connectionBytes is the memory of a caller's open connection.
func NewPlan(memoryBytes int64, descriptors int, connectionBytes int64) Plan {
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	connections := float64(max(descriptors-fileDescriptors, descriptors/2))
	p := Plan{
		Callers: int(callerShare * connections), Endpoints: int(endpointShare * connections),
		Peers: int(peerShare * connections), Probes: max(int(probeShare*connections), minProbes),
		SoftLimitBytes: int64(softShare * float64(memoryBytes)),
	}
	requests := int64(requestShare * float64(memoryBytes))
	// With many descriptors, the memory limits the callers' connections.
	p.Callers = min(p.Callers, int(requests/2/connectionBytes))
	p.RequestBytes = requests - int64(p.Callers)*connectionBytes
	return p
}
