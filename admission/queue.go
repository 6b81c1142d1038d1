package admission

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// creditRuns is how many mean runs an organisation that was idle is ahead.
	creditRuns = 4
	// waitMargin is by how much the estimated wait must fit into what the
	// deadline leaves: later arrivals of other organisations may go first.
	waitMargin = 3
)

// Queue admits requests to one endpoint. It is safe for concurrent use.
type Queue struct {
	cfg Config

	mu      sync.Mutex
	sched   *scheduler
	rate    rate
	slots   int
	running int
	down    bool
	drain   drainState
	// idle is closed when the queue drains and nothing runs any more.
	idle chan struct{}
}

type drainState int

const (
	serving drainState = iota
	// draining takes no new request and still starts queued ones.
	draining
	// drained starts nothing any more.
	drained
)

// New returns a queue for one endpoint.
func New(cfg Config) (*Queue, error) {
	if cfg.Slots < 1 {
		return nil, &ConfigError{Field: "slots", Value: int64(cfg.Slots)}
	}
	if cfg.MaxQueued < 1 {
		return nil, &ConfigError{Field: "queue", Value: int64(cfg.MaxQueued)}
	}
	if cfg.TimePerCost <= 0 {
		return nil, &ConfigError{Field: "cost_time", Value: int64(cfg.TimePerCost)}
	}
	r := newRate(cfg.TimePerCost)
	return &Queue{
		cfg:   cfg,
		sched: newScheduler(creditRuns * r.meanRun()),
		rate:  r,
		slots: cfg.Slots,
		idle:  make(chan struct{}),
	}, nil
}

// Admit waits for a slot. On success the caller runs the request and then calls
// release; further calls do nothing. The error is always a *RefusedError, and
// the request has not run then. A refusal is given on arrival without waiting,
// except when ctx ends, the deadline comes out of reach, the engine fails or
// the grace of a drain ends while the request is queued.
func (q *Queue) Admit(ctx context.Context, t Request) (release func(), err error) {
	if t.Cost <= 0 {
		t.Cost = 1
	}
	arrived := time.Now()
	w, err := q.admit(ctx, &t)
	if err != nil {
		countRefusal(err.(*RefusedError).Reason)
		klog.V(1).Infof("admission: refused request %s of %s at %s: %s",
			t.ID, t.Organisation, q.cfg.Endpoint, err.(*RefusedError).Reason)
		return nil, err
	}
	klog.V(1).Infof("admission: started request %s of %s at %s", t.ID, t.Organisation, q.cfg.Endpoint)
	started := time.Now()
	countWait(started.Sub(arrived))
	var once sync.Once
	return func() { once.Do(func() { q.release(w, time.Since(started), ctx.Err() == nil) }) }, nil
}

func (q *Queue) admit(ctx context.Context, t *Request) (*waiter, error) {
	if ctx.Err() != nil {
		return nil, refused(t, ReasonCancelled, 0)
	}
	w, latest, err := q.enter(t)
	if err != nil {
		return nil, err
	}
	if err := q.wait(ctx, w, latest); err != nil {
		return nil, err
	}
	return w, nil
}

// enter refuses the request, starts it or queues it. latest is how long it can
// wait and still end in time; zero means for ever.
func (q *Queue) enter(t *Request) (w *waiter, latest time.Duration, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.drain != serving {
		return nil, 0, refused(t, ReasonDraining, 0)
	}
	if q.down {
		return nil, 0, refused(t, ReasonEngineDown, 0)
	}
	f := q.sched.flow(t)
	w = &waiter{ticket: *t, flow: f, charge: q.rate.seconds(t.Cost), index: -1, done: make(chan error, 1)}
	if q.mayStart(f) {
		// A free slot is never refused: the estimate may be wrong, and only runs
		// correct it.
		q.sched.start(w)
		q.grant(w)
		return w, 0, nil
	}
	if reason, after, ok := q.fits(w); !ok {
		q.sched.forget(f)
		return nil, 0, refused(t, reason, after)
	}
	q.sched.push(w)
	if t.Remaining > 0 {
		latest = t.Remaining - seconds(w.charge)
	}
	return w, latest, nil
}

