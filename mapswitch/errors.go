package mapswitch

import "fmt"

// QueueFullError is returned when an event was dropped because the node's event
// queue was full.
type QueueFullError struct {
	Rank  Rank
	Limit int
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("rank %d: queue of %d events is full", e.Rank, e.Limit)
}

// ReceiverError is returned for a message to another rank, and for one whose
// sender or receiver is not a peer.
type ReceiverError struct {
	Group string
	Rank  Rank
	To    Rank
}

// Error implements error.
func (e *ReceiverError) Error() string {
	return fmt.Sprintf("group %s rank %d: message is for rank %d", e.Group, e.Rank, e.To)
}
