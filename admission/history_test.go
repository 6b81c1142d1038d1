package admission

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

// event is a request, or a change of the endpoint's state for the other kinds.
type event struct {
	kind                      eventKind
	after, run, callerTimeout time.Duration
	remaining                 time.Duration
	org                       string
	priority                  int32
}

type eventKind int

const (
	eventRequest eventKind = iota
	eventDown
	eventUp
	eventDrain
)

func millis(t *rapid.T, name string, maxMillis int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMillis).Draw(t, name)) * time.Millisecond
}

var histories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
	e := event{
		after: millis(t, "after", 40), run: millis(t, "run", 300), callerTimeout: millis(t, "caller timeout", 2000),
		remaining: millis(t, "remaining", 3000),
		org:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
		priority:  int32(rapid.IntRange(0, 2).Draw(t, "priority")),
	}
	switch rapid.IntRange(0, 60).Draw(t, "kind") {
	case 0:
		e.kind = eventDown
	case 1, 2:
		e.kind = eventUp
	case 3:
		e.kind = eventDrain
	}
	return e
}), 1, 60)

const testGrace = 100 * time.Millisecond

// observer records what the callers and the endpoint observe, and the invariants
// that were violated.
type observer struct {
	mu         sync.Mutex
	slots      int
	running    int
	ended      int
	down       bool
	drainAt    time.Time
	violations []string
}

func (o *observer) fail(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *observer) started() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running++
	if o.running > o.slots {
		o.fail("slots: %d requests running", o.running)
	}
	if !o.drainAt.IsZero() && time.Since(o.drainAt) > testGrace {
		o.fail("drain: request started after the grace period")
	}
}

func (o *observer) finished() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running--
}

func (o *observer) request(q *Queue, e event) {
	ctx, cancel := context.WithTimeout(context.Background(), e.callerTimeout)
	defer cancel()
	release, err := q.Admit(ctx, Request{Organisation: e.org, Priority: e.priority, Remaining: e.remaining})
	if err == nil {
		o.started()
		time.Sleep(e.run)
		o.finished()
		release()
		release()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended++
}

// runHistory runs the events in fake time and checks the invariants whenever all
// goroutines are blocked.
func runHistory(t *testing.T, history []event, slots int, injectFault func(*Queue)) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		q, err := New(Config{Slots: slots, MaxQueued: 20, TimePerCost: 100 * time.Millisecond, DrainGrace: testGrace})
		assert.NilError(t, err)
		o := &observer{slots: slots}
		requests := 0
		for _, e := range history {
			time.Sleep(e.after)
			switch e.kind {
			case eventDown, eventUp:
				o.down = e.kind == eventDown
				q.SetDown(o.down)
			case eventDrain:
				o.mu.Lock()
				if o.drainAt.IsZero() {
					o.drainAt = time.Now()
					go o.drain(q)
				}
				o.mu.Unlock()
			default:
				requests++
				go o.request(q, e)
			}
			q.mu.Lock()
			injectFault(q)
			q.mu.Unlock()
			synctest.Wait()
			o.check(q)
		}
		time.Sleep(time.Hour)
		o.mu.Lock()
		defer o.mu.Unlock()
		if l := q.Load(); l.Queued != 0 || l.Running != 0 || len(q.sched.flows) != 0 {
			o.fail("leak: %+v, %d flows", l, len(q.sched.flows))
		}
		if o.ended != requests {
			o.fail("answers: %d of %d requests ended", o.ended, requests)
		}
		violations = o.violations
		q.SetDown(true)
	})
	return violations
}

func (o *observer) drain(q *Queue) {
	if err := q.Drain(context.Background()); err != nil {
		o.fail("drain: %v", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running > 0 {
		o.fail("drain: returned with %d requests running", o.running)
	}
}

func (o *observer) check(q *Queue) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := q.Load()
	if l.Running != o.running {
		o.fail("count: %d requests running, load reports %d", o.running, l.Running)
	}
	if l.Queued > 0 && l.Running < o.slots {
		o.fail("work conserving: %d requests queued, %d running", l.Queued, l.Running)
	}
	if l.Queued > 0 && o.down {
		o.fail("down: %d requests queued", l.Queued)
	}
}

// TestRandomHistories checks the invariants of the queue on generated histories.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		violations := runHistory(t, histories.Draw(rt, "events"), slots, func(*Queue) {})
		assert.Equal(rt, strings.Join(violations, "; "), "")
	})
}

// TestInjectedFaults checks that the invariants detect an extra slot, an unused
// slot, a leaked slot, an undone drain and an engine wrongly considered up.
func TestInjectedFaults(t *testing.T) {
	faults := map[string]func(*Queue){
		"slots:":           func(q *Queue) { q.slots = 3 },
		"work conserving:": func(q *Queue) { q.slots = 1 },
		"drain:":           func(q *Queue) { q.drain = serving },
		"leak:":            func(q *Queue) { q.running = max(q.running, 1) },
		"down:":            func(q *Queue) { q.down = false },
	}
	for want, injectFault := range faults {
		t.Run(want, func(t *testing.T) {
			for seed := range 300 {
				if strings.Contains(strings.Join(runHistory(t, histories.Example(seed), 2, injectFault), ";"), want) {
					return
				}
			}
			t.Fatal("no history detects the fault")
		})
	}
}

// TestSchedulerMatchesReference compares the order of starts with a reference
// that searches all requests linearly.
func TestSchedulerMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newScheduler(0)
		var all []*waiter
		for _, e := range histories.Draw(rt, "events") {
			w := &waiter{request: Request{Organisation: e.org, Priority: e.priority, Share: len(e.org)}, charge: e.run.Seconds(), index: -1}
			w.flow = s.flow(&w.request)
			s.push(w)
			all = append(all, w)
			if e.after > 20*time.Millisecond {
				want := referenceNext(all)
				got := s.pop(func(*flow) bool { return true })
				assert.Equal(rt, got, want)
			}
		}
	})
}

func referenceNext(all []*waiter) *waiter {
	var best *waiter
	for _, w := range all {
		if w.index < 0 {
			continue
		}
		if best == nil || w.flow.before(best.flow) ||
			w.flow == best.flow && (w.request.Priority > best.request.Priority ||
				w.request.Priority == best.request.Priority && w.seq < best.seq) {
			best = w
		}
	}
	return best
}

// TestWaitBucket checks that each wait is counted in the smallest bucket that
// holds it, and that longer waits are counted in the last bucket.
func TestWaitBucket(t *testing.T) {
	for wait, bound := range map[time.Duration]time.Duration{
		0: 1, time.Millisecond: 1, time.Millisecond + 1: 4, 15 * time.Millisecond: 16, 24 * time.Hour: 1 << 20,
	} {
		assert.Equal(t, waitBucket(wait), bound*time.Millisecond)
	}
}

func BenchmarkRefuse(b *testing.B) {
	q, _ := New(Config{Slots: 1, MaxQueued: 380, TimePerCost: time.Second})
	for i := range 380 {
		go func() { _, _ = q.Admit(b.Context(), Request{Organisation: fmt.Sprint(i)}) }()
	}
	for q.Load().Queued < 300 {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := q.Admit(context.Background(), Request{Organisation: "late", Remaining: time.Second}); err == nil {
			b.Fatal("admitted")
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	q, _ := New(Config{Slots: 16, MaxQueued: 512, TimePerCost: time.Millisecond})
	b.ReportAllocs()
	for b.Loop() {
		release, err := q.Admit(context.Background(), Request{Organisation: "a"})
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
