package rollout

import (
	"context"
	stderrors "errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Size and target of the random histories.
const (
	nodes         = 5
	targetInForce = 5 * time.Second
)

// outcome is the result of a call of Accept.
type outcome struct {
	id  string
	err error
}

// evidence is the input of the checker.
type evidence struct {
	records  []inForce
	outcomes []outcome
	// accepted holds the versions in the table at the end. They are the reference
	// for the versions in force.
	accepted map[uint64]Version
	// final is the version that each node has in force targetInForce after the end
	// of all faults.
	final []Digest
}

// check returns the violated guarantees.
func check(e evidence) string {
	var found []string
	newest := Version{}
	ids := map[string]bool{}
	for _, v := range e.accepted {
		ids[v.ID] = true
		if v.Number > newest.Number {
			newest = v
		}
	}
	for _, d := range e.final {
		if d != newest.Digest {
			found = append(found, fmt.Sprintf("not in force in time: %s instead of %s", d, newest.Digest))
		}
	}
	for _, r := range e.records {
		if e.accepted[r.digest.Number].Digest != r.digest {
			found = append(found, "not accepted: "+r.digest.String())
		}
	}
	for _, o := range e.outcomes {
		unknown := stderrors.As(o.err, new(UnknownOutcomeError))
		if !unknown && (o.err == nil) != ids[o.id] {
			found = append(found, fmt.Sprintf("wrong outcome: proposal %s returned %v", o.id, o.err))
		}
	}
	return strings.Join(append(found, regressions(e.records)...), "; ")
}

// regressions returns the cases in which a process, or a restarted node, put an
// older version in force.
func regressions(records []inForce) []string {
	var found []string
	process, safe := map[uint64]uint64{}, map[int]uint64{}
	for _, r := range records {
		if r.digest.Number <= process[r.incarnation] {
			found = append(found, fmt.Sprintf("older version: process %d after %s", r.incarnation, r.at))
		}
		if r.digest.Number < safe[r.node] {
			found = append(found, fmt.Sprintf("older version after restart: node %d after %s to version %d from %d",
				r.node, r.at, r.digest.Number, safe[r.node]))
		}
		process[r.incarnation] = r.digest.Number
		if r.majority {
			safe[r.node] = max(safe[r.node], r.digest.Number)
		}
	}
	return found
}

// step is one step of a random history. The meaning of Amount depends on Kind. The
// step is followed by a pause of Wait squared, in milliseconds, so that many pauses
// are short and some take seconds.
type step struct {
	Kind   string
	Node   int
	Amount int
	Wait   int
}

// steps generates a random history.
func steps() *rapid.Generator[[]step] {
	kinds := []string{
		"accept", "accept", "accept", "race", "restart", "restart", "split", "join",
		"lose", "late", "down", "slow", "snap", "stale", "heal", "heal",
	}
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Node:   rapid.IntRange(0, nodes-1).Draw(t, "node"),
			Amount: rapid.IntRange(0, 31).Draw(t, "amount"),
			Wait:   rapid.IntRange(0, 80).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(one, 5, 50)
}

// history is the state of a running history.
type history struct {
	*deployment
	store    *tablestandin.Store
	registry *Registry
	snapshot map[string]table.Row
	calls    sync.WaitGroup
	outcomes []outcome
}

// play runs a plan in a deployment whose nodes access the table through wrap.
func play(plan []step, wrap func(*tablestandin.Store) Table, fault func(*node)) evidence {
	store := tablestandin.New()
	h := &history{deployment: newDeployment(wrap(store), nodes), store: store}
	h.registry = NewRegistry(h.table, h.objects)
	for i := range nodes {
		h.start(i, fault)
	}
	for k, s := range plan {
		switch s.Kind {
		case "accept":
			h.accept(strconv.Itoa(k))
		case "race":
			h.accept(strconv.Itoa(k) + "a")
			h.accept(strconv.Itoa(k) + "b")
		case "restart":
			h.network.nodes[s.Node].stop()
			h.start(s.Node, fault)
		case "split":
			h.network.split(s.Amount)
		case "join":
			h.network.split(0)
		default:
			h.storeFault(s)
		}
		time.Sleep(time.Duration(s.Wait*s.Wait) * time.Millisecond)
	}
	return h.finish()
}

// storeFault executes a step that concerns the table.
func (h *history) storeFault(s step) {
	amount := time.Duration(s.Amount) * time.Second
	switch s.Kind {
	case "lose":
		h.store.DropNextAnswers(s.Amount % 4)
	case "late":
		h.store.SetFaults(tablestandin.Faults{ApplyDelay: amount / 4})
	case "down":
		h.store.SetFaults(tablestandin.Faults{Down: true})
	case "slow":
		h.store.SetFaults(tablestandin.Faults{Delay: amount / 16})
	case "snap":
		h.snapshot = h.store.Snapshot()
	case "stale":
		h.store.SetFaults(tablestandin.Faults{StaleRows: h.snapshot})
	case "heal":
		h.store.SetFaults(tablestandin.Faults{})
	}
}

// accept submits a configuration that is based on the current version.
func (h *history) accept(id string) {
	h.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		current, err := h.registry.Current(ctx)
		if err != nil && !stderrors.As(err, new(NoAcceptedVersionError)) {
			return
		}
		p := Proposal{BasedOn: current.Number, Body: []byte("body " + id), Who: id, ID: id}
		_, err = h.registry.Accept(ctx, p)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.outcomes = append(h.outcomes, outcome{id, err})
	})
}

