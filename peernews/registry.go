// Package peernews tells the system's processes of one another. Each process
// writes a row about itself into a table of the platform's store and follows
// that table. By datagrams, processes pass on the endpoints' load and how new
// their copies of the store's tables are; a process that the store turns away
// fetches newer copies from its peers.
package peernews

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
)

// Kind says what a process does.
type Kind string

// The kinds of process.
const (
	KindEntry Kind = "entry"
	KindAgent Kind = "agent"
)

// Node is one of the system's processes.
type Node struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Address is where its peers reach it, by TCP and UDP.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Endpoint is the address of the endpoint that an agent stands beside.
	Endpoint string `json:"endpoint,omitempty"`
	// Group, Rank and Size place that endpoint in its rank group.
	Group string `json:"group,omitempty"`
	Rank  int    `json:"rank,omitempty"`
	Size  int    `json:"size,omitempty"`
}

// Store reads and writes the platform's tables.
type Store interface {
	follow.Source
	Put(ctx context.Context, table, key string, value []byte) error
}

const (
	// enrolRetry is the time between two tries to write a process's own row.
	enrolRetry = 500 * time.Millisecond
	// enrolWait is how long a process waits to see its former row before it
	// writes a new one.
	enrolWait = 500 * time.Millisecond
)

// registryTiming gathers the rows of processes that start together.
var registryTiming = follow.Timing{PollTimeout: 20 * time.Second, MinInterval: time.Second, Backoff: 500 * time.Millisecond}

// Registry knows the system's processes and makes this one known. It is safe
// for concurrent use.
type Registry struct {
	table    string
	store    Store
	log      *slog.Logger
	follower *follow.Follower
	nodes    atomic.Pointer[[]Node]
	changed  func([]Node)
	enrol    chan struct{}

	mu   sync.Mutex
	self Node
}

// NewRegistry returns a registry for the process self; changed is called with
// each new list of processes.
func NewRegistry(table string, store Store, self Node, log *slog.Logger, changed func([]Node)) *Registry {
	r := &Registry{table: table, store: store, log: log, self: self, changed: changed, enrol: make(chan struct{}, 1)}
	r.nodes.Store(&[]Node{})
	r.follower = follow.New(table, store, registryTiming, log, r.set)
	if self.Kind == KindEntry {
		r.enrol <- struct{}{}
	}
	// An agent enrols once it knows its endpoint's place in a group.
	return r
}

// Follower returns the follower of the table of processes.
func (r *Registry) Follower() *follow.Follower { return r.follower }

// Self returns what this process says of itself.
func (r *Registry) Self() Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Place says which rank of which group the endpoint beside this process is. The
// row is written again if that is news.
func (r *Registry) Place(group string, rank, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Group == group && r.self.Rank == rank && r.self.Size == size {
		return
	}
	r.self.Group, r.self.Rank, r.self.Size = group, rank, size
	select {
	case r.enrol <- struct{}{}:
	default:
	}
}

// Nodes returns the known processes. The caller must not change them.
func (r *Registry) Nodes() []Node { return *r.nodes.Load() }

// Entries returns the number of known entry nodes.
func (r *Registry) Entries() int {
	n := 0
	for _, node := range r.Nodes() {
		if node.Kind == KindEntry {
			n++
		}
	}
	return n
}

// Group returns the agents of a rank group.
func (r *Registry) Group(name string) []Node {
	var agents []Node
	for _, node := range r.Nodes() {
		if node.Kind == KindAgent && node.Group == name && name != "" {
			agents = append(agents, node)
		}
	}
	return agents
}

func (r *Registry) set(c follow.Copy) {
	nodes := make([]Node, 0, len(c.Rows))
	for key, row := range c.Rows {
		var n Node
		if err := json.Unmarshal(row.Value, &n); err != nil {
			r.log.Warn("row of a process cannot be read", "row", key, "error", err.Error())
			continue
		}
		nodes = append(nodes, n)
	}
	r.nodes.Store(&nodes)
	r.log.Info("processes known", "processes", len(nodes), "as_of", c.AsOf)
	r.changed(nodes)
}

// Run makes this process known and follows the table, until the context ends.
func (r *Registry) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { r.follower.Run(ctx) })
	defer duties.Wait()
	if !r.follower.AwaitCopy(ctx, enrolWait) {
		r.log.Warn("table of processes not read yet")
	}
	for {
		select {
		case <-r.enrol:
			r.write(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// write writes this process's row until the store has it.
func (r *Registry) write(ctx context.Context) {
	for ctx.Err() == nil {
		self := r.Self()
		value, err := json.Marshal(self)
		if bytes.Equal(value, r.follower.Current().Rows[self.Name].Value) {
			// The row of an earlier process of the same place still holds.
			return
		}
		if err == nil {
			err = r.store.Put(ctx, r.table, self.Name, value)
		}
		if err == nil {
			r.log.Info("process is known", "name", self.Name, "address", self.Address, "group", self.Group, "rank", self.Rank)
			return
		}
		r.log.Warn("row of this process not written", "error", err.Error())
		timer := time.NewTimer(enrolRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}
