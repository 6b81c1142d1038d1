package claim

import (
	"context"
	stderrors "errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
	objectstandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Parameters of the generated histories.
const (
	agents     = 3
	keys       = 4
	testMaxRun = time.Minute
)

// resolveUnknown resolves the claims of unknown outcome according to the runs
// that the endpoint recorded.
func (sim *simulation) resolveUnknown() {
	operator := NewAdmin(sim.table, testMaxRun)
	open, err := operator.List(context.Background())
	if err != nil {
		return
	}
	for _, o := range open {
		verdict := VerdictNotRun
		sim.mu.Lock()
		for _, r := range sim.executions {
			if r.key == o.Key {
				verdict = VerdictRan
			}
		}
		sim.mu.Unlock()
		err := operator.Resolve(context.Background(), o.Row, verdict)
		// A write whose response was lost may have freed the key too.
		freed := err == nil || stderrors.As(err, new(table.UnknownOutcomeError))
		if freed && verdict == VerdictNotRun {
			sim.reference.free(o.Key)
		}
	}
}

// provenNotRun reports whether an error proves that the call itself did not run.
// Every error of Begin does.
func provenNotRun(err error) bool { return err != nil && !stderrors.As(err, new(brokenError)) }

// check returns the violations of at-most-once execution. It uses only the
// responses to callers and the runs at the endpoint.
func check(runs []execution, responses []response) string {
	var violations []string
	byKey, byCall := map[string]int{}, map[string]bool{}
	answers := map[string]execution{}
	for _, r := range runs {
		byKey[r.key]++
		byCall[r.call] = true
		answers[answerOf(r.call, r.key, r.body)] = r
		if byKey[r.key] == 2 {
			violations = append(violations, "ran twice: "+r.key)
		}
	}
	for _, resp := range responses {
		if provenNotRun(resp.err) && byCall[resp.call] {
			violations = append(violations, "refused and ran: "+resp.call)
		}
		if resp.err != nil {
			continue
		}
		if r, ok := answers[resp.answer]; !ok || r.key != resp.key || r.body != resp.body {
			violations = append(violations, fmt.Sprintf("%s got the answer %q", resp.call, resp.answer))
		}
	}
	return strings.Join(violations, "; ")
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

// steps generates a history.
func steps() *rapid.Generator[[]step] {
	kinds := []string{
		"call", "call", "call", "call", "call", "call", "abandon", "break", "pause", "kill", "retire",
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

// run applies a history, removes all faults, makes the final calls and stops the
// agents.
func (sim *simulation) run(history []step) {
	for n, s := range history {
		sim.apply(strconv.Itoa(n), s)
		time.Sleep(time.Duration(s.Wait) * time.Duration(s.Wait) * time.Millisecond)
	}
	sim.heal()
	time.Sleep(5 * time.Minute)
	sim.finalCalls()
	sim.calls.Wait()
	for _, a := range sim.agents {
		a.cancel()
		<-a.done
	}
	time.Sleep(time.Hour)
}

func (sim *simulation) heal() {
	sim.store.SetFaults(tablestandin.Faults{})
	sim.objects.SetFaults(objectstandin.Faults{})
}

// apply applies one step.
func (sim *simulation) apply(id string, s step) {
	key := "k" + strconv.Itoa(s.Key)
	amount := time.Duration(s.Amount) * time.Second
	a := sim.agents[s.Agent]
	switch s.Kind {
	case "call":
		sim.calls.Go(func() { sim.call(a, id, key, s.Body, 0, amount/4, endAnswer) })
	case "abandon":
		sim.calls.Go(func() { sim.call(a, id, key, s.Body, 0, 0, endAbandon) })
	case "break":
		sim.calls.Go(func() { sim.call(a, id, key, s.Body, 0, amount/4, endBreak) })
	case "pause":
		sim.calls.Go(func() { sim.call(a, id, key, s.Body, amount*10, amount/4, endAnswer) })
	case "kill":
		sim.kill(s.Agent)
		sim.start(s.Agent)
	case "retire":
		// It may fail because of an injected fault.
		_ = NewAdmin(sim.table, testMaxRun).Retire(context.Background(), strconv.Itoa(s.Agent))
	case "lose":
		sim.store.DropNextAnswers(s.Amount % 4)
	case "late":
		sim.store.SetFaults(tablestandin.Faults{ApplyDelay: amount / 2})
	case "down":
		sim.store.SetFaults(tablestandin.Faults{Down: true})
	case "slow":
		sim.store.SetFaults(tablestandin.Faults{Delay: amount / 4})
	case "limit":
		sim.store.SetFaults(tablestandin.Faults{WritesPerSecond: 2, ReadsPerSecond: 2})
	case "objects":
		sim.objects.SetFaults(objectstandin.Faults{Down: true})
	case "heal":
		sim.heal()
	case "operate":
		sim.resolveUnknown()
	case "hour":
		time.Sleep(time.Hour)
	}
}

// finalCalls repeats each key after all faults are removed. It checks that no
// call is refused because of the store.
func (sim *simulation) finalCalls() {
	for i := range agents {
		if sim.agents[i].ledger.Stats().Fenced {
			sim.kill(i)
			sim.start(i)
			time.Sleep(5 * time.Second)
		}
		for k := range keys {
			key := "k" + strconv.Itoa(k)
			sim.call(sim.agents[i], fmt.Sprintf("final-%d-%d", i, k), key, "a", 0, 0, endAnswer)
		}
	}
	for _, resp := range sim.responses {
		down := stderrors.As(resp.err, new(StoreDownError)) || stderrors.As(resp.err, new(UnreadableError))
		if strings.HasPrefix(resp.call, "final") && down {
			sim.diffs = append(sim.diffs, resp.call+" was refused without a fault: "+resp.err.Error())
		}
	}
}

// checkHistory runs a history in fake time. It returns the violations found by
// check and the differences from the reference.
func checkHistory(t *testing.T, history []step, f fault) (checked string, diffs []string) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(f)
		sim.run(history)
		checked, diffs = check(sim.executions, sim.responses), sim.diffs
	})
	return checked, diffs
}

// TestRandomHistories checks generated histories for violations of at-most-once
// execution and compares them with the reference.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checked, diffs := checkHistory(t, steps().Draw(rt, "plan"), fault{})
		if checked != "" || len(diffs) > 0 {
			rt.Fatalf("checker: %q, differences: %q", checked, diffs)
		}
	})
}

