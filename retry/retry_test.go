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

// decider is what the checker drives: the policy, or one with a fault.
type decider func(Failure, *rand.Rand) Decision

// check tries every combination and returns the first broken rule.
func check(decide decider) string {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, out := range []attempt.Outcome{attempt.Unknown, attempt.NotRun, attempt.Done, attempt.Broken} {
		for _, rule := range []deployment.Repeat{deployment.RepeatAlways, deployment.RepeatUnlessRun, deployment.RepeatNever, ""} {
			for bits := range 4 {
				for n := 1; n <= 4; n++ {
					f := Failure{
						Attempt: n, Outcome: out, Repeat: rule, Final: bits&1 > 0, AnswerStarted: bits&2 > 0,
						Remaining: time.Duration(n) * 10 * time.Millisecond,
					}
					d := decide(f, rng)
					safe := out == attempt.NotRun || rule == deployment.RepeatAlways
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

// TestOnlyWithProof: no combination of outcome and rule leads to a second run
// that is not allowed; planted faults are seen.
func TestOnlyWithProof(t *testing.T) {
	assert.Equal(t, check(policy.Decide), "")
	faults := map[string]decider{
		"broken counts as not run": func(f Failure, r *rand.Rand) Decision {
			if f.Outcome == attempt.Broken {
				f.Outcome = attempt.NotRun
			}
			return policy.Decide(f, r)
		},
		"the deadline is not seen": func(f Failure, r *rand.Rand) Decision {
			d := policy.Decide(f, r)
			d.After = f.Remaining
			return d
		},
		"proof is not used": func(f Failure, r *rand.Rand) Decision {
			f.Outcome = attempt.Unknown
			return policy.Decide(f, r)
		},
	}
	for name, f := range faults {
		assert.Assert(t, check(f) != "", name)
	}
}

// outage fails every attempt of n requests at one node and counts attempts.
func outage(n, organisations int, take func(string) bool, first func(string)) int {
	rng := rand.New(rand.NewPCG(2, 2))
	attempts := 0
	for i := range n {
		org := strconv.Itoa(i % organisations)
		first(org)
		for number := 1; ; number++ {
			attempts++
			f := Failure{Attempt: number, Outcome: attempt.NotRun, Remaining: time.Minute}
			if d := policy.Decide(f, rng); !d.Retry || !take(org) {
				break
			}
		}
	}
	return attempts
}

// TestAmplification: when everything fails, attempts stay within 1.1 times the
// requests, from the worst moment on: all reserves full.
func TestAmplification(t *testing.T) {
	for _, organisations := range []int{1, 10, 380} {
		for _, n := range []int{250, 1000, 100000} {
			b := newBudget(t)
			got := outage(n, organisations, b.TryWithdraw, b.Deposit)
			assert.Assert(t, got*10 <= n*11, "%d organisations: %d attempts of %d requests", organisations, got, n)
			t.Logf("%d organisations, %d requests: %d attempts", organisations, n, got)
		}
	}
	// Planted fault: no budget.
	got := outage(1000, 10, func(string) bool { return true }, func(string) {})
	assert.Assert(t, got*10 > 1000*11)
}

// TestOneOrganisationCannotSpendAll: the retries of a failing organisation
// leave some for the others.
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
