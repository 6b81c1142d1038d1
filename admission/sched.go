package admission

import (
	"container/heap"
	"math"
	"time"
)

// scheduler is start-time fair queueing between organisations. It knows nothing
// of time, slots or locks.
type scheduler struct {
	// virtual is the start tag of the request that was popped last.
	virtual float64
	// credit is the slot time, in seconds, by which a flow that was idle is
	// ahead of the others, so that a few requests in a row do not wait.
	credit float64
	flows  map[string]*flow
	// active holds the flows that have requests waiting.
	active  flowHeap
	queued  int
	running int
	seq     uint64
}

// flow is the state of one organisation.
type flow struct {
	organisation string
	share        float64
	// tag is the start tag of the flow's next request: the slot seconds that
	// were charged, over the share.
	tag     float64
	waiting waiterHeap
	// backlog is the estimated slot time of the waiting requests, in seconds.
	backlog float64
	running int
	index   int
}

// waiter is one request that waits.
type waiter struct {
	ticket Request
	flow   *flow
	// charge is the estimated slot time, in seconds.
	charge float64
	seq    uint64
	index  int
	// done receives nil when a slot is granted, or the refusal.
	done chan error
}

func newScheduler(credit float64) *scheduler {
	return &scheduler{credit: credit, flows: make(map[string]*flow)}
}

// flow returns the organisation's flow and updates its share.
func (s *scheduler) flow(t *Request) *flow {
	f, ok := s.flows[t.Organisation]
	if !ok {
		f = &flow{organisation: t.Organisation, tag: math.Inf(-1), index: -1}
		s.flows[t.Organisation] = f
	}
	f.share = float64(max(t.Share, 1))
	return f
}

// level is the smallest tag that a flow starts with after it was idle.
func (s *scheduler) level(f *flow) float64 { return s.virtual - s.credit/f.share }

// push queues a request.
func (s *scheduler) push(w *waiter) {
	f := w.flow
	s.seq++
	w.seq = s.seq
	heap.Push(&f.waiting, w)
	f.backlog += w.charge
	s.queued++
	if f.index < 0 {
		f.tag = max(f.tag, s.level(f))
		heap.Push(&s.active, f)
	}
}

// pop returns the next request of the flows that may start, or nil, and charges
// its flow.
func (s *scheduler) pop(may func(*flow) bool) *waiter {
	f := s.next(may)
	if f == nil {
		return nil
	}
	w := heap.Pop(&f.waiting).(*waiter)
	s.took(w)
	s.charge(w)
	return w
}

// next returns the active flow with the smallest tag that may start.
func (s *scheduler) next(may func(*flow) bool) *flow {
	if len(s.active) == 0 {
		return nil
	}
	if may(s.active[0]) {
		return s.active[0]
	}
	var best *flow
	for _, f := range s.active[1:] {
		if (best == nil || f.before(best)) && may(f) {
			best = f
		}
	}
	return best
}

// fairSlots is f's part of the slots among the organisations that run or wait.
func (s *scheduler) fairSlots(f *flow, slots int) float64 {
	sum := f.share
	for _, g := range s.flows {
		if g != f && (g.running > 0 || len(g.waiting) > 0) {
			sum += g.share
		}
	}
	return float64(slots) * f.share / sum
}

// start charges the flow of a request that takes a slot without waiting.
func (s *scheduler) start(w *waiter) {
	w.flow.tag = max(w.flow.tag, s.level(w.flow))
	s.charge(w)
}

// charge books the estimated slot time of a request that starts.
func (s *scheduler) charge(w *waiter) {
	f := w.flow
	s.virtual = max(s.virtual, f.tag)
	f.tag += w.charge / f.share
	f.running++
	s.running++
	s.moved(f)
}

// moved restores the order of the active flows after f's tag has changed.
func (s *scheduler) moved(f *flow) {
	if f.index >= 0 {
		heap.Fix(&s.active, f.index)
	}
}

// remove takes a request out of the queue. It reports false if the request is
// not queued any more.
func (s *scheduler) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&w.flow.waiting, w.index)
	s.took(w)
	s.forget(w.flow)
	return true
}

// took keeps the sums after a request has left its flow's heap.
func (s *scheduler) took(w *waiter) {
	f := w.flow
	s.queued--
	f.backlog -= w.charge
	if len(f.waiting) == 0 {
		f.backlog = 0
		heap.Remove(&s.active, f.index)
	}
}

// settle replaces the estimated charge of a run by the slot time that it took.
func (s *scheduler) settle(w *waiter, took time.Duration) {
	f := w.flow
	f.running--
	s.running--
	f.tag += (took.Seconds() - w.charge) / f.share
	s.moved(f)
	s.forget(f)
}

// forget drops a flow that would start level with the others anyway, and all
// flows when there is no work left.
func (s *scheduler) forget(f *flow) {
	if s.running == 0 && s.queued == 0 {
		clear(s.flows)
		s.virtual = 0
		return
	}
	if f.index < 0 && f.running == 0 && f.tag <= s.level(f) {
		delete(s.flows, f.organisation)
	}
}

// ahead estimates the slot seconds that are served before a new request of
// flow f: its own backlog, and of each other flow what it is served meanwhile.
// The flows' tags count: who was served less than f goes first.
func (s *scheduler) ahead(f *flow, charge float64) float64 {
	finish := max(f.tag, s.level(f)) + (f.backlog+charge)/f.share
	sum := f.backlog
	for _, g := range s.active {
		if g != f {
			sum += min(g.backlog, max(0, (finish-g.tag)*g.share))
		}
	}
	return sum
}

// before orders flows by tag.
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
	if h[i].ticket.Priority != h[j].ticket.Priority {
		return h[i].ticket.Priority > h[j].ticket.Priority
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
