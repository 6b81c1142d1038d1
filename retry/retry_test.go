package retry

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

var policy = Policy{MaxAttempts: DefaultMaxAttempts, BaseBackoff: DefaultBaseBackoff, MaxBackoff: DefaultMaxBackoff}

func newBudget(t testing.TB) *Budget {
	b, err := NewBudget(BudgetConfig{
		Ratio: DefaultRatio, NodeReserve: DefaultNodeReserve,
		OrganisationReserve: DefaultOrganisationReserve, Organisations: DefaultOrganisations,
	})
	assert.NilError(t, err)
	return b
}

// decideFunc is the tested function: Policy.Decide, or a variant with a fault.
type decideFunc func(Failure, *rand.Rand) Decision

// findViolation tries every combination of inputs and returns the first
// violation of the retry rules.
func findViolation(decide decideFunc) string {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, out := range []attempt.Outcome{attempt.Unknown, attempt.NotRun, attempt.Done, attempt.Broken} {
		for _, repeat := range []deployment.Repeat{deployment.RepeatAlways, deployment.RepeatUnlessRun, deployment.RepeatNever, ""} {
			for mask := range 4 {
				for n := 1; n <= 4; n++ {
					f := Failure{
						Attempt: n, Outcome: out, Repeat: repeat, Final: mask&1 > 0, AnswerStarted: mask&2 > 0,
						Remaining: time.Duration(n) * 10 * time.Millisecond,
					}
					d := decide(f, rng)
					safe := out == attempt.NotRun || repeat == deployment.RepeatAlways
					switch {
					case d.Retry && !safe:
						return fmt.Sprintf("second run of %+v", f)
					case d.Retry && (out == attempt.Done || f.Final || f.AnswerStarted || n >= DefaultMaxAttempts):
						return fmt.Sprintf("useless retry of %+v", f)
					case d.Retry && d.After >= f.Remaining:
						return fmt.Sprintf("late retry of %+v", f)
					case !d.Retry && d.Reason == ReasonMayHaveRun && safe:
						return fmt.Sprintf("needless refusal of %+v", f)
					}
				}
			}
		}
	}
	return ""
}

// TestRetriesOnlyWhenSafe checks that no combination of outcome and repeat rule
// leads to a second run that is not allowed, and that injected faults are
// detected.
func TestRetriesOnlyWhenSafe(t *testing.T) {
	assert.Equal(t, findViolation(policy.Decide), "")
	faults := map[string]decideFunc{
		"broken counts as not run": func(f Failure, r *rand.Rand) Decision {
			if f.Outcome == attempt.Broken {
				f.Outcome = attempt.NotRun
			}
			return policy.Decide(f, r)
		},
		"the deadline is ignored": func(f Failure, r *rand.Rand) Decision {
			d := policy.Decide(f, r)
			d.After = f.Remaining
			return d
		},
		"the proof that it did not run is ignored": func(f Failure, r *rand.Rand) Decision {
			f.Outcome = attempt.Unknown
			return policy.Decide(f, r)
		},
	}
	for name, f := range faults {
		assert.Assert(t, findViolation(f) != "", name)
	}
}

// simulateOutage fails every attempt of n requests at one node and returns the
// number of attempts.
func simulateOutage(n, organisations int, withdraw func(string) bool, deposit func(string)) int {
	rng := rand.New(rand.NewPCG(2, 2))
	attempts := 0
	for i := range n {
		org := strconv.Itoa(i % organisations)
		deposit(org)
		for number := 1; ; number++ {
			attempts++
			f := Failure{Attempt: number, Outcome: attempt.NotRun, Remaining: time.Minute}
			if d := policy.Decide(f, rng); !d.Retry || !withdraw(org) {
				break
			}
		}
	}
	return attempts
}

// TestAmplification checks that when every attempt fails, there are at most 1.1
// times as many attempts as requests, in the worst case of full reserves.
func TestAmplification(t *testing.T) {
	for _, organisations := range []int{1, 10, 380} {
		for _, n := range []int{250, 1000, 100000} {
			b := newBudget(t)
			got := simulateOutage(n, organisations, b.TryWithdraw, b.Deposit)
			assert.Assert(t, got*10 <= n*11, "%d organisations: %d attempts of %d requests", organisations, got, n)
			t.Logf("%d organisations, %d requests: %d attempts", organisations, n, got)
		}
	}
	// Injected fault: no budget.
	got := simulateOutage(1000, 10, func(string) bool { return true }, func(string) {})
	assert.Assert(t, got*10 > 1000*11)
}

// TestOneOrganisationCannotSpendAll checks that a failing organisation does not
// use up the retries of the others.
func TestOneOrganisationCannotSpendAll(t *testing.T) {
	b := newBudget(t)
	for b.TryWithdraw("failing") {
	}
	assert.Assert(t, b.TryWithdraw("other"))
	for range 1000 {
		b.Deposit("failing")
		b.Deposit("other")
		b.TryWithdraw("failing")
	}
	assert.Assert(t, b.TryWithdraw("other"))
}
