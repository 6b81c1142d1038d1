package mapswitch

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Sizes of the bounded queues of a Node.
const (
	eventQueue = 1024
	sendQueue  = 64
	workQueue  = 4
)

// Config holds a node's settings.
type Config struct {
	// Group names the rank group in log lines.
	Group string
	Rank  Rank
	// Peers are the ranks that messages may go to.
	Peers  RankSet
	Limits Limits
	// TickInterval is the time between retries and between step readings.
	TickInterval time.Duration
	// OrderTimeout bounds an order to the engine, other than a load.
	OrderTimeout time.Duration
	// SendTimeout bounds the delivery of a message.
	SendTimeout time.Duration
	// StoreTimeout bounds a call of the table service; StoreRetry is the time
	// before the next call after one that failed.
	StoreTimeout time.Duration
	StoreRetry   time.Duration
}

// Dependencies are what a node works with. NewIncarnation returns a number that no
// earlier agent process beside the engine used. OnNote may be nil; it is called
// from the node's goroutine and must not block.
type Dependencies struct {
	Lease          Lease
	Store          Store
	Attacher       Attacher
	Transport      Transport
	NewIncarnation func() uint64
	OnNote         func(Note)
}

// Snapshot is a node's state for status pages.
type Snapshot struct {
	Attached bool
	Epoch    uint64
	Map      Ref
	Step     uint64
	// HeldStep is the step at which the engine is held, zero without a hold.
	HeldStep uint64
	// Token is the newest fencing token seen; Phase is Idle unless the agent
	// coordinates.
	Token uint64
	Phase Phase
	// Decisions counts the notes by kind.
	Decisions [Saved + 1]uint64
}

// Node runs a Participant and a Coordinator beside one engine and is the
// engine's only path of orders. One goroutine decides; one for each peer sends,
// one works with the table service and one loads. All methods may be called
// from any goroutine.
type Node struct {
	cfg      Config
	ports    Dependencies
	events   chan Event
	stores   chan Action
	loads    chan loadWork
	outboxes map[Rank]chan Envelope
	snapshot atomic.Pointer[Snapshot]

	// The fields below belong to the goroutine of Run.
	attached bool
	engine   Engine
	part     Participant
	coord    Coordinator
	counts   [Saved + 1]uint64
}

// NewNode returns a node that does nothing until Run.
func NewNode(cfg Config, ports Dependencies) *Node {
	n := &Node{
		cfg:      cfg,
		ports:    ports,
		events:   make(chan Event, eventQueue),
		stores:   make(chan Action, workQueue),
		loads:    make(chan loadWork, workQueue),
		outboxes: make(map[Rank]chan Envelope),
		coord:    NewCoordinator(cfg.Rank, cfg.Limits),
	}
	for r := range cfg.Peers.Without(cfg.Rank).All() {
		n.outboxes[r] = make(chan Envelope, sendQueue)
	}
	n.snapshot.Store(&Snapshot{})
	return n
}

// Deliver takes a message from the network. It returns a ReceiverError for a
// message of another rank and a BacklogError when the node is behind; the
// sender's protocol repeats what was lost.
func (n *Node) Deliver(env Envelope) error {
	if env.To != n.cfg.Rank || !n.cfg.Peers.Has(env.From) {
		return &ReceiverError{Group: n.cfg.Group, Rank: n.cfg.Rank, To: env.To}
	}
	return n.post(Received{From: env.From, Msg: env.Msg})
}

// SetTargetMap asks for the map to be put in force while this agent coordinates. It
// returns a BacklogError when the node is behind.
func (n *Node) SetTargetMap(m Map) error { return n.post(TargetMap{m}) }

// SetTargetMembers asks for a new epoch with the members while this agent
// coordinates. The map must be newer than the one in force. It returns a
// BacklogError when the node is behind.
func (n *Node) SetTargetMembers(set RankSet, m Map) error { return n.post(TargetMembers{set, m}) }

// Snapshot returns the state after the newest event.
func (n *Node) Snapshot() Snapshot { return *n.snapshot.Load() }

func (n *Node) post(ev Event) error {
	select {
	case n.events <- ev:
		return nil
	default:
		return &QueueFullError{Rank: n.cfg.Rank, Limit: eventQueue}
	}
}

// Run runs the node until the context ends. It is called once.
func (n *Node) Run(ctx context.Context) {
	for _, outbox := range n.outboxes {
		go n.sendAll(ctx, outbox)
	}
	go n.storeAll(ctx)
	go n.loadAll(ctx)
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

// attach begins a new incarnation. It ends whatever an earlier one had ordered
// and forgets everything but what the engine knows.
func (n *Node) attach(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.OrderTimeout)
	defer cancel()
	engine, st, err := n.ports.Attacher.Attach(ctx)
	n.engine, n.attached = engine, err == nil
	if err != nil {
		klog.Warningf("mapswitch: group %s rank %d cannot attach to its engine: %v", n.cfg.Group, n.cfg.Rank, err)
		return
	}
	incarnation := n.ports.NewIncarnation()
	n.part = NewParticipant(n.cfg.Rank, incarnation, st)
	klog.Infof("mapswitch: group %s rank %d attached, epoch %d step %d map %d held at %d",
		n.cfg.Group, n.cfg.Rank, st.Epoch, st.Step, st.InForce.Version, st.Held.Step)
	n.queueStore(readToken{incarnation})
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

// detach drops the incarnation after an order with an unknown result.
func (n *Node) detach(err error) {
	klog.Warningf("mapswitch: group %s rank %d lost its engine: %v", n.cfg.Group, n.cfg.Rank, err)
	n.attached = false
}

// handle looks at the lease before every event, so that a coordinator that was
// paused past its lease does not act on the event that wakes it.
func (n *Node) handle(ctx context.Context, ev Event) {
	if !n.attached {
		n.coord.Handle(LeaseLost{})
		return
	}
	token, held := n.ports.Lease.Held()
	if held {
		n.carry(ctx, n.coord.Handle(LeaseAcquired{token}))
	} else {
		n.carry(ctx, n.coord.Handle(LeaseLost{}))
	}
	n.feed(ctx, ev)
}

func (n *Node) feed(ctx context.Context, ev Event) {
	n.carry(ctx, n.part.Handle(ev))
	n.carry(ctx, n.coord.Handle(ev))
}

func (n *Node) carry(ctx context.Context, actions []Action) {
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
			n.queueLoad(a)
		case ReadRecord, WriteRecord:
			n.queueStore(a)
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
			n.feed(ctx, HoldDone{a.ID, ok})
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
		n.feed(ctx, Received{s.To, s.Msg})
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
	klog.Infof("mapswitch: group %s rank %d %s, proposal %d/%d epoch %d map %d step %d peer %d: %s",
		n.cfg.Group, n.cfg.Rank, note.Decision, p.ID.Token, p.Seq, p.Epoch, p.Map.Version, p.Step, note.Peer, note.Reason)
	if n.ports.OnNote != nil {
		n.ports.OnNote(note)
	}
}

func (n *Node) publish() {
	n.snapshot.Store(&Snapshot{
		Attached:  n.attached,
		Epoch:     n.part.epoch,
		Map:       n.part.inForce,
		Step:      n.part.step,
		HeldStep:  n.part.bound.Step,
		Token:     n.part.token,
		Phase:     n.coord.phase,
		Decisions: n.counts,
	})
}
