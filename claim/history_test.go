package claim

import (
	"context"
	stderrors "errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	objectstandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Settings of the histories.
const (
	agents     = 3
	keys       = 4
	testMaxRun = time.Minute
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
func (w *world) call(a *agent, id, key, body string, pause, length time.Duration, abandon bool) {
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
	if abandon || a.ledger.Start(*d.Run) != nil {
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
	answer := answerOf(id, key, body)
	w.naive.finish(key, answer)
	if err := a.ledger.Finish(*d.Run, Answer{Status: 200, Body: []byte(answer)}); err != nil {
		w.note(func() { w.differ = append(w.differ, err.Error()) })
	}
	w.note(func() { w.told = append(w.told, told{id, key, body, answer, nil}) })
}

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

// operate resolves all claims of unknown outcome by what the endpoint saw.
func (w *world) operate() {
	operator := NewOperator(w.table, testMaxRun)
	open, err := operator.List(context.Background())
	if err != nil {
		return
	}
	for _, o := range open {
		verdict := VerdictNotRun
		w.mu.Lock()
		for _, r := range w.ran {
			if r.key == o.Key {
				verdict = VerdictRan
			}
		}
		w.mu.Unlock()
		err := operator.Resolve(context.Background(), o.Row, verdict)
		// A write whose answer was lost may free the key too.
		freed := err == nil || stderrors.As(err, new(table.UnknownOutcomeError))
		if freed && verdict == VerdictNotRun {
			w.naive.free(o.Key)
		}
	}
}

// provenNotRun tells whether an error says that the call itself did not run.
// Every refusal of this package does.
func provenNotRun(err error) bool { return err != nil }

// check reads only what callers were told and what the endpoint ran.
func check(runs []ran, tellings []told) string {
	var found []string
	byKey, byCall := map[string]int{}, map[string]bool{}
	answers := map[string]ran{}
	for _, r := range runs {
		byKey[r.key]++
		byCall[r.call] = true
		answers[answerOf(r.call, r.key, r.body)] = r
		if byKey[r.key] == 2 {
			found = append(found, "ran twice: "+r.key)
		}
	}
	for _, t := range tellings {
		if provenNotRun(t.err) && byCall[t.call] {
			found = append(found, "refused and ran: "+t.call)
		}
		if t.err != nil {
			continue
		}
		if r, ok := answers[t.answer]; !ok || r.key != t.key || r.body != t.body {
			found = append(found, fmt.Sprintf("%s got the answer %q", t.call, t.answer))
		}
	}
	return strings.Join(found, "; ")
}

// step is one step of a history.
type step struct {
	Kind   string
	Agent  int
	Key    int
	Body   string
	Amount int
	Wait   int
}

// steps draws a history.
func steps() *rapid.Generator[[]step] {
	kinds := []string{
		"call", "call", "call", "call", "call", "call", "abandon", "pause", "kill", "retire",
		"lose", "late", "down", "slow", "limit", "objects", "heal", "heal", "operate", "hour",
	}
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Agent:  rapid.IntRange(0, agents-1).Draw(t, "agent"),
			Key:    rapid.IntRange(0, keys-1).Draw(t, "key"),
			Body:   rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body"),
			Amount: rapid.IntRange(0, 20).Draw(t, "amount"),
			Wait:   rapid.IntRange(0, 60).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(one, 10, 60)
}

// play runs a history and then lets everything come to rest.
func (w *world) play(plan []step) {
	for n, s := range plan {
		w.do(strconv.Itoa(n), s)
		time.Sleep(time.Duration(s.Wait) * time.Duration(s.Wait) * time.Millisecond)
	}
	w.heal()
	time.Sleep(5 * time.Minute)
	w.finalCalls()
	w.calls.Wait()
	for _, a := range w.agents {
		a.cancel()
		<-a.done
	}
	time.Sleep(time.Hour)
}

func (w *world) heal() {
	w.store.SetFaults(tablestandin.Faults{})
	w.objects.SetFaults(objectstandin.Faults{})
}

// do does one step.
func (w *world) do(id string, s step) {
	key := "k" + strconv.Itoa(s.Key)
	amount := time.Duration(s.Amount) * time.Second
	a := w.agents[s.Agent]
	switch s.Kind {
	case "call":
		w.calls.Go(func() { w.call(a, id, key, s.Body, 0, amount/4, false) })
	case "abandon":
		w.calls.Go(func() { w.call(a, id, key, s.Body, 0, 0, true) })
	case "pause":
		w.calls.Go(func() { w.call(a, id, key, s.Body, amount*10, amount/4, false) })
	case "kill":
		w.kill(s.Agent)
		w.start(s.Agent)
	case "retire":
		// A failure is one of the faults.
		_ = NewOperator(w.table, testMaxRun).Retire(context.Background(), strconv.Itoa(s.Agent))
	case "lose":
		w.store.LoseNext(s.Amount % 4)
	case "late":
		w.store.SetFaults(tablestandin.Faults{LateWrites: amount / 2})
	case "down":
		w.store.SetFaults(tablestandin.Faults{Down: true})
	case "slow":
		w.store.SetFaults(tablestandin.Faults{Delay: amount / 4})
	case "limit":
		w.store.SetFaults(tablestandin.Faults{WritesPerSecond: 2, ReadsPerSecond: 2})
	case "objects":
		w.objects.SetFaults(objectstandin.Faults{Down: true})
	case "heal":
		w.heal()
	case "operate":
		w.operate()
	case "hour":
		time.Sleep(time.Hour)
	}
}

// finalCalls repeats each key when all faults are over: no key may be stuck.
func (w *world) finalCalls() {
	for i := range agents {
		if w.agents[i].ledger.Stats().Fenced {
			w.kill(i)
			w.start(i)
			time.Sleep(5 * time.Second)
		}
		for k := range keys {
			key := "k" + strconv.Itoa(k)
			w.call(w.agents[i], fmt.Sprintf("final-%d-%d", i, k), key, "a", 0, 0, false)
		}
	}
	for _, t := range w.told {
		down := stderrors.As(t.err, new(StoreDownError)) || stderrors.As(t.err, new(UnreadableError))
		if strings.HasPrefix(t.call, "final") && down {
			w.differ = append(w.differ, t.call+" was refused without a fault: "+t.err.Error())
		}
	}
}

// verdict plays a history in virtual time; it returns what the checker and the
// comparison found.
func verdict(t *testing.T, plan []step, p plant) (checked string, differ []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(p)
		w.play(plan)
		checked, differ = check(w.ran, w.told), w.differ
	})
	return checked, differ
}

func TestHistoriesAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checked, differ := verdict(t, steps().Draw(rt, "plan"), plant{})
		if checked != "" || len(differ) > 0 {
			rt.Fatalf("checker: %q, differences: %q", checked, differ)
		}
	})
}

