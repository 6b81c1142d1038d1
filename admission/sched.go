package admission

import (
	"container/heap"
	"math"
	"time"
)

// scheduler implements start-time fair queueing between organisations. It does
// not depend on the clock, does not limit slots and does no locking.
type scheduler struct {
	// virtualTime is the largest start tag of a request that was started.
	virtualTime float64
	// credit is the slot time, in seconds, that a flow is credited after it was
	// idle, so that a short burst of requests does not wait.
	credit float64
	flows  map[string]*flow
	// active holds the flows that have queued requests.
	active  flowHeap
	queued  int
	running int
	seq     uint64
}

// flow is the scheduling state of one organisation.
type flow struct {
	organisation string
	share        float64
	// tag is the start tag of the flow's next request: the charged slot time, in
	// seconds, divided by the share.
	tag     float64
	waiting waiterHeap
	// backlog is the estimated slot time of the queued requests, in seconds.
	backlog float64
	running int
	index   int
}

// waiter is a queued request.
type waiter struct {
	request Request
	flow    *flow
	// charge is the estimated slot time, in seconds.
	charge float64
	seq    uint64
	index  int
	// done receives nil when a slot is granted, or a *RefusedError.
	done chan error
}

func newScheduler(credit float64) *scheduler {
	return &scheduler{credit: credit, flows: make(map[string]*flow)}
}

// flow returns the organisation's flow and updates its share.
func (s *scheduler) flow(req *Request) *flow {
	f, ok := s.flows[req.Organisation]
	if !ok {
		f = &flow{organisation: req.Organisation, tag: math.Inf(-1), index: -1}
		s.flows[req.Organisation] = f
	}
	f.share = float64(max(req.Share, 1))
	return f
}

// minStartTag returns the lower bound of the tag of a flow that becomes active.
func (s *scheduler) minStartTag(f *flow) float64 { return s.virtualTime - s.credit/f.share }

// push queues a request.
func (s *scheduler) push(w *waiter) {
	f := w.flow
	s.seq++
	w.seq = s.seq
	heap.Push(&f.waiting, w)
	f.backlog += w.charge
	s.queued++
	if f.index < 0 {
		f.tag = max(f.tag, s.minStartTag(f))
		heap.Push(&s.active, f)
	}
}

// pop removes and returns the next request of the eligible flows and charges its
// flow. It returns nil if there is none.
func (s *scheduler) pop(eligible func(*flow) bool) *waiter {
	f := s.next(eligible)
	if f == nil {
		return nil
	}
	w := heap.Pop(&f.waiting).(*waiter)
	s.onRemoved(w)
	s.charge(w)
	return w
}

// next returns the eligible active flow with the smallest tag.
func (s *scheduler) next(eligible func(*flow) bool) *flow {
	if len(s.active) == 0 {
		return nil
	}
	if eligible(s.active[0]) {
		return s.active[0]
	}
	var best *flow
	for _, f := range s.active[1:] {
		if (best == nil || f.before(best)) && eligible(f) {
			best = f
		}
	}
	return best
}

// fairShare returns f's share of the slots among the organisations that have
// running or queued requests.
func (s *scheduler) fairShare(f *flow, slots int) float64 {
	sum := f.share
	for _, g := range s.flows {
		if g != f && (g.running > 0 || len(g.waiting) > 0) {
			sum += g.share
		}
	}
	return float64(slots) * f.share / sum
}

// start charges the flow of a request that gets a slot without queueing.
func (s *scheduler) start(w *waiter) {
	w.flow.tag = max(w.flow.tag, s.minStartTag(w.flow))
	s.charge(w)
}

// charge adds the estimated slot time of a starting request to its flow's tag.
func (s *scheduler) charge(w *waiter) {
	f := w.flow
	s.virtualTime = max(s.virtualTime, f.tag)
	f.tag += w.charge / f.share
	f.running++
	s.running++
	s.fixActive(f)
}

// fixActive restores the heap order of the active flows after f's tag changed.
func (s *scheduler) fixActive(f *flow) {
	if f.index >= 0 {
		heap.Fix(&s.active, f.index)
	}
}

// remove removes a request from the queue. It returns false if the request is no
// longer queued.
func (s *scheduler) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&w.flow.waiting, w.index)
	s.onRemoved(w)
	s.dropIfIdle(w.flow)
	return true
}

// onRemoved updates the totals after a request left its flow's heap.
func (s *scheduler) onRemoved(w *waiter) {
	f := w.flow
	s.queued--
	f.backlog -= w.charge
	if len(f.waiting) == 0 {
		f.backlog = 0
		heap.Remove(&s.active, f.index)
	}
}

// settle corrects the estimated charge of a run to the slot time that it used.
func (s *scheduler) settle(w *waiter, took time.Duration) {
	f := w.flow
	f.running--
	s.running--
	f.tag += (took.Seconds() - w.charge) / f.share
	s.fixActive(f)
	s.dropIfIdle(f)
}

// dropIfIdle deletes a flow that has no requests and whose tag is no greater than
// that of a new flow. It deletes all flows when no request is queued or running.
func (s *scheduler) dropIfIdle(f *flow) {
	if s.running == 0 && s.queued == 0 {
		clear(s.flows)
		s.virtualTime = 0
		return
	}
	if f.index < 0 && f.running == 0 && f.tag <= s.minStartTag(f) {
		delete(s.flows, f.organisation)
	}
}

// workAhead estimates the slot time, in seconds, that is served before a new
// request of flow f: the backlog of f plus, for each other flow, the part of its
// backlog that is scheduled before the request finishes. A flow that was served
// less than f has a smaller tag and is scheduled first.
func (s *scheduler) workAhead(f *flow, charge float64) float64 {
	finish := max(f.tag, s.minStartTag(f)) + (f.backlog+charge)/f.share
	sum := f.backlog
	for _, g := range s.active {
		if g != f {
			sum += min(g.backlog, max(0, (finish-g.tag)*g.share))
		}
	}
	return sum
}

// before reports whether f is scheduled before g: by tag, then by name.
func (f *flow) before(g *flow) bool {
	if f.tag != g.tag {
		return f.tag < g.tag
	}
	return f.organisation < g.organisation
}

// flowHeap is a heap of flows, smallest tag first.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// waiterHeap is a heap of requests: highest priority first, then oldest.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }
func (h waiterHeap) Less(i, j int) bool {
	if h[i].request.Priority != h[j].request.Priority {
		return h[i].request.Priority > h[j].request.Priority
	}
	return h[i].seq < h[j].seq
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
