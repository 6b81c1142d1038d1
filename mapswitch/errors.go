package mapswitch

import "fmt"

// QueueFullError says that a node's bounded queue was full and the event was
// dropped.
type QueueFullError struct {
	Rank  Rank
	Limit int
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("rank %d: queue of %d events is full", e.Rank, e.Limit)
}

// ReceiverError says that a message was meant for another rank or group.
type ReceiverError struct {
	Group string
	Rank  Rank
	To    Rank
}

// Error implements error.
func (e *ReceiverError) Error() string {
	return fmt.Sprintf("group %s rank %d: message is for rank %d", e.Group, e.Rank, e.To)
}