// TestItemsOfSupersededWriteAreResent guards against a lost claim: a write of
// unknown outcome takes effect after a later write was sent, and the items that
// only the later write contains must be sent again.
func TestItemsOfSupersededWriteAreResent(t *testing.T) {
	history := []step{
		{Kind: "lose", Amount: 7, Wait: 12}, {Kind: "late", Amount: 18, Wait: 48},
		{Kind: "call", Agent: 0, Body: "b", Amount: 20, Wait: 57},
		{Kind: "pause", Agent: 1, Body: "a", Amount: 15, Wait: 47}, {Kind: "lose", Amount: 1, Wait: 14},
		{Kind: "late", Amount: 3, Wait: 3}, {Kind: "slow", Amount: 2},
		{Kind: "call", Agent: 2, Key: 2, Body: "b", Amount: 13, Wait: 47},
	}
	checked, diffs := checkHistory(t, history, fault{})
	if checked != "" || len(diffs) > 0 {
		t.Fatalf("checker: %q, differences: %q", checked, diffs)
	}
}

// TestInjectedFaults checks that each violation is detected.
func TestInjectedFaults(t *testing.T) {
	cases := []struct {
		fault fault
		want  string
	}{
		{fault{unconditional: true}, "ran twice"},
		{fault{runsRefused: true}, "refused and ran"},
		{fault{wrongAnswer: true}, "got the answer"},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			for seed := range 40 {
				checked, _ := checkHistory(t, steps().Example(seed), c.fault)
				if strings.Contains(checked, c.want) {
					return
				}
			}
			t.Fatal("no history detects the fault")
		})
	}
}