// TestItemsOfAnOvertakenWriteAreSentAnew is a history in which a claim was
// dropped: a write of unknown outcome took effect after a later one was sent.
func TestItemsOfAnOvertakenWriteAreSentAnew(t *testing.T) {
	plan := []step{
		{Kind: "lose", Amount: 7, Wait: 12}, {Kind: "late", Amount: 18, Wait: 48},
		{Kind: "call", Agent: 0, Body: "b", Amount: 20, Wait: 57},
		{Kind: "pause", Agent: 1, Body: "a", Amount: 15, Wait: 47}, {Kind: "lose", Amount: 1, Wait: 14},
		{Kind: "late", Amount: 3, Wait: 3}, {Kind: "slow", Amount: 2},
		{Kind: "call", Agent: 2, Key: 2, Body: "b", Amount: 13, Wait: 47},
	}
	checked, differ := verdict(t, plan, plant{})
	if checked != "" || len(differ) > 0 {
		t.Fatalf("checker: %q, differences: %q", checked, differ)
	}
}

// TestCheckerSeesPlantedFaults shows that each promise's check can fail.
func TestCheckerSeesPlantedFaults(t *testing.T) {
	faults := []struct {
		plant plant
		want  string
	}{
		{plant{unconditional: true}, "ran twice"},
		{plant{runsRefused: true}, "refused and ran"},
		{plant{mixes: true}, "got the answer"},
	}
	for _, fault := range faults {
		t.Run(fault.want, func(t *testing.T) {
			for seed := range 40 {
				checked, _ := verdict(t, steps().Example(seed), fault.plant)
				if strings.Contains(checked, fault.want) {
					return
				}
			}
			t.Fatal("no history showed the planted fault")
		})
	}
}
