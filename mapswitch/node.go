package mapswitch

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Capacities of a Node's queues.
const (
	eventQueueSize = 1024
	sendQueueSize  = 64
	workQueueSize  = 4
)

// Config holds the settings of a Node.
type Config struct {
	// Group is the name of the rank group, for log lines.
	Group string
	Rank  Rank
	// Peers are the ranks with which messages may be exchanged.
	Peers  RankSet
	Limits Limits
	// TickInterval is the time between retries and between reads of the engine's
	// step.
	TickInterval time.Duration
	// OrderTimeout limits each order to the engine other than a load.
	OrderTimeout time.Duration
	// SendTimeout limits the delivery of a message.
	SendTimeout time.Duration
	// StoreTimeout limits each call to the table service. StoreRetry is the delay
	// after a failed call.
	StoreTimeout time.Duration
	StoreRetry   time.Duration
}

// Dependencies holds the services that a Node uses. NewIncarnation returns a
// number that no earlier agent process beside the engine has used. OnNote may be
// nil. It is called from the node's goroutine and must not block.
type Dependencies struct {
	Lease          Lease
	Store          Store
	Attacher       Attacher
	Transport      Transport
	NewIncarnation func() uint64
	OnNote         func(Note)
}

// Snapshot is the state of a Node for status pages.
type Snapshot struct {
	Attached bool
	Epoch    uint64
	Map      Ref
	Step     uint64
	// HeldStep is the step of the undecided proposal at which the engine is held,
	// or zero.
	HeldStep uint64
	// Token is the highest fencing token seen. Phase is Idle unless the agent is
	// the coordinator.
	Token uint64
	Phase Phase
	// Decisions counts the notes of each kind.
	Decisions [Saved + 1]uint64
}

// Node runs a Participant and a Coordinator for one engine. All orders to the
// engine pass through it. One goroutine runs both state machines. Others send to
// one peer each, call the table service, and load experts. All methods may be
// called from any goroutine.
type Node struct {
	cfg      Config
	deps     Dependencies
	events   chan Event
	stores   chan Action
	loads    chan loadJob
	outboxes map[Rank]chan Envelope
	snapshot atomic.Pointer[Snapshot]

	// The following fields are used only by the goroutine of Run.
	attached    bool
	engine      Engine
	participant Participant
	coordinator Coordinator
	counts      [Saved + 1]uint64
}

// NewNode returns a Node. It is inactive until Run is called.
func NewNode(cfg Config, deps Dependencies) *Node {
	n := &Node{
		cfg:         cfg,
		deps:        deps,
		events:      make(chan Event, eventQueueSize),
		stores:      make(chan Action, workQueueSize),
		loads:       make(chan loadJob, workQueueSize),
		outboxes:    make(map[Rank]chan Envelope),
		coordinator: NewCoordinator(cfg.Rank, cfg.Limits),
	}
	for r := range cfg.Peers.Without(cfg.Rank).All() {
		n.outboxes[r] = make(chan Envelope, sendQueueSize)
	}
	n.snapshot.Store(&Snapshot{})
	return n
}

// Deliver queues a message from the network. It returns a ReceiverError for a
// misaddressed message and a QueueFullError if the event queue is full. Senders
// repeat lost messages.
func (n *Node) Deliver(env Envelope) error {
	if env.To != n.cfg.Rank || !n.cfg.Peers.Has(env.From) {
		return &ReceiverError{Group: n.cfg.Group, Rank: n.cfg.Rank, To: env.To}
	}
	return n.post(Received{From: env.From, Msg: env.Msg})
}

// SetTargetMap sets the map that the node puts in force while it is the
// coordinator. It returns a QueueFullError if the event queue is full.
func (n *Node) SetTargetMap(m Map) error { return n.post(TargetMap{m}) }

// SetTargetMembers sets the members and the map of the new epoch that the node
// forms while it is the coordinator. The map must be newer than the one in force.
// It returns a QueueFullError if the event queue is full.
func (n *Node) SetTargetMembers(set RankSet, m Map) error { return n.post(TargetMembers{set, m}) }

// Snapshot returns the state after the latest event.
func (n *Node) Snapshot() Snapshot { return *n.snapshot.Load() }

func (n *Node) post(ev Event) error {
	select {
	case n.events <- ev:
		return nil
	default:
		return &QueueFullError{Rank: n.cfg.Rank, Limit: eventQueueSize}
	}
}

// Run runs the node until the context ends. It must be called only once.
func (n *Node) Run(ctx context.Context) {
	for _, outbox := range n.outboxes {
		go n.runSends(ctx, outbox)
	}
	go n.runStoreCalls(ctx)
	go n.runLoads(ctx)
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	n.attach(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-n.events:
			n.handle(ctx, ev)
		case <-ticker.C:
			n.tick(ctx)
		}
		n.publish()
	}
}

