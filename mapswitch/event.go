package mapswitch

// Event is an input of a Participant or a Coordinator.
type Event interface{ event() }

// Received is a message that arrived.
type Received struct {
	From Rank
	Msg  Message
}

// Tick tells that one tick interval has passed and which step the engine is in.
type Tick struct{ Step uint64 }

// TokenRead tells the newest fencing token that the lease has granted, as read
// by the given agent incarnation.
type TokenRead struct {
	Incarnation uint64
	Token       uint64
}

// HoldDone is the result of an OrderHold. OK is false when the engine has
// begun the step.
type HoldDone struct {
	ID
	OK bool
}

// LoadID identifies an OrderLoad among all that reach an engine.
type LoadID struct {
	Incarnation uint64
	Seq         uint64
}

// LoadDone is the result of an OrderLoad.
type LoadDone struct {
	LoadID
	OK bool
}

// LeaseAcquired tells the coordinator that its agent holds the lease.
type LeaseAcquired struct{ Token uint64 }

// LeaseLost tells the coordinator that its agent no longer holds the lease.
type LeaseLost struct{}

// RecordRead is the result of a ReadRecord. OK is false when the table service
// gave no answer.
type RecordRead struct {
	Record   Record
	Revision uint64
	OK       bool
}

// RecordWritten is the result of a WriteRecord. OK is false when the write
// lost against another one, and when its answer was lost.
type RecordWritten struct {
	Revision uint64
	OK       bool
}

// TargetMap tells the coordinator which map its owner wants in force.
type TargetMap struct{ Map }

// TargetMembers tells the coordinator which rank set its owner wants, with the
// map that the new epoch begins with.
type TargetMembers struct {
	Members RankSet
	Map     Map
}

func (Received) event()      {}
func (Tick) event()          {}
func (TokenRead) event()     {}
func (HoldDone) event()      {}
func (LoadDone) event()      {}
func (LeaseAcquired) event() {}
func (LeaseLost) event()     {}
func (RecordRead) event()    {}
func (RecordWritten) event() {}
func (TargetMap) event()     {}
func (TargetMembers) event() {}

// Action is an output of a Participant or a Coordinator. Actions are carried
// out in order. The result of an OrderHold is handed back before any other
// event.
type Action interface{ action() }

// Send sends a message. The receiver may be the sender's own rank.
type Send struct {
	To  Rank
	Msg Message
}

// OrderHold orders the engine not to begin the proposal's step.
type OrderHold struct {
	Token uint64
	Proposal
}

// OrderUse orders the engine to use the proposal's map from its step on, and
// ends the hold.
type OrderUse struct {
	Token uint64
	Proposal
}

// OrderRelease ends the hold; the map stays as it is.
type OrderRelease struct {
	Token uint64
	Proposal
}

// OrderLoad orders the engine to load a map's experts beside those in force.
// Any other map that was loaded so may be dropped.
type OrderLoad struct {
	LoadID
	Token uint64
	Map   Map
}

// OrderLeave orders the engine to run no further step of its epoch.
type OrderLeave struct {
	Token uint64
	Epoch uint64
}

// OrderForm orders the engine to begin the epoch at step 0.
type OrderForm struct {
	Token  uint64
	Record Record
}

// ReadRecord reads the group's record.
type ReadRecord struct{}

// WriteRecord writes the group's record if its revision is still Revision.
type WriteRecord struct {
	Record   Record
	Revision uint64
}

// Note reports a decision, for the log.
type Note struct {
	Decision Decision
	Proposal Proposal
	Peer     Rank
	Reason   Reason
}

func (Send) action()         {}
func (OrderHold) action()    {}
func (OrderUse) action()     {}
func (OrderRelease) action() {}
func (OrderLoad) action()    {}
func (OrderLeave) action()   {}
func (OrderForm) action()    {}
func (ReadRecord) action()   {}
func (WriteRecord) action()  {}
func (Note) action()         {}
