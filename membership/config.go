package membership

import (
	"context"
	"math/rand/v2"
	"time"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// Transport sends messages to other processes. Its methods must be safe for
// concurrent use and must return when the context ends.
type Transport interface {
	// Exchange sends updates to the process at address and returns its answer.
	Exchange(ctx context.Context, address string, req *cyclamenpointv1.ExchangeRequest) (*cyclamenpointv1.ExchangeResponse, error)
	// Check makes the process at address ping another one.
	Check(ctx context.Context, address string, req *cyclamenpointv1.CheckRequest) (*cyclamenpointv1.CheckResponse, error)
}

// VM is one entry of the platform's VM list.
type VM struct {
	// Name is the VM's name.
	Name string
	// Leaving is true once the platform has announced the VM's removal.
	Leaving bool
}

// VMs reads the platform's VM list, which may be out of date.
type VMs interface {
	// List returns the VMs that the platform lists now.
	List(ctx context.Context) ([]VM, error)
}

// Config configures a Node.
type Config struct {
	// Self is the process's own record. Its incarnation must be greater than
	// those of earlier starts, as far as the process can determine them.
	Self Record
	// Seeds are the addresses through which the process joins.
	Seeds []string
	// Transport sends messages to the other processes.
	Transport Transport
	// VMs is the platform's VM list; nil means that there is none.
	VMs VMs
	// Rand is the node's random source.
	Rand *rand.Rand
	// Timing holds the intervals, timeouts and fan-outs. Most callers use
	// DefaultTiming.
	Timing Timing
}

// Timing holds the intervals, timeouts and fan-outs of a Node.
type Timing struct {
	// PingTargets is the number of processes that this one pings.
	PingTargets int
	// PingInterval is the time between two pings of the same target.
	PingInterval time.Duration
	// CallTimeout bounds one exchange.
	CallTimeout time.Duration
	// IndirectChecks is the number of processes through which a target that did
	// not answer is checked.
	IndirectChecks int
	// SuspectTimeout is the time after which a suspect is declared dead.
	SuspectTimeout time.Duration
	// Fanout is the number of random processes that updates are pushed to.
	Fanout int
	// MinPushInterval is the minimum time between two rounds of pushes.
	MinPushInterval time.Duration
	// SyncInterval is the mean time between two exchanges of digests.
	SyncInterval time.Duration
	// VMListInterval is the mean time between two reads of the VM list, counted
	// over all processes. A single process reads it at most once in
	// MinVMListInterval.
	VMListInterval, MinVMListInterval time.Duration
	// VMListLag is the maximum age of the VM list. The list does not apply to an
	// incarnation that is younger: its entry may describe an earlier one.
	VMListLag time.Duration
}

// DefaultTiming returns values for deployments of 20 to 950 processes.
func DefaultTiming() Timing {
	return Timing{
		PingTargets:       3,
		PingInterval:      time.Second,
		CallTimeout:       400 * time.Millisecond,
		IndirectChecks:    3,
		SuspectTimeout:    5 * time.Second,
		Fanout:            3,
		MinPushInterval:   100 * time.Millisecond,
		SyncInterval:      2 * time.Second,
		VMListInterval:    200 * time.Millisecond,
		MinVMListInterval: time.Second,
		VMListLag:         30 * time.Second,
	}
}
