package mapswitch

import "context"

// Lease is the group's lease in the table service. Each grant has a greater
// token than all earlier ones. Held may be called from any goroutine.
type Lease interface {
	Held() (token uint64, ok bool)
}

// Store keeps the group's durable record in the table service. Its methods may
// block until the context ends and may be called from any goroutine.
type Store interface {
	// Read returns the record and its revision. A group without a record has
	// the zero Record and a revision that Write accepts.
	Read(ctx context.Context) (Record, uint64, error)
	// Write stores the record if the revision has not changed, and returns the
	// new revision. Any error leaves open whether the record was stored.
	Write(ctx context.Context, rec Record, revision uint64) (uint64, error)
	// Token returns the newest fencing token that the group's lease granted.
	Token(ctx context.Context) (uint64, error)
}

// Status is what an engine knows of itself and of the orders it took.
type Status struct {
	// Engine is the engine process's incarnation.
	Engine uint64
	// Epoch and Members are the collective that the engine runs in, zero for
	// an engine that has not been formed.
	Epoch   uint64
	Members RankSet
	// Step is the step that the engine is in or will begin next.
	Step uint64
	// InForce is the map of the newest OrderUse or OrderForm, Ready another map
	// whose experts are loaded.
	InForce Ref
	Ready   Ref
	// Held is the proposal of the hold that is in place, Switched that of the
	// newest OrderUse in this epoch, as they stood in the orders.
	Held     Proposal
	Switched Proposal
}

// Attacher opens the way of orders to one model engine.
type Attacher interface {
	// Attach returns a new Engine and the status as it stands after all orders
	// of earlier ones. Orders that come later through an earlier Engine, also
	// one of an earlier agent process, fail without effect.
	Attach(ctx context.Context) (Engine, Status, error)
}

// Engine is the way of orders to one model engine, which may ignore the
// orders' tokens. Only Load may take long; a hold, a use, a release and a form
// return once they are taken. An error leaves open whether the order was taken:
// the caller attaches again.
type Engine interface {
	// Step returns the step that the engine is in or will begin next.
	Step(ctx context.Context) (uint64, error)
	// Hold returns false if the engine has begun the proposal's step or may
	// have.
	Hold(ctx context.Context, order OrderHold) (bool, error)
	// Use ends the proposal's hold; the map is in force from its step on.
	Use(ctx context.Context, order OrderUse) error
	// Release ends the proposal's hold without a new map.
	Release(ctx context.Context, order OrderRelease) error
	// Load returns once the experts are loaded.
	Load(ctx context.Context, order OrderLoad) error
	// Leave ends the engine's part in its epoch: it begins no further step until
	// Form.
	Leave(ctx context.Context, order OrderLeave) error
	// Form joins the epoch's collective at step 0 and drops any hold.
	Form(ctx context.Context, order OrderForm) error
}

// Transport delivers messages between the group's agents, or loses them. Send
// blocks at most until the context ends; one goroutine calls it for each
// receiver.
type Transport interface {
	Send(ctx context.Context, env Envelope) error
}
