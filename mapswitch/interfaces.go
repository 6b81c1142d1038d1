package mapswitch

import "context"

// Lease is the group's lease in the table service. Each grant has a fencing
// token greater than those of all earlier grants. Held may be called from any
// goroutine.
type Lease interface {
	Held() (token uint64, ok bool)
}

// Store reads and writes the group's durable record in the table service. Its
// methods may block until the context ends and may be called from any
// goroutine.
type Store interface {
	// Read returns the record and its revision. For a group without a record it
	// returns the zero Record and a revision with which Write creates the record.
	Read(ctx context.Context) (Record, uint64, error)
	// Write stores the record if the revision has not changed, and returns the
	// new revision. After an error the record may or may not have been stored.
	Write(ctx context.Context, rec Record, revision uint64) (uint64, error)
	// Token returns the highest fencing token that the group's lease has granted.
	Token(ctx context.Context) (uint64, error)
}

// Status is the state of an engine, including the orders that it has executed.
type Status struct {
	// Engine is the incarnation of the engine process.
	Engine uint64
	// Epoch and Members identify the collective that the engine runs in. They
	// are zero before the engine's first OrderForm.
	Epoch   uint64
	Members RankSet
	// Step is the step that the engine is executing or will execute next.
	Step uint64
	// InForce is the map of the latest OrderUse or OrderForm. Ready is another
	// map whose experts are loaded.
	InForce Ref
	Ready   Ref
	// Held is the proposal of the current hold, and Switched that of the latest
	// OrderUse in this epoch, both as given in the orders.
	Held     Proposal
	Switched Proposal
}

// Attacher opens control sessions to one model engine.
type Attacher interface {
	// Attach opens a new session and returns the engine's status after all orders
	// of earlier sessions. Later orders through an earlier session, including one
	// of an earlier agent process, fail without effect.
	Attach(ctx context.Context) (Engine, Status, error)
}

// Engine is a control session to one model engine. The engine need not check
// the fencing tokens of orders. Only Load may take long; the other methods return
// as soon as the engine has accepted the order. After an error it is unknown
// whether the order was accepted, and the caller must attach again.
type Engine interface {
	// Step returns the step that the engine is in or will begin next.
	Step(ctx context.Context) (uint64, error)
	// Hold stops the engine before the proposal's step. It returns false if the
	// engine has begun that step or may have.
	Hold(ctx context.Context, order OrderHold) (bool, error)
	// Use ends the proposal's hold. The proposal's map is in force from its step on.
	Use(ctx context.Context, order OrderUse) error
	// Release ends the proposal's hold and keeps the current map.
	Release(ctx context.Context, order OrderRelease) error
	// Load loads a map's experts and returns when they are loaded.
	Load(ctx context.Context, order OrderLoad) error
	// Leave removes the engine from its epoch. The engine begins no further step
	// until Form.
	Leave(ctx context.Context, order OrderLeave) error
	// Form makes the engine join the epoch's collective at step 0, and ends any
	// hold.
	Form(ctx context.Context, order OrderForm) error
}

// Transport sends messages between the group's agents. Messages may be lost.
// Send blocks at most until the context ends. It is called by one goroutine for
// each receiver.
type Transport interface {
	Send(ctx context.Context, env Envelope) error
}
