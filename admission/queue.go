package admission

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// idleCreditRuns is the scheduling credit of an organisation that was idle,
	// in mean run times.
	idleCreditRuns = 4
	// waitSafetyFactor multiplies the estimated wait when it is compared with the
	// deadline, because later arrivals of other organisations may start first.
	waitSafetyFactor = 3
)

// Queue admits requests to one endpoint. It is safe for concurrent use.
type Queue struct {
	cfg Config

	mu        sync.Mutex
	sched     *scheduler
	estimator costEstimator
	slots     int
	running   int
	down      bool
	drain     drainState
	// idle is closed when the queue is drained and no request is running.
	idle chan struct{}
}

type drainState int

const (
	serving drainState = iota
	// draining refuses new requests but still starts queued ones.
	draining
	// drained starts no requests.
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
	r := newCostEstimator(cfg.TimePerCost)
	return &Queue{
		cfg:       cfg,
		sched:     newScheduler(idleCreditRuns * r.meanRun()),
		estimator: r,
		slots:     cfg.Slots,
		idle:      make(chan struct{}),
	}, nil
}

// Admit waits for a slot. On success the caller runs the request and then calls
// release; further calls of release do nothing. The error is always a
// *RefusedError, and the request has not run. A request is refused on arrival,
// without waiting, unless ctx ends, the deadline becomes unreachable, the engine
// goes down or DrainGrace ends while the request is queued.
func (q *Queue) Admit(ctx context.Context, req Request) (release func(), err error) {
	if req.Cost <= 0 {
		req.Cost = 1
	}
	arrived := time.Now()
	w, err := q.admit(ctx, &req)
	if err != nil {
		countRefusal(err.(*RefusedError).Reason)
		klog.V(1).Infof("admission: refused request %s of %s at %s: %s",
			req.ID, req.Organisation, q.cfg.Endpoint, err.(*RefusedError).Reason)
		return nil, err
	}
	klog.V(1).Infof("admission: started request %s of %s at %s", req.ID, req.Organisation, q.cfg.Endpoint)
	started := time.Now()
	countWait(started.Sub(arrived))
	var once sync.Once
	return func() { once.Do(func() { q.release(w, time.Since(started), ctx.Err() == nil) }) }, nil
}

func (q *Queue) admit(ctx context.Context, req *Request) (*waiter, error) {
	if ctx.Err() != nil {
		return nil, newRefusedError(req, ReasonCancelled, 0)
	}
	w, maxWait, err := q.startOrQueue(req)
	if err != nil {
		return nil, err
	}
	if err := q.wait(ctx, w, maxWait); err != nil {
		return nil, err
	}
	return w, nil
}

// startOrQueue refuses the request, starts it or queues it. maxWait is how long
// it can wait and still finish before its deadline; zero means no limit.
func (q *Queue) startOrQueue(req *Request) (w *waiter, maxWait time.Duration, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.drain != serving {
		return nil, 0, newRefusedError(req, ReasonDraining, 0)
	}
	if q.down {
		return nil, 0, newRefusedError(req, ReasonEngineDown, 0)
	}
	f := q.sched.flow(req)
	w = &waiter{request: *req, flow: f, charge: q.estimator.seconds(req.Cost), index: -1, done: make(chan error, 1)}
	if q.canStart(f) {
		// A request that finds a free slot is never refused by its estimate: the
		// estimate may be wrong, and only completed runs correct it.
		q.sched.start(w)
		q.grant(w)
		return w, 0, nil
	}
	if reason, retryAfter, ok := q.checkLimits(w); !ok {
		q.sched.dropIfIdle(f)
		return nil, 0, newRefusedError(req, reason, retryAfter)
	}
	q.sched.push(w)
	if req.Remaining > 0 {
		maxWait = req.Remaining - seconds(w.charge)
	}
	return w, maxWait, nil
}

// canStart reports whether a slot is free for the organisation. The last
// ReservedSlots slots are available only to organisations that, with one more
// request, stay within their fair share.
func (q *Queue) canStart(f *flow) bool {
	free := q.slots - q.running
	if free > q.cfg.ReservedSlots {
		return true
	}
	return free > 0 && float64(f.running+1) <= q.sched.fairShare(f, q.slots)
}

// checkLimits reports whether the request may be queued: its organisation may use
// another place, and the request is estimated to finish before its deadline. If
// not, retryAfter is the estimated time until the endpoint can accept it.
func (q *Queue) checkLimits(w *waiter) (reason Reason, retryAfter time.Duration, ok bool) {
	wait := q.estimate(w.flow, w.charge)
	if 2*len(w.flow.waiting) >= q.cfg.MaxQueued-(q.sched.queued-len(w.flow.waiting)) {
		return ReasonQueueFull, wait, false
	}
	req := &w.request
	if req.Remaining > 0 && waitSafetyFactor*wait+seconds(w.charge) > req.Remaining {
		return ReasonDeadline, waitSafetyFactor*wait + seconds(w.charge) - req.Remaining, false
	}
	return 0, 0, true
}

// estimate returns the estimated wait of a new request of flow f.
func (q *Queue) estimate(f *flow, charge float64) time.Duration {
	if q.canStart(f) {
		return 0
	}
	// While all slots are busy, one becomes free every meanRun/slots on average.
	return seconds((q.sched.workAhead(f, charge) + q.estimator.meanRun()) / float64(q.slots))
}

// wait blocks until the request is granted or refused.
func (q *Queue) wait(ctx context.Context, w *waiter, maxWait time.Duration) error {
	var timeout <-chan time.Time
	if maxWait > 0 {
		timer := time.NewTimer(maxWait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return q.cancelWait(w, ReasonCancelled)
	case <-timeout:
		return q.cancelWait(w, ReasonDeadline)
	}
}

// cancelWait removes a request from the queue. If a slot was granted
// concurrently, a cancelled request releases it and has not run, while a request
// that reached its deadline keeps the slot and runs.
func (q *Queue) cancelWait(w *waiter, reason Reason) error {
	q.mu.Lock()
	if q.sched.remove(w) {
		q.dispatch()
		q.finishDrain()
		q.mu.Unlock()
		return newRefusedError(&w.request, reason, 0)
	}
	q.mu.Unlock()
	if err := <-w.done; err != nil {
		return err
	}
	if reason == ReasonDeadline {
		return nil
	}
	q.release(w, 0, false)
	return newRefusedError(&w.request, reason, 0)
}

// release frees a slot. completed reports whether the run ended by itself. The
// time of an interrupted run is only a lower bound, so it updates the estimate
// only if it exceeds the estimated time.
func (q *Queue) release(w *waiter, took time.Duration, completed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if completed || took.Seconds() > w.charge {
		q.estimator.add(w.request.Cost, took)
		q.sched.credit = idleCreditRuns * q.estimator.meanRun()
	}
	q.sched.settle(w, took)
	q.dispatch()
	q.finishDrain()
}

// dispatch starts queued requests while slots are free.
func (q *Queue) dispatch() {
	for q.running < q.slots && !q.down && q.drain != drained {
		w := q.sched.pop(q.canStart)
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
			w.done <- newRefusedError(&w.request, reason, 0)
		}
	}
}

func newRefusedError(req *Request, reason Reason, retryAfter time.Duration) *RefusedError {
	return &RefusedError{Request: req.ID, Organisation: req.Organisation, Reason: reason, RetryAfter: retryAfter}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
