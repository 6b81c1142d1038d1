package mapswitch

// Event is an input of a Participant or a Coordinator.
type Event interface{ event() }

// Received is a message from another agent or from the agent itself.
type Received struct {
	From Rank
	Msg  Message
}

// Tick marks the end of a tick interval. Step is the engine's current step.
type Tick struct{ Step uint64 }

// TokenRead is the highest fencing token that the lease has granted, as read for
// the given agent incarnation.
type TokenRead struct {
	Incarnation uint64
	Token       uint64
}

// HoldDone is the result of an OrderHold. OK is false if the engine has begun
// the step or may have.
type HoldDone struct {
	ID
	OK bool
}

// LoadID uniquely identifies an OrderLoad to an engine.
type LoadID struct {
	Incarnation uint64
	Seq         uint64
}

// LoadDone is the result of an OrderLoad.
type LoadDone struct {
	LoadID
	OK bool
}

// LeaseAcquired informs the coordinator that its agent holds the lease.
type LeaseAcquired struct{ Token uint64 }

// LeaseLost informs the coordinator that its agent does not hold the lease.
type LeaseLost struct{}

// RecordRead is the result of a ReadRecord. OK is false if the read failed.
type RecordRead struct {
	Record   Record
	Revision uint64
	OK       bool
}

// RecordWritten is the result of a WriteRecord. OK is false if another write
// came first, and if the outcome is unknown.
type RecordWritten struct {
	Revision uint64
	OK       bool
}

// TargetMap sets the map that the coordinator is to put in force.
type TargetMap struct{ Map }

// TargetMembers sets the members of the next epoch and the map that the epoch
// starts with.
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

// Action is an output of a Participant or a Coordinator. Actions are executed in
// order. The result of an OrderHold is the next event that both receive.
type Action interface{ action() }

// Send sends a message to a rank, which may be the sender's own.
type Send struct {
	To  Rank
	Msg Message
}

// OrderHold stops the engine before it begins the proposal's step.
type OrderHold struct {
	Token uint64
	Proposal
}

// OrderUse puts the proposal's map in force from the proposal's step on and ends
// the hold.
type OrderUse struct {
	Token uint64
	Proposal
}

// OrderRelease ends the hold and keeps the current map.
type OrderRelease struct {
	Token uint64
	Proposal
}

// OrderLoad makes the engine load a map's experts in addition to those of the
// map in force. The engine may evict any other map that was loaded this way.
type OrderLoad struct {
	LoadID
	Token uint64
	Map   Map
}

// OrderLeave makes the engine run no further step of its epoch.
type OrderLeave struct {
	Token uint64
	Epoch uint64
}

// OrderForm makes the engine join the record's epoch at step 0.
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

// Note reports a decision for logs and counters.
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
