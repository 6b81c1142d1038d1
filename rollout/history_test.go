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

	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Sizes and targets of the histories.
const (
	nodes         = 5
	targetInForce = 5 * time.Second
)

// outcome is what an operator was told of a proposal.
type outcome struct {
	id  string
	err error
}

// evidence is all that the checker reads.
type evidence struct {
	records  []inForce
	outcomes []outcome
	// accepted are the versions of the table at the end, which the naive
	// version puts in force directly.
	accepted map[uint64]Version
	// final is what each node has in force, targetInForce after all faults.
	final []Digest
}

// check returns what broke the promises.
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
			found = append(found, fmt.Sprintf("late: %s in force instead of %s", d, newest.Digest))
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
			found = append(found, fmt.Sprintf("untrue: %s was told %v", o.id, o.err))
		}
	}
	return strings.Join(append(found, backwards(e.records)...), "; ")
}

// backwards returns where a process, or a restarted node, went back.
func backwards(records []inForce) []string {
	var found []string
	process, safe := map[uint64]uint64{}, map[int]uint64{}
	for _, r := range records {
		if r.digest.Number <= process[r.incarnation] {
			found = append(found, fmt.Sprintf("back: process %d at %s", r.incarnation, r.at))
		}
		if r.digest.Number < safe[r.node] {
			found = append(found, fmt.Sprintf("back after restart: node %d at %s to %d from %d",
				r.node, r.at, r.digest.Number, safe[r.node]))
		}
		process[r.incarnation] = r.digest.Number
		if r.majority {
			safe[r.node] = max(safe[r.node], r.digest.Number)
		}
	}
	return found
}

// step is one step of a history.
type step struct {
	Kind   string
	Node   int
	Amount int
	Wait   int
}

// steps draws a history.
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

// history plays a plan.
type history struct {
	*world
	store    *tablestandin.Store
	registry *Registry
	snapshot map[string]table.Row
	calls    sync.WaitGroup
	outcomes []outcome
}

// play runs a plan in a deployment whose nodes read through seen.
func play(plan []step, seen func(*tablestandin.Store) Table, fault func(*node)) evidence {
	store := tablestandin.New()
	h := &history{world: newWorld(seen(store), nodes), store: store}
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
			h.hub.nodes[s.Node].stop()
			h.start(s.Node, fault)
		case "split":
			h.hub.split(s.Amount)
		case "join":
			h.hub.split(0)
		default:
			h.storeFault(s)
		}
		time.Sleep(time.Duration(s.Wait*s.Wait) * time.Millisecond)
	}
	return h.rest()
}

// storeFault does one step that concerns the table.
func (h *history) storeFault(s step) {
	amount := time.Duration(s.Amount) * time.Second
	switch s.Kind {
	case "lose":
		h.store.DropNextAnswers(s.Amount % 4)
	case "late":
		h.store.SetFaults(tablestandin.Faults{LateWrites: amount / 4})
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

// accept hands a configuration over, based on what the operator sees.
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

// rest ends all faults and collects the evidence.
func (h *history) rest() evidence {
	h.calls.Wait()
	// The last late write has to land, and the last outage's retries to end.
	time.Sleep(20 * time.Second)
	h.store.SetFaults(tablestandin.Faults{})
	h.store.DropNextAnswers(0)
	h.hub.split(0)
	time.Sleep(targetInForce)
	e := evidence{accepted: map[uint64]Version{}}
	for _, n := range h.hub.nodes {
		e.final = append(e.final, n.follower.Status().InForce)
		n.stop()
	}
	for key, row := range h.store.Snapshot() {
		// Rows of other kinds don't decode to a version of this number.
		if v, err := decode(row); err == nil && versionKey(v.Number) == key {
			e.accepted[v.Number] = v
		}
	}
	e.records, e.outcomes = h.records, h.outcomes
	time.Sleep(time.Minute)
	return e
}

// verdict plays a plan in virtual time.
func verdict(t *testing.T, plan []step, seen func(*tablestandin.Store) Table, fault func(*node)) (found string) {
	synctest.Test(t, func(*testing.T) { found = check(play(plan, seen, fault)) })
	return found
}

func direct(s *tablestandin.Store) Table { return s }

func TestHistoriesAgainstTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if found := verdict(t, steps().Draw(rt, "plan"), direct, nil); found != "" {
			rt.Fatal(found)
		}
	})
}

// unchecked is a table whose transactions don't check, so that lagging reads are
// taken for new.
type unchecked struct{ *tablestandin.Store }

func (u unchecked) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if ops[0].Kind == table.KindCheck {
		return []string{""}, nil
	}
	return u.Store.Write(ctx, ops)
}

// forgetful is a table that says that a write took effect which did not.
type forgetful struct{ *tablestandin.Store }

func (f forgetful) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if len(ops) == 2 && len(ops[0].Value)%2 == 0 {
		return []string{"", ""}, nil
	}
	return f.Store.Write(ctx, ops)
}

// laggingStart restarts a node that hears nobody while the table's reads lag.
var laggingStart = []step{
	{Kind: "accept", Wait: 70}, {Kind: "snap"}, {Kind: "accept", Wait: 70},
	{Kind: "stale"}, {Kind: "split", Amount: 1}, {Kind: "restart", Node: 0, Wait: 70},
}

// TestCheckerSeesPlantedFaults shows that each check can fail.
func TestCheckerSeesPlantedFaults(t *testing.T) {
	faults := []struct {
		want  string
		seen  func(*tablestandin.Store) Table
		fault func(*node)
	}{
		{"back after restart", func(s *tablestandin.Store) Table { return unchecked{s} }, nil},
		{"untrue", func(s *tablestandin.Store) Table { return forgetful{s} }, nil},
		{"back: process", direct, func(n *node) {
			record := n.installs
			n.installs = func(n *node, d Digest) { record(n, d); record(n, d) }
		}},
		{"not accepted", direct, func(n *node) {
			record := n.installs
			n.installs = func(n *node, d Digest) { record(n, Digest{Number: d.Number, Hash: "forged"}) }
		}},
		{"late", direct, func(n *node) {
			n.unusable = func([]byte) error { return lostError{} }
		}},
	}
	for _, f := range faults {
		t.Run(f.want, func(t *testing.T) {
			for seed := range 30 {
				plan := slices.Concat(laggingStart, steps().Example(seed))
				if strings.Contains(verdict(t, plan, f.seen, f.fault), f.want) {
					return
				}
			}
			t.Fatal("no history showed the planted fault")
		})
	}
}
