// Package gossip lets entry nodes and agents find each other and exchange state.
// Each of these processes registers itself in a table of the platform's store and
// follows that table. Processes exchange UDP datagrams with the load of endpoints
// and the versions of their copies of the store's tables. A process that gets no
// updates from the store fetches newer copies from its peers.
package gossip

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
)

// Kind is the kind of a process.
type Kind string

// The kinds of process: an entry node, and an agent, which runs beside an
// endpoint.
const (
	KindEntry Kind = "entry"
	KindAgent Kind = "agent"
)

// Node is a process's row in the table of processes.
type Node struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Address is the address at which the process listens for peers, by TCP and
	// UDP.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Endpoint is the address of an agent's endpoint.
	Endpoint string `json:"endpoint,omitempty"`
	// Group is the rank group of that endpoint, Rank its rank and Size the number
	// of ranks in the group.
	Group string `json:"group,omitempty"`
	Rank  int    `json:"rank,omitempty"`
	Size  int    `json:"size,omitempty"`
}

// Store reads and writes the platform's tables.
type Store interface {
	follow.Source
	// Put returns the state of the store after the write.
	Put(ctx context.Context, table, key string, value []byte) (follow.Position, error)
}

const (
	// registerRetryInterval is the time between two attempts to write the
	// process's own row.
	registerRetryInterval = 500 * time.Millisecond
	// initialReadTimeout bounds the first read of the table. If it succeeds and
	// the table already holds the right row, the process doesn't write it again.
	initialReadTimeout = 500 * time.Millisecond
	// maxRewriteDelay bounds the random delay of writing the own row again after the store
	// has lost it, so that not all processes write at once.
	maxRewriteDelay = time.Second
)

// entryTiming and agentTiming pause between reads so that the rows of processes that
// start together arrive in one read. Agents are many; what they need earlier they copy
// from a peer.
var (
	entryTiming = follow.Timing{PollTimeout: 20 * time.Second, MinInterval: time.Second, Backoff: 500 * time.Millisecond, VerifyInterval: 5 * time.Second, RetainLost: retainProcesses}
	agentTiming = follow.Timing{PollTimeout: 25 * time.Second, MinInterval: 4 * time.Second, Backoff: 500 * time.Millisecond, RetainLost: retainProcesses}
)

// retainProcesses is the time for which a process counts as registered whose row the store has
// lost in a restore. It writes the row again once it has read the table.
const retainProcesses = 10 * time.Second

// Registry registers this process in the table of processes and follows that
// table. It is safe for concurrent use.
type Registry struct {
	table    string
	store    Store
	log      *slog.Logger
	follower *follow.Follower
	nodes    atomic.Pointer[[]Node]
	onChange func([]Node)
	// pending holds a value while self has to be written to the table, lost while it has to
	// be written again.
	pending, lost chan struct{}

	mu   sync.Mutex
	self Node
	// registered is true once the table has held this process's row, as of heldAt.
	registered bool
	heldAt     follow.Position
}

// NewRegistry returns a registry for the process self. onChange is called with
// each new list of processes.
func NewRegistry(table string, store Store, self Node, log *slog.Logger, onChange func([]Node)) *Registry {
	r := &Registry{table: table, store: store, log: log, self: self, onChange: onChange, pending: make(chan struct{}, 1), lost: make(chan struct{}, 1)}
	r.nodes.Store(&[]Node{})
	timing := agentTiming
	if self.Kind == KindEntry {
		timing = entryTiming
	}
	r.follower = follow.New(table, store, timing, log, r.update)
	if self.Kind == KindEntry {
		r.pending <- struct{}{}
	}
	// An agent registers once SetRank has been called.
	return r
}

// Follower returns the follower of the table of processes.
func (r *Registry) Follower() *follow.Follower { return r.follower }

// Self returns this process's row.
func (r *Registry) Self() Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SetRank sets the group and the rank of this process's endpoint, and writes the
// row again if they have changed.
func (r *Registry) SetRank(group string, rank, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Group == group && r.self.Rank == rank && r.self.Size == size {
		return
	}
	r.self.Group, r.self.Rank, r.self.Size = group, rank, size
	notify(r.pending)
}

