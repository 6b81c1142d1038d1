package membership

import (
	"context"
	"math/rand/v2"
	"time"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// Transport sends messages to other processes. Its methods are called by
// several goroutines at once and return when the context ends.
type Transport interface {
	// Exchange sends news to the process at address and returns its answer.
	Exchange(ctx context.Context, address string, req *cyclamenpointv1.ExchangeRequest) (*cyclamenpointv1.ExchangeResponse, error)
	// Check asks the process at address to reach another one.
	Check(ctx context.Context, address string, req *cyclamenpointv1.CheckRequest) (*cyclamenpointv1.CheckResponse, error)
}

// VM is one entry of the platform's VM list.
type VM struct {
	// Name is the VM's name.
	Name string
	// Leaving says that the platform takes the VM away.
	Leaving bool
}

// VMs reads the platform's VM list, which lags.
type VMs interface {
	// List returns the VMs that the platform knows now.
	List(ctx context.Context) ([]VM, error)
}

// Config sets up a Node.
type Config struct {
	// Self is the process's own record: its incarnation is greater than that of
	// earlier starts as far as the process can tell.
	Self Record
	// Seeds are addresses of processes to learn the others from.
	Seeds []string
	// Transport reaches the other processes.
	Transport Transport
	// VMs is the platform's list; nil means that there is none.
	VMs VMs
	// Rand is the node's own random source.
	Rand *rand.Rand
	// Timing holds the periods; DefaultTiming suits all sizes.
	Timing Timing
}

// Timing holds the periods and the counts of a Node.
type Timing struct {
	// PingTargets is how many other processes this one watches.
	PingTargets int
	// PingInterval is the time between two pings of a watched process.
	PingInterval time.Duration
	// CallTimeout bounds one exchange.
	CallTimeout time.Duration
	// IndirectChecks is how many other processes check a silent one.
	IndirectChecks int
	// SuspectTimeout is the time from suspect to dead.
	SuspectTimeout time.Duration
	// Fanout is how many random processes get a push of news.
	Fanout int
	// MinPushInterval is the least time between two rounds of pushes.
	MinPushInterval time.Duration
	// SyncInterval is the mean time between two exchanges of digests.
	SyncInterval time.Duration
	// VMListInterval is the mean time between two reads of the VM list by all
	// processes together; a single process never reads more often than once in
	// MinVMListInterval.
	VMListInterval, MinVMListInterval time.Duration
	// VMListLag is how far the VM list may be behind. An incarnation younger than
	// that is not judged by the list: the entry may mean an earlier one.
	VMListLag time.Duration
}

// DefaultTiming suits sites from 20 to 950 processes.
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