// attach opens a new engine session, which ends the orders of the earlier one, and
// starts a new incarnation whose only state is the engine's status.
func (n *Node) attach(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.OrderTimeout)
	defer cancel()
	engine, st, err := n.deps.Attacher.Attach(ctx)
	n.engine, n.attached = engine, err == nil
	if err != nil {
		klog.Warningf("mapswitch: group %s rank %d cannot attach to its engine: %v", n.cfg.Group, n.cfg.Rank, err)
		return
	}
	incarnation := n.deps.NewIncarnation()
	n.participant = NewParticipant(n.cfg.Rank, incarnation, st)
	klog.Infof("mapswitch: group %s rank %d attached to its engine: epoch %d, step %d, map %d, held at step %d",
		n.cfg.Group, n.cfg.Rank, st.Epoch, st.Step, st.InForce.Version, st.Held.Step)
	n.enqueueStoreCall(readToken{incarnation})
}

func (n *Node) tick(ctx context.Context) {
	if !n.attached {
		n.attach(ctx)
		return
	}
	stepCtx, cancel := context.WithTimeout(ctx, n.cfg.OrderTimeout)
	defer cancel()
	step, err := n.engine.Step(stepCtx)
	if err != nil {
		n.detach(err)
		return
	}
	n.handle(ctx, Tick{Step: step})
}

// detach ends the incarnation after a failed order, whose outcome is unknown.
func (n *Node) detach(err error) {
	klog.Warningf("mapswitch: group %s rank %d detached from its engine: %v", n.cfg.Group, n.cfg.Rank, err)
	n.attached = false
}

// handle checks the lease before every event. A process that was paused until its
// lease expired therefore doesn't act as coordinator on the first event after the
// pause.
func (n *Node) handle(ctx context.Context, ev Event) {
	if !n.attached {
		n.coordinator.Handle(LeaseLost{})
		return
	}
	token, held := n.deps.Lease.Held()
	if held {
		n.execute(ctx, n.coordinator.Handle(LeaseAcquired{token}))
	} else {
		n.execute(ctx, n.coordinator.Handle(LeaseLost{}))
	}
	n.dispatch(ctx, ev)
}

func (n *Node) dispatch(ctx context.Context, ev Event) {
	n.execute(ctx, n.participant.Handle(ev))
	n.execute(ctx, n.coordinator.Handle(ev))
}

func (n *Node) execute(ctx context.Context, actions []Action) {
	for _, a := range actions {
		if !n.attached {
			return
		}
		switch a := a.(type) {
		case Send:
			n.send(ctx, a)
		case Note:
			n.note(a)
		case OrderLoad:
			n.enqueueLoad(a)
		case ReadRecord, WriteRecord:
			n.enqueueStoreCall(a)
		default:
			n.order(ctx, a)
		}
	}
}

func (n *Node) order(ctx context.Context, a Action) {
	orderCtx, cancel := context.WithTimeout(ctx, n.cfg.OrderTimeout)
	defer cancel()
	var err error
	switch a := a.(type) {
	case OrderHold:
		var ok bool
		if ok, err = n.engine.Hold(orderCtx, a); err == nil {
			n.dispatch(ctx, HoldDone{a.ID, ok})
		}
	case OrderUse:
		err = n.engine.Use(orderCtx, a)
	case OrderRelease:
		err = n.engine.Release(orderCtx, a)
	case OrderLeave:
		err = n.engine.Leave(orderCtx, a)
	case OrderForm:
		err = n.engine.Form(orderCtx, a)
	}
	if err != nil {
		n.detach(err)
	}
}

func (n *Node) send(ctx context.Context, s Send) {
	if s.To == n.cfg.Rank {
		n.dispatch(ctx, Received{s.To, s.Msg})
		return
	}
	select {
	case n.outboxes[s.To] <- Envelope{From: n.cfg.Rank, To: s.To, Msg: s.Msg}:
	default:
	}
}

func (n *Node) note(note Note) {
	n.counts[note.Decision]++
	p := note.Proposal
	klog.Infof("mapswitch: group %s rank %d %s: proposal %d/%d, epoch %d, map %d, step %d, peer %d: %s",
		n.cfg.Group, n.cfg.Rank, note.Decision, p.ID.Token, p.Seq, p.Epoch, p.Map.Version, p.Step, note.Peer, note.Reason)
	if n.deps.OnNote != nil {
		n.deps.OnNote(note)
	}
}

func (n *Node) publish() {
	n.snapshot.Store(&Snapshot{
		Attached:  n.attached,
		Epoch:     n.participant.epoch,
		Map:       n.participant.inForce,
		Step:      n.participant.step,
		HeldStep:  n.participant.undecided.Step,
		Token:     n.participant.token,
		Phase:     n.coordinator.phase,
		Decisions: n.counts,
	})
}
