package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	objectstandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
)

// testEnv is a table, an object store and ledgers that use them.
type testEnv struct {
	t       *testing.T
	store   *tablestandin.Store
	objects *objectstandin.Store
	nonce   int
}

// open starts a ledger. The returned function stops it.
func (s *testEnv) open(runner string, change func(*Settings)) (l *Ledger, stop func()) {
	s.nonce++
	settings := Settings{Runner: runner, Nonce: strconv.Itoa(s.nonce)}
	if change != nil {
		change(&settings)
	}
	l = New(settings, s.store, s.objects, rand.New(rand.NewPCG(1, 1)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	return l, func() { cancel(); <-done }
}

// withFakeTime runs a test in fake time.
func withFakeTime(t *testing.T, f func(s *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		f(&testEnv{t: t, store: tablestandin.New(), objects: objectstandin.New()})
	})
}

func testClaim(key, body string) Claim {
	return Claim{Organisation: "o", Route: "r", Key: key, Fingerprint: body, KeepAnswer: 100 * time.Minute}
}

// callProtected makes a protected call that runs for length and is answered with
// body.
func callProtected(l *Ledger, key string, length time.Duration, body []byte) (Decision, error) {
	d, err := l.Begin(context.Background(), testClaim(key, "b"))
	if err != nil || d.Run == nil {
		return d, err
	}
	time.Sleep(length)
	return d, l.Finish(*d.Run, Answer{Status: 200, Body: body})
}

// Required load: protected requests per second, and the limit of writes to the
// table per second.
const (
	targetRequests = 500
	targetWrites   = 100
)

// TestGroupCommitStaysWithinWriteBudget checks that three ledgers with the required
// load stay within the limit of writes: each write must contain many claims.
func TestGroupCommitStaysWithinWriteBudget(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		var ledgers [3]*Ledger
		for i := range ledgers {
			l, stop := s.open(strconv.Itoa(i), nil)
			defer stop()
			ledgers[i] = l
		}
		time.Sleep(time.Second)
		before := s.store.Counts()
		var calls sync.WaitGroup
		const seconds = 20
		for n := range seconds * targetRequests {
			calls.Go(func() {
				d, err := callProtected(ledgers[n%3], strconv.Itoa(n), 20*time.Millisecond, nil)
				assert.Check(t, err == nil && d.Run != nil, "call %d: %v", n, err)
			})
			time.Sleep(time.Second / targetRequests)
		}
		writes := s.store.Counts().Writes - before.Writes
		calls.Wait()
		assert.Assert(t, writes <= seconds*targetWrites, "%d writes in %d s", writes, seconds)
	})
}

// TestTableDownForAnHour checks that during an outage of the table new requests are
// refused without waiting, that an answer which could not be written is replayed from
// memory, and that it is written after the outage.
func TestTableDownForAnHour(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		l, stop := s.open("a", nil)
		defer stop()
		d, err := l.Begin(context.Background(), testClaim("before", "b"))
		assert.NilError(t, err)
		s.store.SetFaults(tablestandin.Faults{Down: true})
		assert.NilError(t, l.Finish(*d.Run, Answer{Status: 201}), "the answer is kept in memory and sent to its caller")
		again, err := l.Begin(context.Background(), testClaim("before", "b"))
		assert.NilError(t, err)
		assert.Equal(t, again.Replay.Status, 201, "a repeated call gets the held answer")
		begun := time.Now()
		for minute := range 60 {
			_, err = l.Begin(context.Background(), testClaim(strconv.Itoa(minute), "b"))
			assert.ErrorType(t, err, StoreDownError{})
			time.Sleep(time.Minute)
		}
		assert.Assert(t, time.Since(begun) < time.Hour+2*DefaultBeginTimeout, "later refusals do not wait")
		s.store.SetFaults(tablestandin.Faults{})
		time.Sleep(2 * time.Second)
		d, err = l.Begin(context.Background(), testClaim("0", "b"))
		assert.NilError(t, err)
		assert.Assert(t, d.Run != nil, "a refused key can run now")
		assert.NilError(t, l.Abandon(*d.Run, "test"))
		other, stopOther := s.open("b", nil)
		defer stopOther()
		again, err = other.Begin(context.Background(), testClaim("before", "b"))
		assert.NilError(t, err)
		assert.Equal(t, again.Replay.Status, 201, "the held answer is durable")
	})
}

// TestConflictDoesNotFailRestOfBatch guards against refused claims: a key that another
// runner has claimed makes the whole write fail, and the other claims in the batch
// must be sent again.
func TestConflictDoesNotFailRestOfBatch(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		a, stopA := s.open("a", nil)
		defer stopA()
		b, stopB := s.open("b", nil)
		defer stopB()
		_, err := callProtected(a, "taken", 0, []byte("first"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		var calls sync.WaitGroup
		for n := range 20 {
			calls.Go(func() {
				d, err := callProtected(b, strconv.Itoa(n), 0, nil)
				assert.Check(t, err == nil && d.Run != nil, "call %d: %v", n, err)
			})
		}
		calls.Go(func() {
			d, err := callProtected(b, "taken", 0, nil)
			assert.Check(t, err == nil && string(d.Replay.Body) == "first", "%v", err)
		})
		calls.Wait()
	})
}