// finish ends all faults and collects the evidence.
func (h *history) finish() evidence {
	h.calls.Wait()
	// Wait until the last late write has taken effect and the retries of the last
	// outage have ended.
	time.Sleep(20 * time.Second)
	h.store.SetFaults(tablestandin.Faults{})
	h.store.DropNextAnswers(0)
	h.network.split(0)
	time.Sleep(targetInForce)
	e := evidence{accepted: map[uint64]Version{}}
	for _, n := range h.network.nodes {
		e.final = append(e.final, n.follower.Status().InForce)
		n.stop()
	}
	for key, row := range h.store.Snapshot() {
		// Rows of other kinds don't decode to a version with this number.
		if v, err := decode(row); err == nil && versionKey(v.Number) == key {
			e.accepted[v.Number] = v
		}
	}
	e.records, e.outcomes = h.records, h.outcomes
	time.Sleep(time.Minute)
	return e
}

// playAndCheck plays a plan in virtual time and returns the violated guarantees.
func playAndCheck(t *testing.T, plan []step, wrap func(*tablestandin.Store) Table, fault func(*node)) (found string) {
	synctest.Test(t, func(*testing.T) { found = check(play(plan, wrap, fault)) })
	return found
}

func direct(s *tablestandin.Store) Table { return s }

func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if found := playAndCheck(t, steps().Draw(rt, "plan"), direct, nil); found != "" {
			rt.Fatal(found)
		}
	})
}

// uncheckedTable is a table whose check operations always succeed, so that stale
// reads pass as current.
type uncheckedTable struct{ *tablestandin.Store }

func (u uncheckedTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if ops[0].Kind == table.KindCheck {
		return []string{""}, nil
	}
	return u.Store.Write(ctx, ops)
}

// lossyTable is a table that reports success for some writes without storing them.
type lossyTable struct{ *tablestandin.Store }

func (f lossyTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if len(ops) == 2 && len(ops[0].Value)%2 == 0 {
		return []string{"", ""}, nil
	}
	return f.Store.Write(ctx, ops)
}

// staleStart restarts an isolated node while reads of the table are stale.
var staleStart = []step{
	{Kind: "accept", Wait: 70}, {Kind: "snap"}, {Kind: "accept", Wait: 70},
	{Kind: "stale"}, {Kind: "split", Amount: 1}, {Kind: "restart", Node: 0, Wait: 70},
}

// TestInjectedFaults verifies that check detects each kind of violation.
func TestInjectedFaults(t *testing.T) {
	faults := []struct {
		want  string
		wrap  func(*tablestandin.Store) Table
		fault func(*node)
	}{
		{"older version after restart", func(s *tablestandin.Store) Table { return uncheckedTable{s} }, nil},
		{"wrong outcome", func(s *tablestandin.Store) Table { return lossyTable{s} }, nil},
		{"older version: process", direct, func(n *node) {
			record := n.installs
			n.installs = func(n *node, d Digest) { record(n, d); record(n, d) }
		}},
		{"not accepted", direct, func(n *node) {
			record := n.installs
			n.installs = func(n *node, d Digest) { record(n, Digest{Number: d.Number, Hash: "forged"}) }
		}},
		{"not in force in time", direct, func(n *node) {
			n.unusable = func([]byte) error { return lostError{} }
		}},
	}
	for _, f := range faults {
		t.Run(f.want, func(t *testing.T) {
			for seed := range 30 {
				plan := slices.Concat(staleStart, steps().Example(seed))
				if strings.Contains(playAndCheck(t, plan, f.wrap, f.fault), f.want) {
					return
				}
			}
			t.Fatal("no history detected the injected fault")
		})
	}
}
