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

// naive is at most once in one process without faults: a mutex and a map.
type naive struct {
	mu   sync.Mutex
	keys map[string]naiveClaim
}

type naiveClaim struct{ fingerprint, answer string }

// run claims the key, unless it is claimed.
func (n *naive) run(key, fingerprint string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.keys[key]; ok {
		return false
	}
	n.keys[key] = naiveClaim{fingerprint: fingerprint}
	return true
}

func (n *naive) finish(key, answer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keys[key] = naiveClaim{fingerprint: n.keys[key].fingerprint, answer: answer}
}

func (n *naive) free(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.keys, key)
}

func (n *naive) get(key string) naiveClaim {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.keys[key]
}

// gate is a process's way to the table, until the process dies.
type gate struct {
	Table
	dead atomic.Bool
}

func (g *gate) Get(ctx context.Context, key string) (table.Row, error) {
	if g.dead.Load() {
		return table.Row{}, table.UnavailableError{Reason: "dead"}
	}
	return g.Table.Get(ctx, key)
}

func (g *gate) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if g.dead.Load() {
		return nil, table.UnavailableError{Reason: "dead"}
	}
	return g.Table.Write(ctx, ops)
}

// agent is one process.
type agent struct {
	ledger *Ledger
	gate   *gate
	cancel context.CancelFunc
	done   chan struct{}
}

// ran is what an endpoint saw.
type ran struct {
	call, key, body string
}

// told is what a caller saw.
type told struct {
	call, key, body string
	answer          string
	err             error
}

// world is a whole deployment of the histories.
type world struct {
	store   *tablestandin.Store
	table   Table
	objects *objectstandin.Store
	agents  [agents]*agent
	started uint64
	plant   plant
	calls   sync.WaitGroup

	mu     sync.Mutex
	naive  naive
	ran    []ran
	told   []told
	differ []string
}

// plant is a fault planted behind a test.
type plant struct {
	// unconditional makes the table ignore that rows must be absent.
	unconditional bool
	// runsRefused makes agents run what they refused.
	runsRefused bool
	// mixes makes the table give the answer of another row.
	mixes bool
}

// plantedTable is the table with planted faults.
type plantedTable struct {
	*tablestandin.Store
	plant plant
}

func (p plantedTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	ops = append([]table.Op{}, ops...)
	for i := range ops {
		if p.plant.unconditional {
			ops[i].IfAbsent = false
		}
	}
	return p.Store.Write(ctx, ops)
}

func (p plantedTable) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := p.Store.Get(ctx, key)
	rec, bad := decode[record](row)
	if err == nil && p.plant.mixes && bad == nil && rec.State == StateDone {
		rec.Body, rec.Object = []byte("answer of another"), ""
		row.Value = encode(rec)
	}
	return row, err
}

// newWorld starts the agents.
func newWorld(p plant) *world {
	w := &world{
		store: tablestandin.New(), objects: objectstandin.New(), plant: p,
		naive: naive{keys: map[string]naiveClaim{}},
	}
	w.table = plantedTable{Store: w.store, plant: p}
	for i := range w.agents {
		w.start(i)
	}
	return w
}

// start runs a new process of runner i.
func (w *world) start(i int) {
	w.started++
	g := &gate{Table: w.table}
	settings := Settings{
		Runner: strconv.Itoa(i), Nonce: strconv.FormatUint(w.started, 10),
		MaxRun: testMaxRun, InlineBytes: 16, KeepClaim: time.Hour * 1000,
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &agent{gate: g, cancel: cancel, done: make(chan struct{})}
	a.ledger = New(settings, g, w.objects, rand.New(rand.NewPCG(w.started, 2)))
	w.agents[i] = a
	go func() { a.ledger.Run(ctx); close(a.done) }()
}

// kill ends a process at once.
func (w *world) kill(i int) {
	w.agents[i].gate.dead.Store(true)
	w.agents[i].cancel()
}

// call sends one protected request through an agent and notes what its caller
// and the endpoint see.
func (w *world) call(a *agent, id, key, body string, pause, length time.Duration, end ending) {
	claim := Claim{Organisation: "o", Route: "r", Key: key, Fingerprint: body, KeepAnswer: 1000 * time.Hour}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	d, err := a.ledger.Begin(ctx, claim)
	if a.gate.dead.Load() {
		return
	}
	if err != nil {
		if w.plant.runsRefused && stderrors.As(err, new(StoreDownError)) {
			w.note(func() { w.ran = append(w.ran, ran{id, key, body}) })
		}
		w.note(func() { w.told = append(w.told, told{id, key, body, "", err}) })
		return
	}
	if d.Replay != nil {
		w.replayed(id, key, body, string(d.Replay.Body))
		return
	}
	if !w.naive.run(key, body) {
		w.note(func() { w.differ = append(w.differ, id+" runs "+key+", the naive version does not") })
	}
	time.Sleep(pause)
	if a.gate.dead.Load() {
		return
	}
	if end == endAbandon || a.ledger.Start(*d.Run) != nil {
		w.naive.free(key)
		err := a.ledger.Abandon(*d.Run, "test")
		if err == nil {
			err = StoreDownError{Key: key}
		}
		w.note(func() { w.told = append(w.told, told{id, key, body, "", err}) })
		return
	}
	w.note(func() { w.ran = append(w.ran, ran{id, key, body}) })
	time.Sleep(length)
	if a.gate.dead.Load() {
		return
	}
	if end == endBreak {
		if err := a.ledger.MarkUnknown(*d.Run, "test"); err != nil {
			w.note(func() { w.differ = append(w.differ, err.Error()) })
		}
		w.note(func() { w.told = append(w.told, told{id, key, body, "", brokenError{}}) })
		return
	}
	answer := answerOf(id, key, body)
	w.naive.finish(key, answer)
	if err := a.ledger.Finish(*d.Run, Answer{Status: 200, Body: []byte(answer)}); err != nil {
		w.note(func() { w.differ = append(w.differ, err.Error()) })
	}
	w.note(func() { w.told = append(w.told, told{id, key, body, answer, nil}) })
}

// ending is how a run ends.
type ending int

const (
	endAnswer ending = iota
	endAbandon
	endBreak
)

// brokenError tells a caller that the outcome of its own run is unknown.
type brokenError struct{}

func (brokenError) Error() string { return "broken" }

// replayed notes a replay and compares it with the naive version's.
func (w *world) replayed(id, key, body, answer string) {
	if want := w.naive.get(key).answer; want != answer {
		w.note(func() { w.differ = append(w.differ, fmt.Sprintf("%s got %q, the naive version %q", id, answer, want)) })
	}
	w.note(func() { w.told = append(w.told, told{id, key, body, answer, nil}) })
}

// answerOf is what the endpoint answers; body "b" gets a large answer.
func answerOf(id, key, body string) string {
	if body == "b" {
		return fmt.Sprintf("a rather long answer of %s to %s in %s", body, key, id)
	}
	return id + "/" + key + "/" + body
}

func (w *world) note(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}