// TestSameKeyInFlight checks that a repeated call waits for the answer in the same
// process, and is refused in another process, with another body, or if too many calls
// wait.
func TestSameKeyInFlight(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		a, stopA := s.open("a", func(s *Settings) { s.MaxWaiters = 2 })
		defer stopA()
		b, stopB := s.open("b", nil)
		defer stopB()
		d, err := a.Begin(context.Background(), testClaim("k", "b"))
		assert.NilError(t, err)
		_, err = a.Begin(context.Background(), testClaim("k", "other"))
		assert.DeepEqual(t, err, KeyConflictError{Key: "k"})
		_, err = b.Begin(context.Background(), testClaim("k", "other"))
		assert.DeepEqual(t, err, KeyConflictError{Key: "k"})
		_, err = b.Begin(context.Background(), testClaim("k", "b"))
		assert.ErrorType(t, err, InFlightError{})
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() {
				d, err := a.Begin(context.Background(), testClaim("k", "b"))
				assert.Check(t, err == nil && d.Replay.Status == 204, "%v", err)
			})
		}
		synctest.Wait()
		_, err = a.Begin(context.Background(), testClaim("k", "b"))
		assert.ErrorType(t, err, InFlightError{}, "the number of waiting calls is limited")
		assert.NilError(t, a.Finish(*d.Run, Answer{Status: 204}))
		calls.Wait()
		assert.ErrorType(t, a.Finish(*d.Run, Answer{}), StaleTokenError{}, "a run ends once")
	})
}

// TestOrphanedClaimsAreListedAndResolved stops a process without a drain. An operator
// must be able to list and resolve its open claims, but not before MaxRun plus
// StartTimeout, because the runs may continue at the endpoint.
func TestOrphanedClaimsAreListedAndResolved(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		dead, stopDead := s.open("a", func(s *Settings) { s.DrainTimeout = 1 })
		for _, key := range []string{"ran", "not"} {
			_, err := dead.Begin(context.Background(), testClaim(key, "b"))
			assert.NilError(t, err)
		}
		stopDead()
		a, stop := s.open("a", nil)
		defer stop()
		time.Sleep(time.Second)
		_, err := a.Begin(context.Background(), testClaim("ran", "b"))
		assert.ErrorType(t, err, UnknownOutcomeError{})
		operator := NewAdmin(s.store, 0)
		open, err := operator.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(open), 2)
		assert.ErrorType(t, operator.Resolve(context.Background(), open[0].Row, VerdictRan), TooEarlyError{})
		time.Sleep(DefaultMaxRun + DefaultStartTimeout)
		for _, o := range open {
			assert.Equal(t, o.State, StateUnknown)
			verdict := VerdictRan
			if o.Key == "not" {
				verdict = VerdictNotRun
			}
			assert.NilError(t, operator.Resolve(context.Background(), o.Row, verdict))
		}
		_, err = a.Begin(context.Background(), testClaim("ran", "b"))
		assert.DeepEqual(t, err, AnswerGoneError{Key: "ran", Loss: LossResolved})
		d, err := a.Begin(context.Background(), testClaim("not", "b"))
		assert.NilError(t, err)
		assert.Assert(t, d.Run != nil)
		open, err = operator.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(open), 1)
		assert.Equal(t, open[0].State, StateRunning)
		err = operator.Resolve(context.Background(), open[0].Row, VerdictNotRun)
		assert.ErrorType(t, err, NotUnknownError{})
	})
}

// TestUnknownOutcomeIsReportedByAllLedgers checks that after MarkUnknown the key does
// not run at any ledger until an operator resolves it, and that the claim no longer
// counts towards MaxOpen.
func TestUnknownOutcomeIsReportedByAllLedgers(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		a, stopA := s.open("a", func(s *Settings) { s.MaxOpen = 1 })
		defer stopA()
		b, stopB := s.open("b", nil)
		defer stopB()
		d, err := a.Begin(context.Background(), testClaim("k", "b"))
		assert.NilError(t, err)
		var calls sync.WaitGroup
		calls.Go(func() {
			_, err := a.Begin(context.Background(), testClaim("k", "b"))
			assert.Check(t, errors.As(err, new(UnknownOutcomeError)), "a waiting call: %v", err)
		})
		synctest.Wait()
		assert.NilError(t, a.MarkUnknown(*d.Run, "test"))
		calls.Wait()
		time.Sleep(time.Second)
		for _, l := range []*Ledger{a, b} {
			_, err = l.Begin(context.Background(), testClaim("k", "b"))
			assert.ErrorType(t, err, UnknownOutcomeError{})
		}
		d, err = a.Begin(context.Background(), testClaim("other", "b"))
		assert.NilError(t, err, "an unknown outcome does not count as open")
		assert.NilError(t, a.Finish(*d.Run, Answer{}))
		time.Sleep(time.Second)
		open, err := NewAdmin(s.store, 0).List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(open), 1)
		assert.Equal(t, open[0].State, StateUnknown)
		time.Sleep(DefaultMaxRun + DefaultStartTimeout)
		assert.NilError(t, NewAdmin(s.store, 0).Resolve(context.Background(), open[0].Row, VerdictNotRun))
		d, err = b.Begin(context.Background(), testClaim("k", "b"))
		assert.NilError(t, err)
		assert.Assert(t, d.Run != nil)
	})
}