// notify puts a value into a channel unless there is one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Nodes returns the registered processes. The caller must not modify the slice.
func (r *Registry) Nodes() []Node { return *r.nodes.Load() }

// EntryCount returns the number of registered entry nodes.
func (r *Registry) EntryCount() int {
	n := 0
	for _, node := range r.Nodes() {
		if node.Kind == KindEntry {
			n++
		}
	}
	return n
}

// GroupAgents returns the registered agents of a rank group. Of several rows for one rank,
// such as those of a VM and of its replacement, the latest comes last.
func (r *Registry) GroupAgents(name string) []Node {
	var agents []Node
	for _, node := range r.Nodes() {
		if node.Kind == KindAgent && node.Group == name && name != "" {
			agents = append(agents, node)
		}
	}
	return agents
}

// update replaces the list of processes with the rows of a new copy and those that the store has
// lost in a restore. Rows that were written later come later.
func (r *Registry) update(c follow.Copy) {
	rows := c.WithRetained().Rows
	nodes := make([]Node, 0, len(rows))
	for _, row := range slices.SortedFunc(maps.Values(rows), func(a, b follow.Row) int { return cmp.Compare(a.Version, b.Version) }) {
		var n Node
		if err := json.Unmarshal(row.Value, &n); err != nil {
			r.log.Warn("cannot decode the row of a process", "row", row.Key, "error", err.Error())
			continue
		}
		nodes = append(nodes, n)
	}
	r.nodes.Store(&nodes)
	r.log.Info("list of processes updated", "processes", len(nodes), "as_of", c.AsOf)
	r.onChange(nodes)
	r.checkSelf(c)
}

// checkSelf checks whether the store has lost this process's row in a restore, or has an older one.
// Within an era, only this process writes it.
func (r *Registry) checkSelf(c follow.Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.registered || c.AsOf.Era <= r.heldAt.Era {
		return
	}
	if value, err := json.Marshal(r.self); err == nil && bytes.Equal(value, c.Rows[r.self.Name].Value) {
		r.heldAt = c.AsOf
		return
	}
	notify(r.lost)
}

// isLost reports whether the row has not been seen or written in the era of the current copy.
func (r *Registry) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heldAt.Era < r.follower.Current().AsOf.Era
}

// setHeld records that the table holds this process's row.
func (r *Registry) setHeld(at follow.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registered, r.heldAt = true, at
}

// Run registers this process and follows the table until the context ends.
func (r *Registry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.follower.Run(ctx) })
	defer wg.Wait()
	if !r.follower.AwaitCopy(ctx, initialReadTimeout) {
		r.log.Warn("table of processes could not be read yet, registering without it")
	}
	for {
		select {
		case <-r.pending:
			r.register(ctx)
		case <-r.lost:
			sleep(ctx, rand.N(maxRewriteDelay))
			if r.isLost() {
				r.log.Warn("the store has lost the row of this process, writing it again")
				r.register(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// register writes this process's row and retries until the store accepts it.
func (r *Registry) register(ctx context.Context) {
	for ctx.Err() == nil {
		self := r.Self()
		value, err := json.Marshal(self)
		if held := r.follower.Current(); bytes.Equal(value, held.Rows[self.Name].Value) {
			// The table already holds this row, from an earlier start.
			r.setHeld(held.AsOf)
			return
		}
		var at follow.Position
		if err == nil {
			at, err = r.store.Put(ctx, r.table, self.Name, value)
		}
		if err == nil && at.Era < r.follower.Current().AsOf.Era {
			// The store has been restored since, and may have lost the row.
			sleep(ctx, registerRetryInterval)
			continue
		}
		if err == nil {
			r.setHeld(at)
			r.log.Info("registered this process", "name", self.Name, "address", self.Address, "group", self.Group, "rank", self.Rank)
			return
		}
		r.log.Warn("cannot register this process", "error", err.Error())
		sleep(ctx, registerRetryInterval)
	}
}

// sleep waits for some time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
