package claim

import (
	"context"
	stderrors "errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	objectstandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// reference implements at-most-once execution in one process without faults, with
// a mutex and a map.
type reference struct {
	mu   sync.Mutex
	keys map[string]referenceClaim
}

type referenceClaim struct{ fingerprint, answer string }

// run claims the key and reports true, unless it is claimed already.
func (r *reference) run(key, fingerprint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.keys[key]; ok {
		return false
	}
	r.keys[key] = referenceClaim{fingerprint: fingerprint}
	return true
}

func (r *reference) finish(key, answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys[key] = referenceClaim{fingerprint: r.keys[key].fingerprint, answer: answer}
}

func (r *reference) free(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.keys, key)
}

func (r *reference) get(key string) referenceClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}

// killableTable is the table as one process uses it. It fails once the process is
// killed.
type killableTable struct {
	Table
	dead atomic.Bool
}

func (t *killableTable) Get(ctx context.Context, key string) (table.Row, error) {
	if t.dead.Load() {
		return table.Row{}, table.UnavailableError{Reason: "dead"}
	}
	return t.Table.Get(ctx, key)
}

func (t *killableTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if t.dead.Load() {
		return nil, table.UnavailableError{Reason: "dead"}
	}
	return t.Table.Write(ctx, ops)
}

// agent is an agent process.
type agent struct {
	ledger *Ledger
	table  *killableTable
	cancel context.CancelFunc
	done   chan struct{}
}

// execution is a request that ran at an endpoint.
type execution struct {
	call, key, body string
}

// response is the result that a caller received.
type response struct {
	call, key, body string
	answer          string
	err             error
}

// simulation is the deployment in which a history runs.
type simulation struct {
	store   *tablestandin.Store
	table   Table
	objects *objectstandin.Store
	agents  [agents]*agent
	started uint64
	fault   fault
	calls   sync.WaitGroup

	mu         sync.Mutex
	reference  reference
	executions []execution
	responses  []response
	diffs      []string
}

// fault is a set of injected faults.
type fault struct {
	// unconditional makes the table ignore the condition that a row is absent.
	unconditional bool
	// runsRefused makes agents run requests that were refused.
	runsRefused bool
	// wrongAnswer makes the table return the answer of another row.
	wrongAnswer bool
}

// faultyTable is a table with injected faults.
type faultyTable struct {
	*tablestandin.Store
	fault fault
}

func (t faultyTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	ops = append([]table.Op{}, ops...)
	for i := range ops {
		if t.fault.unconditional {
			ops[i].IfAbsent = false
		}
	}
	return t.Store.Write(ctx, ops)
}

func (t faultyTable) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := t.Store.Get(ctx, key)
	rec, bad := decode[record](row)
	if err == nil && t.fault.wrongAnswer && bad == nil && rec.State == StateDone {
		rec.Body, rec.Object = []byte("answer of another"), ""
		row.Value = encode(rec)
	}
	return row, err
}

// newSimulation starts the agents.
func newSimulation(f fault) *simulation {
	sim := &simulation{
		store: tablestandin.New(), objects: objectstandin.New(), fault: f,
		reference: reference{keys: map[string]referenceClaim{}},
	}
	sim.table = faultyTable{Store: sim.store, fault: f}
	for i := range sim.agents {
		sim.start(i)
	}
	return sim
}

// start starts a new process of runner i.
func (sim *simulation) start(i int) {
	sim.started++
	t := &killableTable{Table: sim.table}
	settings := Settings{
		Runner: strconv.Itoa(i), Nonce: strconv.FormatUint(sim.started, 10),
		MaxRun: testMaxRun, InlineBytes: 16, KeepClaim: time.Hour * 1000,
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &agent{table: t, cancel: cancel, done: make(chan struct{})}
	a.ledger = New(settings, t, sim.objects, rand.New(rand.NewPCG(sim.started, 2)))
	sim.agents[i] = a
	go func() { a.ledger.Run(ctx); close(a.done) }()
}

// kill stops a process without a shutdown.
func (sim *simulation) kill(i int) {
	sim.agents[i].table.dead.Store(true)
	sim.agents[i].cancel()
}

// call sends a protected request through an agent. It records the response to
// the caller and the run at the endpoint.
func (sim *simulation) call(a *agent, id, key, body string, pause, length time.Duration, end runEnd) {
	claim := Claim{Organisation: "o", Route: "r", Key: key, Fingerprint: body, KeepAnswer: 1000 * time.Hour}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	d, err := a.ledger.Begin(ctx, claim)
	if a.table.dead.Load() {
		return
	}
	if err != nil {
		if sim.fault.runsRefused && stderrors.As(err, new(StoreDownError)) {
			sim.locked(func() { sim.executions = append(sim.executions, execution{id, key, body}) })
		}
		sim.locked(func() { sim.responses = append(sim.responses, response{id, key, body, "", err}) })
		return
	}
	if d.Replay != nil {
		sim.recordReplay(id, key, body, string(d.Replay.Body))
		return
	}
	if !sim.reference.run(key, body) {
		sim.locked(func() { sim.diffs = append(sim.diffs, id+" runs "+key+", the reference does not") })
	}
	time.Sleep(pause)
	if a.table.dead.Load() {
		return
	}
	if end == endAbandon || a.ledger.Start(*d.Run) != nil {
		sim.reference.free(key)
		err := a.ledger.Abandon(*d.Run, "test")
		if err == nil {
			err = StoreDownError{Key: key}
		}
		sim.locked(func() { sim.responses = append(sim.responses, response{id, key, body, "", err}) })
		return
	}
	sim.locked(func() { sim.executions = append(sim.executions, execution{id, key, body}) })
	time.Sleep(length)
	if a.table.dead.Load() {
		return
	}
	if end == endBreak {
		if err := a.ledger.MarkUnknown(*d.Run, "test"); err != nil {
			sim.locked(func() { sim.diffs = append(sim.diffs, err.Error()) })
		}
		sim.locked(func() { sim.responses = append(sim.responses, response{id, key, body, "", brokenError{}}) })
		return
	}
	answer := answerOf(id, key, body)
	sim.reference.finish(key, answer)
	if err := a.ledger.Finish(*d.Run, Answer{Status: 200, Body: []byte(answer)}); err != nil {
		sim.locked(func() { sim.diffs = append(sim.diffs, err.Error()) })
	}
	sim.locked(func() { sim.responses = append(sim.responses, response{id, key, body, answer, nil}) })
}

// runEnd is how a run ends.
type runEnd int

const (
	endAnswer runEnd = iota
	endAbandon
	endBreak
)

// brokenError is the response to a caller whose own run has an unknown outcome.
type brokenError struct{}

func (brokenError) Error() string { return "broken" }

// recordReplay records a replayed answer and compares it with the reference.
func (sim *simulation) recordReplay(id, key, body, answer string) {
	if want := sim.reference.get(key).answer; want != answer {
		sim.locked(func() { sim.diffs = append(sim.diffs, fmt.Sprintf("%s got %q, the reference %q", id, answer, want)) })
	}
	sim.locked(func() { sim.responses = append(sim.responses, response{id, key, body, answer, nil}) })
}

// answerOf returns the endpoint's answer, which is large for body "b".
func answerOf(id, key, body string) string {
	if body == "b" {
		return fmt.Sprintf("a rather long answer of %s to %s in %s", body, key, id)
	}
	return id + "/" + key + "/" + body
}

func (sim *simulation) locked(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}