// TestUnchangedClaimBecomesUnknown checks that a claim of a runner that has no newer
// incarnation is not reported as in flight forever.
func TestUnchangedClaimBecomesUnknown(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		dead, stopDead := s.open("a", nil)
		_, err := dead.Begin(context.Background(), testClaim("k", "b"))
		assert.NilError(t, err)
		stopDead()
		b, stop := s.open("b", nil)
		defer stop()
		_, err = b.Begin(context.Background(), testClaim("k", "b"))
		assert.ErrorType(t, err, InFlightError{})
		time.Sleep(DefaultMaxRun + time.Second)
		_, err = b.Begin(context.Background(), testClaim("k", "b"))
		assert.ErrorType(t, err, UnknownOutcomeError{})
	})
}

// TestLargeAnswersAreStoredExpireAndAreSwept checks that a large answer is replayed from
// the object store until KeepAnswer, although a response of the store was lost, and
// that its row and its object are removed after KeepClaim.
func TestLargeAnswersAreStoredExpireAndAreSwept(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		a, stopA := s.open("a", func(s *Settings) { s.KeepClaim = 48 * time.Hour })
		defer stopA()
		body := bytes.Repeat([]byte("x"), DefaultInlineBytes+1)
		s.objects.DropNextAnswers(1)
		_, err := callProtected(a, "big", 0, body)
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		_, err = callProtected(a, "next", 0, nil)
		assert.NilError(t, err)
		b, stopB := s.open("b", nil)
		defer stopB()
		d, err := b.Begin(context.Background(), testClaim("big", "b"))
		assert.NilError(t, err)
		assert.Equal(t, len(d.Replay.Body), len(body))
		time.Sleep(2 * time.Hour)
		_, err = b.Begin(context.Background(), testClaim("big", "b"))
		assert.DeepEqual(t, err, AnswerGoneError{Key: "big", Loss: LossExpired})
		sweeper := NewSweeper(s.store, s.objects)
		more, err := sweeper.SweepOnce(context.Background())
		assert.Assert(t, err == nil && !more, "no claim is removed early")
		time.Sleep(50 * time.Hour)
		more, err = sweeper.SweepOnce(context.Background())
		assert.Assert(t, err == nil && more)
		_, err = s.store.Get(context.Background(), rowKey(testClaim("big", "b")))
		assert.ErrorContains(t, err, "does not exist")
		_, err = s.objects.Get(context.Background(), "claim/a/1-1")
		assert.ErrorContains(t, err, "does not exist")
	})
}

// TestMemoryIsBounded checks the limits on open claims and on bodies that wait to be
// written.
func TestMemoryIsBounded(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		l, stop := s.open("a", func(s *Settings) { s.MaxOpen, s.MaxHeldBytes = 4, 100 })
		defer stop()
		var runs []Token
		for n := range 4 {
			d, err := l.Begin(context.Background(), testClaim(strconv.Itoa(n), "b"))
			assert.NilError(t, err)
			runs = append(runs, *d.Run)
		}
		_, err := l.Begin(context.Background(), testClaim("more", "b"))
		assert.DeepEqual(t, err, OpenLimitError{Open: 4})
		s.store.SetFaults(tablestandin.Faults{Down: true})
		for _, run := range runs {
			assert.NilError(t, l.Finish(run, Answer{Body: make([]byte, 40)}))
		}
		stats := l.Stats()
		assert.Equal(t, stats.HeldBytes, 80)
		assert.Equal(t, stats.Dropped, int64(2))
		s.store.SetFaults(tablestandin.Faults{})
		time.Sleep(2 * time.Second)
		assert.Equal(t, l.Stats().HeldBytes, 0)
		_, err = l.Begin(context.Background(), testClaim("3", "b"))
		assert.DeepEqual(t, err, AnswerGoneError{Key: "3", Loss: LossTooLarge})
	})
}

// TestRunWritesHeldAnswersOnStop guards against answers lost in a regular shutdown.
func TestRunWritesHeldAnswersOnStop(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		l, stop := s.open("a", nil)
		for n := range 5 {
			_, err := callProtected(l, fmt.Sprint(n), 0, nil)
			assert.NilError(t, err)
		}
		stop()
		_, err := l.Begin(context.Background(), testClaim("late", "b"))
		assert.ErrorType(t, err, ClosedError{})
		open, err := NewAdmin(s.store, 0).List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(open), 0)
	})
}
