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

// operate resolves all claims of unknown outcome by what the endpoint saw.
func (w *world) operate() {
	operator := NewAdmin(w.table, testMaxRun)
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
func provenNotRun(err error) bool { return err != nil && !stderrors.As(err, new(brokenError)) }

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
		w.calls.Go(func() { w.call(a, id, key, s.Body, 0, amount/4, endAnswer) })
	case "abandon":
		w.calls.Go(func() { w.call(a, id, key, s.Body, 0, 0, endAbandon) })
	case "break":
		w.calls.Go(func() { w.call(a, id, key, s.Body, 0, amount/4, endBreak) })
	case "pause":
		w.calls.Go(func() { w.call(a, id, key, s.Body, amount*10, amount/4, endAnswer) })
	case "kill":
		w.kill(s.Agent)
		w.start(s.Agent)
	case "retire":
		// A failure is one of the faults.
		_ = NewAdmin(w.table, testMaxRun).Retire(context.Background(), strconv.Itoa(s.Agent))
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
			w.call(w.agents[i], fmt.Sprintf("final-%d-%d", i, k), key, "a", 0, 0, endAnswer)
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