// mayStart reports whether a slot is free for the organisation. The last slots
// are kept for organisations that hold less than their part; a queue of its own
// makes an organisation wait its turn.
func (q *Queue) mayStart(f *flow) bool {
	free := q.slots - q.running
	if free > q.cfg.ReservedSlots {
		return true
	}
	return free > 0 && float64(f.running+1) <= q.sched.fairSlots(f, q.slots)
}

// fits reports whether the request has a place in the queue and, by the
// estimate, ends before its deadline.
func (q *Queue) fits(w *waiter) (reason Reason, after time.Duration, ok bool) {
	wait := q.estimate(w.flow, w.charge)
	if 2*len(w.flow.waiting) >= q.cfg.MaxQueued-(q.sched.queued-len(w.flow.waiting)) {
		return ReasonQueueFull, wait, false
	}
	t := &w.ticket
	if t.Remaining > 0 && waitMargin*wait+seconds(w.charge) > t.Remaining {
		return ReasonDeadline, waitMargin*wait + seconds(w.charge) - t.Remaining, false
	}
	return 0, 0, true
}

// estimate returns the expected wait of a new request of flow f.
func (q *Queue) estimate(f *flow, charge float64) time.Duration {
	if q.mayStart(f) {
		return 0
	}
	// The next slot comes free after one mean run over the slots.
	return seconds((q.sched.ahead(f, charge) + q.rate.meanRun()) / float64(q.slots))
}

// wait blocks until the request is granted or refused.
func (q *Queue) wait(ctx context.Context, w *waiter, latest time.Duration) error {
	var late <-chan time.Time
	if latest > 0 {
		timer := time.NewTimer(latest)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return q.leave(w, ReasonCancelled)
	case <-late:
		return q.leave(w, ReasonDeadline)
	}
}

// leave takes a request out of the queue. If a slot was granted at the same
// moment, the slot is given back: the request has not run.
func (q *Queue) leave(w *waiter, reason Reason) error {
	q.mu.Lock()
	if q.sched.remove(w) {
		q.dispatch()
		q.finishDrain()
		q.mu.Unlock()
		return refused(&w.ticket, reason, 0)
	}
	q.mu.Unlock()
	if err := <-w.done; err != nil {
		return err
	}
	if reason == ReasonDeadline {
		return nil
	}
	q.release(w, 0, false)
	return refused(&w.ticket, reason, 0)
}

// release gives a slot back. whole tells whether the run came to its own end; a
// run that was cut off says how long it takes at least.
func (q *Queue) release(w *waiter, took time.Duration, whole bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if whole || took.Seconds() > w.charge {
		q.rate.add(w.ticket.Cost, took)
		q.sched.credit = creditRuns * q.rate.meanRun()
	}
	q.sched.settle(w, took)
	q.dispatch()
	q.finishDrain()
}

// dispatch starts queued requests while there are slots.
func (q *Queue) dispatch() {
	for q.running < q.slots && !q.down && q.drain != drained {
		w := q.sched.pop(q.mayStart)
		if w == nil {
			return
		}
		q.grant(w)
	}
}

func (q *Queue) grant(w *waiter) {
	q.running++
	w.done <- nil
}

// refuseQueued refuses every queued request.
func (q *Queue) refuseQueued(reason Reason) {
	for _, f := range append(flowHeap(nil), q.sched.active...) {
		for _, w := range append(waiterHeap(nil), f.waiting...) {
			q.sched.remove(w)
			w.done <- refused(&w.ticket, reason, 0)
		}
	}
}

func refused(t *Request, reason Reason, after time.Duration) *RefusedError {
	return &RefusedError{Request: t.ID, Organisation: t.Organisation, Reason: reason, RetryAfter: after}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
